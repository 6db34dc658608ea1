//! Tests of the choice of the next version to load, of the pieces that a host
//! holds, and of the distribution of pieces to many hosts.

mod orders;
mod piece_distribution;

use bergamotfork::fleet::Declaration;
use bergamotfork::staging::DownloadProgress;
use bergamotfork::staging::FetchSchedule;
use bergamotfork::staging::NextLoad;
use bergamotfork::staging::NextLoadInput;
use bergamotfork::staging::StagedModel;
use bergamotfork::staging::next_load;
use bergamotfork::staging::version_to_finish;
use bergamotfork::weights::PieceManifest;

const APPLY_MS: i64 = 8_000;

fn declared(versions: &[(u64, i64)]) -> Vec<Declaration> {
    versions
        .iter()
        .map(|(version, learned_ms)| Declaration {
            model: "m".to_owned(),
            version: *version,
            learned_ms: *learned_ms,
            is_time_exact: true,
        })
        .collect()
}

fn progress(
    version: u64,
    started_ms: i64,
    last_progress_ms: i64,
    is_complete: bool,
) -> DownloadProgress {
    DownloadProgress {
        version,
        started_ms,
        last_progress_ms,
        fetching_since_ms: started_ms,
        held_share: f64::from(u8::from(is_complete)),
        is_complete,
    }
}

fn load_with(
    now_ms: i64,
    engine_version: u64,
    versions: &[(u64, i64)],
    downloads: &[DownloadProgress],
    load_slot: f64,
) -> Option<NextLoad> {
    next_load(&NextLoadInput {
        now_ms,
        engine_version,
        declared: &declared(versions),
        downloads,
        apply_ms: APPLY_MS,
        load_slot,
    })
}

#[test]
fn next_load_no_newer_version() {
    assert_eq!(load_with(0, 2, &[(1, 0), (2, 0)], &[], 0.0), None);
}

#[test]
fn next_load_slots_spread_until_due() {
    let starts_ms: Vec<i64> = (0..20)
        .map(|slot| {
            let load_slot = f64::from(slot) / 20.0;
            load_with(0, 1, &[(2, 0)], &[], load_slot)
                .unwrap()
                .not_before_ms
        })
        .collect();
    assert!(starts_ms.is_sorted());
    assert!(
        starts_ms[0] > 0,
        "the first engine waits until all hosts have the pieces"
    );
    assert!(
        starts_ms[19] < APPLY_MS,
        "the last engine loads before the deadline"
    );
    let busiest = starts_ms
        .iter()
        .map(|start_ms| {
            let second = *start_ms..*start_ms + 1_000;
            starts_ms
                .iter()
                .filter(|other_ms| second.contains(*other_ms))
                .count()
        })
        .max()
        .unwrap();
    assert!(
        busiest <= 7,
        "{busiest} of 20 engines load within one second"
    );
}

#[test]
fn next_load_slots_spread_without_earlier_declaration() {
    // Guards against an overflow: the time margins once wrapped around when no
    // earlier version was declared.
    let early = load_with(100, 1, &[(2, 0)], &[], 0.0).unwrap();
    let late = load_with(100, 1, &[(2, 0)], &[], 0.95).unwrap();
    assert!(late.not_before_ms > early.not_before_ms + 2_000);
}

#[test]
fn next_load_empty_engine_immediate() {
    assert_eq!(
        load_with(9_000, 0, &[(1, 0)], &[], 0.9)
            .unwrap()
            .not_before_ms,
        9_000
    );
}

#[test]
fn next_load_unknown_age_immediate() {
    // A restarted process takes the declarations in the store for due.
    let load = load_with(50, 1, &[(2, 50 - APPLY_MS)], &[], 0.9).unwrap();
    assert!(load.not_before_ms <= 50);
}

#[test]
fn next_load_newest_in_time_skips_first() {
    let load = load_with(4_100, 1, &[(2, 0), (3, 4_000)], &[], 0.9).unwrap();
    assert_eq!(load.version, 3);
}

#[test]
fn next_load_newest_stalled_keeps_first() {
    let downloads = [
        progress(2, 100, 2_400, true),
        progress(3, 2_100, 2_500, false),
    ];
    let versions = [(2, 0), (3, 2_000)];
    assert_eq!(
        load_with(2_600, 1, &versions, &downloads, 0.9)
            .unwrap()
            .version,
        3
    );
    assert_eq!(
        load_with(3_500, 1, &versions, &downloads, 0.9)
            .unwrap()
            .version,
        2
    );
}

#[test]
fn next_load_newest_too_late_keeps_first() {
    let downloads = [progress(2, 100, 2_400, true)];
    let load = load_with(5_900, 1, &[(2, 0), (3, 5_800)], &downloads, 0.9).unwrap();
    assert_eq!(load.version, 2);
}

