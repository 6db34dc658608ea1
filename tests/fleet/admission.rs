use crate::fixture::engine;
use crate::fixture::table;
use bergamotfork::fleet::AdmissionDecision;
use bergamotfork::fleet::AdmissionInput;
use bergamotfork::fleet::EngineProfile;
use bergamotfork::fleet::RefusalCause;
use bergamotfork::fleet::Replica;
use bergamotfork::fleet::ReplicaKey;
use bergamotfork::fleet::ReplicaTable;
use bergamotfork::fleet::admit_request;
use bergamotfork::fleet::predicted_first_event_ms;

const TARGET_MS: u64 = 400;

/// A usual request that has just arrived.
fn arrival<'a>(
    replicas: &'a [(ReplicaKey, &'a Replica)],
    engine: &'a EngineProfile,
    now_ms: u64,
) -> AdmissionInput<'a> {
    AdmissionInput {
        now_ms,
        replicas,
        engine: Some(engine),
        failure_domain: "a",
        entry_count: 6,
        peer_requests_per_ms: 0.0,
        prompt_tokens: 800,
        waited_ms: 0,
        was_refused_before: false,
        has_partial_answer: false,
        target_latency_ms: TARGET_MS,
        remaining_ms: 6_000,
        seed: 1,
    }
}

fn decide(
    table: &ReplicaTable,
    now_ms: u64,
    seed: u64,
    was_refused_before: bool,
) -> AdmissionDecision {
    let replicas: Vec<(ReplicaKey, &Replica)> = table
        .listed()
        .filter(|(_, replica)| replica.is_usable(now_ms))
        .collect();
    admit_request(&AdmissionInput {
        was_refused_before,
        seed,
        ..arrival(&replicas, &engine(), now_ms)
    })
}

/// Replica that a request goes to.
fn sent_to(admission: AdmissionDecision) -> ReplicaKey {
    match admission {
        AdmissionDecision::Send { replica, .. } => replica,
        refusal => panic!("{refusal:?}"),
    }
}

#[test]
fn predicted_first_event_grows_with_load_and_prompt() {
    let engine = engine();
    let of = |requests, prompt| predicted_first_event_ms(&engine, requests, prompt);
    assert!(of(0, 800.0) < of(15, 800.0));
    assert!(of(15, 800.0) + 50.0 < of(16, 800.0));
    assert!(of(4, 100.0) < of(4, 3_000.0));
}

#[test]
fn admit_goes_to_the_least_loaded() {
    let (table, keys) = table(0, &[14, 18, 3, 15]);
    for seed in 0..50 {
        // A difference within the spread may go either way; 3 and 14 differ
        // by less than a request's reading, 18 waits for slots.
        assert_ne!(sent_to(decide(&table, 10, seed, false)), keys[1]);
    }
}

#[test]
fn admit_overload_is_refused_at_once_with_a_pause() {
    let (table, _) = table(0, &[24, 26, 30]);
    match decide(&table, 10, 1, false) {
        AdmissionDecision::Refuse {
            cause,
            retry_after_ms,
        } => {
            assert_eq!(cause, RefusalCause::Overload);
            assert!((1..=2_000).contains(&retry_after_ms), "{retry_after_ms}");
        }
        sent => panic!("{sent:?}"),
    }
}

#[test]
fn admit_returned_request_needs_free_slots() {
    let (busy, _) = table(0, &[15, 16]);
    assert!(matches!(
        decide(&busy, 10, 1, true),
        AdmissionDecision::Refuse { .. }
    ));
    let (calm, _) = table(0, &[6, 16]);
    assert!(matches!(
        decide(&calm, 10, 1, true),
        AdmissionDecision::Send { .. }
    ));
}

#[test]
fn admit_no_replica_is_told_from_overload() {
    let table = ReplicaTable::default();
    assert!(matches!(
        decide(&table, 10, 1, false),
        AdmissionDecision::Refuse {
            cause: RefusalCause::NoReplica,
            ..
        }
    ));
}

/// Requests arrive in one burst between two load reports; none is turned away
/// while slots are free, and no engine is filled beyond what it can begin in time.
#[test]
fn admit_burst_between_reports_spreads() {
    let (mut table, keys) = table(0, &[8; 12]);
    let mut sent = vec![0u32; keys.len()];
    let mut refused = 0;
    for seed in 0..200 {
        match decide(&table, 20, seed, false) {
            AdmissionDecision::Send {
                replica,
                predicted_ms,
            } => {
                table.record_send(replica, predicted_ms, 20);
                let at = keys.iter().position(|key| *key == replica).unwrap();
                sent[at] += 1;
            }
            AdmissionDecision::Refuse { .. } => refused += 1,
        }
    }
    assert!(sent.iter().all(|count| 8 + count >= 16), "{sent:?}");
    assert!(sent.iter().all(|count| 8 + count <= 16 + 4), "{sent:?}");
    assert!(refused >= 200 - 12 * 12, "{refused}");
}

/// An engine that answers far later than predicted gets nothing while others
/// have room, as behind a choked link.
#[test]
fn admit_overdue_engine_is_left_alone() {
    let (mut table, keys) = table(1_000, &[0, 6]);
    table.record_send(keys[0], 100.0, 100);
    for seed in 0..20 {
        assert_eq!(sent_to(decide(&table, 1_020, seed, false)), keys[1]);
    }
}

/// One engine with room and five other entries that see the same: each counts
/// what the others send since the report.
#[test]
fn admit_single_open_engine_is_not_flooded() {
    let (table, _) = table(0, &[10]);
    let peer_requests_per_ms = 0.17;
    let replicas: Vec<(ReplicaKey, &Replica)> = table.listed().collect();
    let at = |now_ms| {
        admit_request(&AdmissionInput {
            peer_requests_per_ms,
            ..arrival(&replicas, &engine(), now_ms)
        })
    };
    assert!(matches!(at(5), AdmissionDecision::Send { .. }));
    assert!(matches!(at(95), AdmissionDecision::Refuse { .. }));
}

/// A stream that broke off in the middle goes on where a late request would not
/// begin, but not behind others.
#[test]
fn admit_begun_stream_goes_on_beside_late_ones() {
    let decide = |requests: u32| {
        let (table, _) = table(0, &[requests]);
        let replicas: Vec<(ReplicaKey, &Replica)> = table.listed().collect();
        admit_request(&AdmissionInput {
            waited_ms: 1_500,
            has_partial_answer: true,
            remaining_ms: 4_000,
            ..arrival(&replicas, &engine(), 10)
        })
    };
    assert!(matches!(decide(15), AdmissionDecision::Send { .. }));
    assert!(matches!(decide(20), AdmissionDecision::Refuse { .. }));
}
