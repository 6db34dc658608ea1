use crate::fixture::record;
use crate::fixture::table;
use bergamotfork::fleet::ReplicaNotice;
use bergamotfork::fleet::ReplicaState;

fn pause(pause_ms: u64) -> ReplicaNotice {
    ReplicaNotice {
        is_leaving: false,
        pause_ms: Some(pause_ms),
    }
}

const LEAVING: ReplicaNotice = ReplicaNotice {
    is_leaving: true,
    pause_ms: None,
};

#[test]
fn record_notice_pause_ends() {
    let (mut table, keys) = table(1_000, &[0]);
    table.record_notice(keys[0], Some(1), pause(300), 990, 1_000);
    assert!(!table.get(keys[0]).is_usable(1_299));
    assert!(table.get(keys[0]).is_usable(1_300));
}

/// A later answer sets the pause anew, one to an earlier request only extends it.
#[test]
fn record_notice_pause_of_later_and_earlier_request() {
    let (mut table, keys) = table(1_000, &[0]);
    table.record_notice(keys[0], Some(1), pause(500), 990, 1_000);
    table.record_notice(keys[0], Some(1), pause(100), 980, 1_000);
    assert!(!table.get(keys[0]).is_usable(1_400));
    table.record_notice(keys[0], Some(1), pause(600), 985, 1_000);
    assert!(!table.get(keys[0]).is_usable(1_550));
    table.record_notice(keys[0], Some(1), pause(0), 995, 1_050);
    assert!(table.get(keys[0]).is_usable(1_050));
}

#[test]
fn record_notice_pause_ends_with_newer_incarnation() {
    let (mut table, keys) = table(1_000, &[0]);
    table.record_notice(keys[0], Some(1), pause(9_000), 990, 1_000);
    let mut newer = record("r1", 1);
    newer.born_unix_ms = Some(2);
    let (key, _) = table.register(newer, 1_010);
    assert!(table.get(key).is_usable(1_010));
    // An answer of the earlier incarnation that comes late.
    table.record_notice(key, Some(1), pause(9_000), 1_005, 1_020);
    assert!(!table.record_notice(key, Some(1), LEAVING, 1_005, 1_020));
    assert!(table.get(key).is_usable(1_020));
}

/// A record, also one that was removed and comes back, takes back nothing.
#[test]
fn record_notice_leaving_is_kept() {
    let (mut table, keys) = table(1_000, &[0]);
    assert!(table.record_notice(keys[0], Some(1), LEAVING, 990, 1_000));
    assert!(!table.record_notice(keys[0], Some(1), LEAVING, 995, 1_001));
    for _ in 0..2 {
        let (key, _) = table.register(record("r1", 1), 1_010);
        assert!(!table.get(key).is_usable(1_010));
        table.remove("r1");
        // Another replica takes its place in the table.
        table.register(record("r2", 2), 1_020);
    }
    let mut newer = record("r1", 1);
    newer.born_unix_ms = Some(2);
    let (key, _) = table.register(newer, 1_030);
    assert_eq!(table.get(key).record.state, ReplicaState::Ready);
    assert!(table.get(key).is_usable(1_030));
}

/// Another replica at the same address is not touched by it.
#[test]
fn record_notice_leaving_same_address() {
    let (mut table, keys) = table(1_000, &[0]);
    table.record_notice(keys[0], Some(1), LEAVING, 990, 1_000);
    let (other, _) = table.register(record("r9", 1), 1_010);
    assert!(table.get(other).is_usable(1_010));
}

#[test]
fn record_notice_pause_outlasts_removal() {
    let (mut table, keys) = table(1_000, &[0]);
    table.record_notice(keys[0], Some(1), pause(9_000), 990, 1_000);
    table.remove("r1");
    let (key, _) = table.register(record("r1", 1), 1_010);
    assert!(!table.get(key).is_usable(1_010));
}