#[test]
fn next_load_loaded_version_due_first() {
    // Engines that skipped version 2 load version 3 until version 2 is due.
    let load = load_with(6_000, 2, &[(2, 0), (3, 4_000)], &[], 0.0).unwrap();
    assert!(load.not_before_ms >= APPLY_MS - 1_500);
}

fn manifest(version: u64) -> PieceManifest {
    PieceManifest {
        version,
        digests: vec![[0; 32]; 3],
    }
}

#[test]
fn staged_model_keeps_complete_version() {
    let mut model = StagedModel::new("m");
    model.start_download(manifest(2), 0);
    for index in 0..3 {
        model.set_staged_version(index, 2);
    }
    model.start_download(manifest(3), 10);
    model.buffer_piece(3, 0, vec![1], 20);
    assert!(model.is_complete(2));
    assert!(!model.is_complete(3));
    assert_eq!(model.held_pieces(3).held_count(), 1);
    model.buffer_piece(3, 1, vec![1], 20);
    model.buffer_piece(3, 2, vec![1], 20);
    assert!(model.is_complete(2) && model.is_complete(3));
}

#[test]
fn staged_model_free_buffers_keeps_staged() {
    let mut model = StagedModel::new("m");
    model.start_download(manifest(2), 0);
    for index in 0..3 {
        model.buffer_piece(2, index, vec![1], 5);
        model.set_staged_version(index, 2);
    }
    model.free_buffers(2);
    assert!(model.buffered_piece(2, 0).is_none());
    assert!(model.is_complete(2));
}

#[test]
fn piece_manifest_matches_own_bytes_only() {
    let empty_sha256 = [
        0xe3, 0xb0, 0xc4, 0x42, 0x98, 0xfc, 0x1c, 0x14, 0x9a, 0xfb, 0xf4, 0xc8, 0x99, 0x6f, 0xb9,
        0x24, 0x27, 0xae, 0x41, 0xe4, 0x64, 0x9b, 0x93, 0x4c, 0xa4, 0x95, 0x99, 0x1b, 0x78, 0x52,
        0xb8, 0x55,
    ];
    let manifest = PieceManifest {
        version: 1,
        digests: vec![empty_sha256],
    };
    assert!(manifest.matches(0, b""));
    assert!(!manifest.matches(0, b"x"));
    assert!(!manifest.matches(1, b""));
}

/// Guards against all hosts fetching records from the entries at once. What hosts need
/// immediately is in the heartbeats, so a fetch may be delayed.
#[test]
fn fetch_schedule_try_start_delayed_once() {
    let mut schedule = FetchSchedule::default();
    assert!(!schedule.try_start(1_000, 400));
    assert!(
        !schedule.try_start(1_300, 0),
        "a later call does not change the delay"
    );
    assert!(schedule.try_start(1_400, 400));
    assert!(!schedule.try_start(5_000, 0), "only one fetch at a time");
    schedule.finish();
    assert!(!schedule.try_start(5_000, 400));
}

/// Guards against an engine that waits for a version which the origin has no longer, while
/// nobody fetches the newest one.
#[test]
fn next_load_both_stalled_newest() {
    let stalled = [
        progress(2, 4_000, 4_000, false),
        progress(3, 3_000, 3_500, false),
    ];
    for engine_version in [0, 1] {
        let next = load_with(
            6_000,
            engine_version,
            &[(2, 3_000), (3, 3_500)],
            &stalled,
            0.0,
        );
        assert_eq!(next.map(|next| next.version), Some(3));
    }
}

/// Guards against hosts that keep asking for a version which cannot be had since the origin
/// is away, while entries hold most of the version before it.
#[test]
fn next_load_both_stalled_least_recently_tried() {
    let versions = [(2, 0), (3, 3_000)];
    let downloads = [
        progress(2, 100, 3_000, false),
        progress(3, 3_100, 3_100, false),
    ];
    for engine_version in [0, 1] {
        let next = load_with(4_100, engine_version, &versions, &downloads, 0.0);
        assert_eq!(next.map(|next| next.version), Some(2));
    }
}

/// Guards against a download that is abandoned shortly before its end, when the origin fails
/// right after a newer version is declared.
#[test]
fn version_to_finish_half_done() {
    let half_done = DownloadProgress {
        held_share: 0.5,
        ..progress(2, 100, 3_000, false)
    };
    let begun = DownloadProgress {
        held_share: 0.4,
        ..half_done
    };
    assert_eq!(version_to_finish(&[half_done], 1, 3_100), Some(2));
    assert_eq!(version_to_finish(&[half_done], 1, 3_900), None);
    assert_eq!(version_to_finish(&[half_done], 2, 3_100), None);
    assert_eq!(version_to_finish(&[begun], 1, 3_100), None);
}

