use crate::support::edit;
use bergamotfork::document::Checkpoint;
use bergamotfork::document::LogRecord;
use bergamotfork::document::follow::ConfigUpdate;
use bergamotfork::document::follow::EncodedRecord;
use bergamotfork::document::follow::Follower;
use bergamotfork::document::follow::LogPage;
use bergamotfork::document::follow::LogReader;
use bergamotfork::document::follow::LogSchedule;
use bergamotfork::document::follow::Notice;
use bergamotfork::document::follow::log_rank;

const RETENTION_MS: u64 = 64_000;

/// Edit that is accepted at `offset`.
fn record(offset: u64) -> EncodedRecord {
    let id = format!("id-{offset}");
    let name = format!("service s{offset}");
    EncodedRecord {
        offset,
        bytes: LogRecord::Edit(edit(&id, &name, 0, "timeout_ms = 5")).encode(),
    }
}

/// Page that ends at the end of the log.
fn page(earliest: u64, records: Vec<EncodedRecord>) -> LogPage {
    let next = records.last().map_or(earliest, |last| last.offset + 1);
    LogPage {
        earliest,
        next,
        records,
    }
}

/// Follower that has read a log of `count` records to its end.
fn follower_of(now_ms: u64, count: u64) -> Follower {
    let mut follower = Follower::new(now_ms);
    follower.apply_log_page(now_ms, now_ms, &page(0, (0..count).map(record).collect()));
    follower
}

fn checkpoint_of(follower: &Follower, offset: u64) -> EncodedRecord {
    EncodedRecord {
        offset,
        bytes: LogRecord::Checkpoint(follower.fold().checkpoint()).encode(),
    }
}

#[test]
fn admits_after_end_of_log() {
    let mut follower = Follower::new(0);
    assert!(!follower.admits(0));
    let mut partial = page(0, vec![record(0)]);
    partial.next = 2;
    follower.apply_log_page(0, 0, &partial);
    assert!(!follower.admits(0));
    follower.apply_log_page(0, 0, &page(0, vec![record(0), record(1)]));
    assert!(follower.admits(0));
}

#[test]
fn admits_after_majority() {
    let entry = follower_of(0, 3);
    let mut fresh = Follower::new(0);
    let unready = Follower::new(0);
    fresh.apply_peer_answer(0, 0, "e1", 3, &entry.answer_peer(0, 0));
    assert_eq!(fresh.fold().digest(), entry.fold().digest());
    fresh.apply_peer_answer(0, 0, "e1", 3, &entry.answer_peer(0, 3));
    fresh.apply_peer_answer(0, 0, "e2", 3, &unready.answer_peer(0, 3));
    assert!(!fresh.admits(0), "one voter of three answered");
    fresh.apply_peer_answer(0, 0, "e3", 3, &entry.answer_peer(0, 3));
    assert!(fresh.admits(0));
}

#[test]
fn admits_after_pause() {
    let mut follower = follower_of(0, 1);
    assert!(follower.admits(4_000));
    assert!(!follower.admits(60_000), "paused and not ticked yet");
    assert!(follower.tick(60_000));
    assert!(!follower.admits(60_000));
    assert!(follower.is_voter());
    // An answer to a request from before the pause confirms nothing.
    follower.apply_log_page(60_001, 100, &page(0, vec![record(0)]));
    assert!(!follower.admits(60_001));
    follower.apply_log_page(60_002, 60_001, &page(0, vec![record(0), record(1)]));
    assert!(follower.admits(60_002));
}

#[test]
fn apply_peer_answer_future_request_time() {
    let entry = follower_of(0, 1);
    let mut fresh = Follower::new(0);
    fresh.apply_peer_answer(20, 5_000, "e1", 1, &entry.answer_peer(0, 0));
    assert!(!fresh.admits(20));
    fresh.apply_peer_answer(20, 15, "e1", 1, &entry.answer_peer(0, 1));
    assert!(fresh.admits(20));
}

#[test]
fn answer_peer_recent_records() {
    let mut entry = follower_of(0, 2);
    let checkpoint = checkpoint_of(&entry, 2);
    entry.apply_log_page(0, 0, &page(0, vec![checkpoint, record(3)]));
    let answer = entry.answer_peer(0, 1);
    let ConfigUpdate::Records(records) = &answer.update else {
        panic!("the records are recent");
    };
    assert_eq!(records.len(), 3);
    assert!(
        records[1].bytes.is_empty(),
        "a checkpoint is sent as an empty record"
    );
    let mut other = follower_of(0, 1);
    let notices = other.apply_peer_answer(0, 0, "e1", 1, &answer);
    assert_eq!(notices, [Notice::Advanced { head: 4 }]);
    assert_eq!(other.fold().digest(), entry.fold().digest());
}

#[test]
fn apply_peer_answer_diverged() {
    let mut follower = follower_of(0, 1);
    let mut other = Follower::new(0);
    other.apply_log_page(
        0,
        0,
        &page(
            0,
            vec![EncodedRecord {
                offset: 0,
                bytes: vec![9],
            }],
        ),
    );
    let notices = follower.apply_peer_answer(0, 0, "e1", 1, &other.answer_peer(0, 1));
    assert_eq!(notices, [Notice::Diverged { head: 1 }]);
}