/// Guards against a pause that is forgotten as another replica takes the place of the removed
/// one in the table.
#[test]
fn record_notice_pause_outlasts_record() {
    let (mut table, keys) = table(0, &[0, 0]);
    table.record_notice(keys[0], Some(1), pause(9_000), 990, 1_000);
    table.remove("r1");
    table.register(record("r3", 3), 1_500);
    let (key, _) = table.register(record("r1", 1), 2_000);
    assert!(!table.get(key).is_usable(9_900));
    let send_id = table.record_send(key, 1.0, 10_000);
    assert!(!table.get(key).is_usable(10_010), "one request first");
    table.record_end(key, send_id, 10_020);
    assert!(table.get(key).is_usable(10_030));
    // A newer incarnation has no part in it.
    table.record_notice(key, Some(1), pause(9_000), 10_100, 10_110);
    table.remove("r1");
    table.register(record("r4", 4), 10_200);
    let mut newer = record("r1", 1);
    newer.born_unix_ms = Some(2);
    let (key, _) = table.register(newer, 10_300);
    assert!(table.get(key).is_usable(10_310));
}

/// Guards against all waiting requests going to a replica at the end of its pause.
#[test]
fn pause_end_one_request_first() {
    let (mut table, keys) = table(1_000, &[0]);
    table.record_notice(keys[0], Some(1), pause(300), 990, 1_000);
    let probe = table.record_send(keys[0], 100.0, 1_310);
    assert!(!table.get(keys[0]).is_usable(1_320));
    table.record_answer_start(keys[0], probe, 1_400);
    assert!(table.get(keys[0]).is_usable(1_400));
}

/// Guards against a replica that is forgotten since the first request after its pause got
/// no answer.
#[test]
fn pause_end_first_request_unanswered() {
    let (mut table, keys) = table(1_000, &[0]);
    table.record_notice(keys[0], Some(1), pause(300), 990, 1_000);
    let probe = table.record_send(keys[0], 100.0, 1_310);
    table.record_end(keys[0], probe, 1_500);
    assert!(table.get(keys[0]).is_usable(1_500));
}

#[test]
fn pause_end_turned_away_again() {
    let (mut table, keys) = table(1_000, &[0]);
    table.record_notice(keys[0], Some(1), pause(300), 990, 1_000);
    let probe = table.record_send(keys[0], 100.0, 1_310);
    table.record_notice(keys[0], Some(1), pause(200), 1_310, 1_350);
    table.record_end(keys[0], probe, 1_350);
    assert!(!table.get(keys[0]).is_usable(1_500));
    table.record_send(keys[0], 100.0, 1_560);
    assert!(
        !table.get(keys[0]).is_usable(1_570),
        "one request first again"
    );
}

/// Guards against an earlier answer that counts as that to the first request.
#[test]
fn pause_end_earlier_answer() {
    let (mut table, keys) = table(1_000, &[0]);
    let earlier = table.record_send(keys[0], 100.0, 900);
    table.record_notice(keys[0], Some(1), pause(300), 990, 1_000);
    table.record_send(keys[0], 100.0, 1_310);
    table.record_answer_start(keys[0], earlier, 1_320);
    assert!(!table.get(keys[0]).is_usable(1_330));
}

/// What another entry tells is known also before the record of the replica arrives, and is
/// about that incarnation alone.
#[test]
fn record_leaving_before_record() {
    let (mut table, keys) = table(1_000, &[0, 0]);
    assert!(table.record_leaving("r1", Some(1)));
    assert!(!table.record_leaving("r1", Some(1)));
    assert!(!table.get(keys[0]).is_usable(1_010));
    assert!(table.record_leaving("r9", Some(4)));
    let mut late = record("r9", 9);
    late.born_unix_ms = Some(4);
    let (key, _) = table.register(late, 1_020);
    assert!(!table.get(key).is_usable(1_030));
    let mut newer = record("r9", 9);
    newer.born_unix_ms = Some(5);
    let (key, _) = table.register(newer, 1_040);
    assert!(table.get(key).is_usable(1_050));
}