/// Guards against a download that is dropped as soon as it starts, since later versions are
/// held.
#[test]
fn start_download_lowest_version_kept() {
    let mut staged = StagedModel::new("m");
    for version in [5, 6, 7, 4] {
        let manifest = PieceManifest {
            version,
            digests: vec![[0; 32]; 2],
        };
        staged.start_download(manifest, 0);
    }
    assert!(staged.version_download(4).is_some());
}

/// Guards against a version without a manifest that never counts as stalled, and against one
/// that is never searched for again.
#[test]
fn download_progress_lists_search_for_a_time() {
    let mut staged = StagedModel::new("m");
    staged.start_search(2, 1_000);
    assert_eq!(
        staged.download_progress(2_000),
        [progress(2, 1_000, 1_000, false)]
    );
    assert_eq!(staged.download_progress(6_000), []);
    staged.start_search(2, 6_100);
    assert_eq!(
        staged.download_progress(6_200),
        [progress(2, 6_100, 6_100, false)]
    );
}

/// Progress of an incomplete download that holds `held_share` of the pieces.
fn held(version: u64, last_progress_ms: i64, held_share: f64) -> DownloadProgress {
    DownloadProgress {
        held_share,
        ..progress(version, 0, last_progress_ms, false)
    }
}

/// Guards against a host that never returns to a nearly complete version after the origin has
/// been unavailable, and so has neither version when the first is due.
#[test]
fn version_to_finish_stalled_tried_again() {
    let stalled = [held(2, 2_500, 0.86), held(3, 3_500, 0.0)];
    assert_eq!(version_to_finish(&stalled, 1, 3_300), Some(2));
    assert_eq!(version_to_finish(&stalled, 1, 3_500), None);
    assert_eq!(version_to_finish(&stalled, 1, 3_700), Some(2));
    // While the newer version arrives, it is interrupted less often, and not near its end.
    let newer_arrives = [held(2, 2_500, 0.86), held(3, 3_600, 0.3)];
    assert_eq!(version_to_finish(&newer_arrives, 1, 3_700), None);
    assert_eq!(version_to_finish(&newer_arrives, 1, 4_300), Some(2));
    let newer_first = [held(2, 2_500, 0.86), held(3, 9_000, 0.9)];
    assert_eq!(version_to_finish(&newer_first, 1, 9_100), Some(3));
}

/// Guards against a newer version that gets no piece, where the comparison of the staged pieces
/// with its manifest takes longer than the pause of the one before.
#[test]
fn version_to_finish_not_before_newer_was_fetched() {
    let mut staged = StagedModel::new("m");
    staged.start_download(manifest(2), 0);
    for index in [0, 1] {
        staged.set_staged_version(index, 2);
    }
    let version_at = |staged: &StagedModel, now_ms| {
        version_to_finish(&staged.download_progress(now_ms), 1, now_ms)
    };
    assert_eq!(version_at(&staged, 899), Some(2));
    // The newer version is declared when the pause has passed.
    assert_eq!(version_at(&staged, 2_000), None);
    staged.start_download(manifest(3), 2_000);
    staged.start_fetches(3, 2_600);
    assert_eq!(version_at(&staged, 2_600), None);
    assert_eq!(version_at(&staged, 2_899), None);
    assert_eq!(version_at(&staged, 2_900), Some(2));
    staged.start_download(manifest(2), 2_900);
    staged.start_fetches(2, 3_500);
    assert_eq!(version_at(&staged, 4_399), Some(2));
    assert_eq!(version_at(&staged, 5_000), None);
}

/// Guards against an engine without any usable version, when the first one is overdue but has
/// nearly arrived and the newer one has not.
#[test]
fn next_load_overdue_first_sooner() {
    let versions = [(2, 0), (3, 2_000)];
    let version_at = |held_share| {
        let downloads = [held(2, 7_500, 0.9), held(3, 7_600, held_share)];
        load_with(7_700, 1, &versions, &downloads, 0.0).map(|next| next.version)
    };
    assert_eq!(version_at(0.1), Some(2));
    assert_eq!(version_at(0.8), Some(3));
}

/// Guards against pieces of a later version written over a nearly complete one.
#[test]
fn is_worth_finishing_half_held() {
    let mut staged = StagedModel::new("m");
    staged.start_download(manifest(2), 0);
    // One of three pieces is less than half, two are more.
    staged.set_staged_version(0, 2);
    assert!(!staged.is_worth_finishing(2));
    staged.set_staged_version(1, 2);
    assert!(staged.is_worth_finishing(2));
    assert!(!staged.is_worth_finishing(3));
}
