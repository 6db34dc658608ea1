//! Replicas whose hosts stand still, and those that only seem to.

use crate::fixture::record;
use crate::fixture::table;

/// Age from which a load report no longer counts, in ms.
const STALE_MS: u64 = 700;

#[test]
fn is_silent_without_reports_and_answers() {
    let (table, keys) = table(1_000, &[4]);
    let replica = table.get(keys[0]);
    assert!(!replica.is_silent(1_000 + STALE_MS - 1));
    assert!(replica.is_silent(1_000 + STALE_MS));
}

/// Guards against a replica that is given up since only its reports are lost.
#[test]
fn is_silent_answers_arrive() {
    let (mut table, keys) = table(1_000, &[4]);
    let send_id = table.record_send(keys[0], 100.0, 1_400);
    table.record_answer_start(keys[0], send_id, 1_650);
    assert!(!table.get(keys[0]).is_silent(1_700));
    assert!(table.get(keys[0]).is_silent(1_650 + STALE_MS));
}

/// Guards against a replica that is never used again since its endpoint process has ended.
#[test]
fn is_silent_record_newer_than_reports() {
    let (mut table, keys) = table(1_000, &[4]);
    assert!(table.get(keys[0]).is_silent(3_000));
    let (key, _) = table.register(record("r1", 1), 3_600);
    assert!(!table.get(key).is_silent(3_700));
    assert!(table.get(key).is_silent(6_200));
}

#[test]
fn is_silent_never_reported() {
    let (mut table, _) = table(1_000, &[]);
    let (key, _) = table.register(record("r1", 1), 1_000);
    assert!(!table.get(key).is_silent(60_000));
}

/// Guards against an entry that stood still itself, or whose link fails, and takes that for
/// the silence of its replicas.
#[test]
fn has_reports_of_most_replicas() {
    let (table, _) = table(1_000, &[4, 4, 4]);
    assert!(table.has_reports("chat", 1_000 + STALE_MS - 1));
    assert!(!table.has_reports("chat", 1_000 + STALE_MS));
}

#[test]
fn silence_changes_once_each() {
    let (mut table, keys) = table(1_000, &[4]);
    assert_eq!(table.silence_changes(1_500), []);
    assert_eq!(table.silence_changes(1_800), keys);
    assert_eq!(table.silence_changes(1_900), []);
    let send_id = table.record_send(keys[0], 100.0, 1_900);
    table.record_answer_start(keys[0], send_id, 1_950);
    assert_eq!(table.silence_changes(2_000), keys);
}