#[test]
fn apply_log_page_trimmed() {
    let entry = follower_of(0, 5);
    let mut fresh = Follower::new(0);
    let notices = fresh.apply_log_page(0, 0, &page(4, vec![record(4)]));
    let trimmed = Notice::Trimmed {
        wanted: 0,
        earliest: 4,
    };
    assert_eq!(notices, [trimmed]);
    let kept = page(4, vec![record(4), checkpoint_of(&entry, 5), record(6)]);
    let notices = fresh.apply_log_page(0, 0, &kept);
    assert_eq!(notices, [Notice::Advanced { head: 5 }]);
    assert!(!fresh.admits(0));
    fresh.apply_log_page(0, 0, &kept);
    assert_eq!(fresh.fold().head(), 7);
    assert!(fresh.admits(0));
}

#[test]
fn apply_log_page_conflicting_checkpoints() {
    let entry = follower_of(0, 5);
    let mut other = Follower::new(0);
    let invalid = (0..5).map(|offset| EncodedRecord {
        offset,
        bytes: vec![9],
    });
    other.apply_log_page(0, 0, &page(0, invalid.collect()));
    let mut fresh = Follower::new(0);
    let earlier = follower_of(0, 4);
    let kept = vec![
        record(4),
        checkpoint_of(&entry, 5),
        checkpoint_of(&other, 6),
        checkpoint_of(&earlier, 7),
    ];
    let notices = fresh.apply_log_page(0, 0, &page(4, kept));
    let conflicting = Notice::ConflictingCheckpoints { as_of: 5 };
    assert_eq!(notices, [conflicting, Notice::Advanced { head: 4 }]);
}

#[test]
fn apply_log_page_log_went_back() {
    let mut follower = follower_of(0, 3);
    let notices = follower.apply_log_page(0, 0, &page(0, vec![record(0)]));
    assert_eq!(notices, [Notice::LogWentBack { next: 1, head: 3 }]);
    assert_eq!(follower.fold().head(), 3);
}

#[test]
fn log_rank_alternates_failure_domains() {
    let entry = |name, domain| LogReader {
        name,
        region: "north",
        domain,
    };
    let entries = [
        entry("a1", "a"),
        entry("a2", "a"),
        entry("a3", "a"),
        entry("b1", "b"),
        entry("c1", "c"),
    ];
    let mut ranked = ["a1", "a2", "a3", "b1", "c1"];
    ranked.sort_by_key(|name| log_rank(name, &entries));
    assert_eq!(ranked, ["a1", "b1", "c1", "a2", "a3"]);
    assert_eq!(log_rank("unlisted", &entries), 5);
}

#[test]
fn log_schedule_by_rank() {
    let schedule = |rank| LogSchedule {
        rank,
        retention_ms: RETENTION_MS,
    };
    assert!(schedule(2).reads_log(0));
    assert!(!schedule(3).reads_log(2_000));
    assert!(schedule(3).reads_log(3_000) && !schedule(5).reads_log(3_000));
    assert!(!schedule(0).publishes_checkpoint(7_999));
    assert!(schedule(0).publishes_checkpoint(8_000) && !schedule(1).publishes_checkpoint(8_000));
    assert!(schedule(7).publishes_checkpoint(RETENTION_MS / 4));
    assert!(!schedule(8).publishes_checkpoint(RETENTION_MS));
}

/// Guards against a configuration that is confirmed by two replaced entries and one that
/// remains: the remaining one last read the log before they started, and what it says must
/// not seem newer to one of them because it came through the other.
#[test]
fn apply_peer_answer_confirmation_before_start_keeps_its_age() {
    let remaining = follower_of(1_000, 1);
    let mut first = Follower::new(0);
    // Its clock started 206 ms ago, and the log was read 410 ms ago.
    first.apply_peer_answer(206, 206, "remaining", 3, &remaining.answer_peer(1_410, 0));
    assert_eq!(first.confirmed_age_ms(206), Some(410));
    assert_eq!(first.confirmed_age_ms(306), Some(510));
    let mut second = Follower::new(0);
    second.apply_peer_answer(209, 209, "first", 3, &first.answer_peer(206, 0));
    assert!(!second.admits(209));
    assert_eq!(second.confirmed_age_ms(209), Some(410));
}

/// A checkpoint of another writer that claims to cover records after itself.
#[test]
fn apply_log_page_checkpoint_ahead_of_itself_ignored() {
    let entry = follower_of(0, 5);
    let document = entry.fold().document();
    for as_of in [6, 1 << 40, u64::MAX] {
        let odd = EncodedRecord {
            offset: 5,
            bytes: LogRecord::Checkpoint(Checkpoint::new(as_of, document, &[])).encode(),
        };
        let mut fresh = Follower::new(0);
        let kept = page(4, vec![record(4), odd, checkpoint_of(&entry, 6), record(7)]);
        fresh.apply_log_page(0, 0, &kept);
        assert_eq!(fresh.fold().head(), 5, "{as_of}");
        fresh.apply_log_page(0, 0, &kept);
        assert_eq!(fresh.fold().head(), 8, "{as_of}");
        assert!(fresh.admits(0), "{as_of}");
    }
}

#[test]
fn apply_peer_answer_odd_confirmation_age() {
    let entry = follower_of(0, 5);
    for age_ms in [u64::MAX, u64::MAX / 2 + 1, u64::MAX / 2, u64::MAX / 2 - 1] {
        let mut answer = entry.answer_peer(0, 0);
        answer.mark.confirmed_age_ms = Some(age_ms);
        let mut fresh = Follower::new(0);
        fresh.apply_peer_answer(0, 0, "entry", 1, &answer);
        assert_eq!(fresh.fold().head(), 5);
        let age_later_ms = fresh.confirmed_age_ms(10_000);
        assert!(age_later_ms.is_some_and(|later_ms| later_ms > u64::MAX / 16));
    }
}
