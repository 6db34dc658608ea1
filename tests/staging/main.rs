//! Which version an engine loads next and when, what a host holds of each, and
//! how pieces reach many hosts.

mod piece_spread;

use bergamotfork::fleet::Declaration;
use bergamotfork::staging::Gathering;
use bergamotfork::staging::Goal;
use bergamotfork::staging::GoalInput;
use bergamotfork::staging::PullPlan;
use bergamotfork::staging::Stage;
use bergamotfork::staging::next_goal;
use bergamotfork::weights::PieceManifest;

const APPLY_MS: i64 = 8_000;

fn declared(entries: &[(u64, i64)]) -> Vec<Declaration> {
    entries
        .iter()
        .map(|(version, learned_ms)| Declaration {
            model: "m".to_owned(),
            version: *version,
            learned_ms: *learned_ms,
            is_exact: true,
        })
        .collect()
}

fn gathering(version: u64, began_ms: i64, progress_ms: i64, is_whole: bool) -> Gathering {
    Gathering {
        version,
        began_ms,
        progress_ms,
        is_whole,
    }
}

fn goal(
    now_ms: i64,
    held: u64,
    entries: &[(u64, i64)],
    gatherings: &[Gathering],
    turn: f64,
) -> Option<Goal> {
    next_goal(&GoalInput {
        now_ms,
        held,
        declared: &declared(entries),
        gatherings,
        apply_ms: APPLY_MS,
        turn,
    })
}

#[test]
fn next_goal_nothing_newer() {
    assert_eq!(goal(0, 2, &[(1, 0), (2, 0)], &[], 0.0), None);
}

#[test]
fn next_goal_turns_spread_until_due() {
    let turns: Vec<i64> = (0..20)
        .map(|slot| {
            let turn = f64::from(slot) / 20.0;
            goal(0, 1, &[(2, 0)], &[], turn).unwrap().not_before_ms
        })
        .collect();
    assert!(turns.is_sorted());
    assert!(turns[0] > 0, "the first waits until all have the pieces");
    assert!(turns[19] < APPLY_MS, "the last loads before the bound");
    let busiest = turns
        .iter()
        .map(|start| {
            let second = *start..*start + 1_000;
            turns.iter().filter(|turn| second.contains(*turn)).count()
        })
        .max()
        .unwrap();
    assert!(busiest <= 7, "{busiest} of 20 load within a second");
}

#[test]
fn next_goal_turns_spread_after_first_version() {
    // The margins before a version that nothing precedes once wrapped around.
    let early = goal(100, 1, &[(2, 0)], &[], 0.0).unwrap();
    let late = goal(100, 1, &[(2, 0)], &[], 0.95).unwrap();
    assert!(late.not_before_ms > early.not_before_ms + 2_000);
}

#[test]
fn next_goal_empty_engine_loads_at_once() {
    assert_eq!(
        goal(9_000, 0, &[(1, 0)], &[], 0.9).unwrap().not_before_ms,
        9_000
    );
}

#[test]
fn next_goal_unknown_age_loads_at_once() {
    // A restarted process takes what it finds for due.
    let goal = goal(50, 1, &[(2, 50 - APPLY_MS)], &[], 0.9).unwrap();
    assert!(goal.not_before_ms <= 50);
}

#[test]
fn next_goal_later_version_in_time_passes_first_over() {
    let goal = goal(4_100, 1, &[(2, 0), (3, 4_000)], &[], 0.9).unwrap();
    assert_eq!(goal.version, 3);
}

#[test]
fn next_goal_stuck_later_version_falls_back() {
    let held = [
        gathering(2, 100, 2_400, true),
        gathering(3, 2_100, 2_500, false),
    ];
    let entries = [(2, 0), (3, 2_000)];
    assert_eq!(goal(2_600, 1, &entries, &held, 0.9).unwrap().version, 3);
    assert_eq!(goal(3_500, 1, &entries, &held, 0.9).unwrap().version, 2);
}

#[test]
fn next_goal_too_late_for_later_version_keeps_first() {
    let held = [gathering(2, 100, 2_400, true)];
    let goal = goal(5_900, 1, &[(2, 0), (3, 5_800)], &held, 0.9).unwrap();
    assert_eq!(goal.version, 2);
}

#[test]
fn next_goal_after_passed_over_version_waits_for_its_due_time() {
    // Those that passed version 2 over load until it is due.
    let goal = goal(6_000, 2, &[(2, 0), (3, 4_000)], &[], 0.0).unwrap();
    assert!(goal.not_before_ms >= APPLY_MS - 1_500);
}

fn manifest(version: u64) -> PieceManifest {
    PieceManifest {
        version,
        digests: vec![[0; 32]; 3],
    }
}

#[test]
fn stage_keeps_waiting_version_whole() {
    let mut stage = Stage::new("m");
    stage.begin(manifest(2), 0);
    for index in 0..3 {
        stage.set_staged(index, 2);
    }
    stage.begin(manifest(3), 10);
    stage.keep_piece(3, 0, vec![1], 20);
    assert!(stage.is_whole(2));
    assert!(!stage.is_whole(3));
    assert_eq!(stage.have(3).held_count(), 1);
    stage.keep_piece(3, 1, vec![1], 20);
    stage.keep_piece(3, 2, vec![1], 20);
    assert!(stage.is_whole(2) && stage.is_whole(3));
}

#[test]
fn stage_release_frees_memory_only() {
    let mut stage = Stage::new("m");
    stage.begin(manifest(2), 0);
    for index in 0..3 {
        stage.keep_piece(2, index, vec![1], 5);
        stage.set_staged(index, 2);
    }
    stage.release(2);
    assert!(stage.piece(2, 0).is_none());
    assert!(stage.is_whole(2));
}

#[test]
fn manifest_matches_its_bytes_only() {
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

/// What hosts need at once is in the beats: they do not all read at once.
#[test]
fn pull_plan_waits_and_runs_once() {
    let mut plan = PullPlan::default();
    assert!(!plan.starts(1_000, 400));
    assert!(!plan.starts(1_300, 0), "the first wait stands");
    assert!(plan.starts(1_400, 400));
    assert!(!plan.starts(5_000, 0), "one read at a time");
    plan.ended();
    assert!(!plan.starts(5_000, 400));
}
