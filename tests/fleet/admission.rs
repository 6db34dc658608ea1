use crate::fixture::engine;
use crate::fixture::table;
use bergamotfork::fleet::AdmissionDecision;
use bergamotfork::fleet::AdmissionInput;
use bergamotfork::fleet::EngineProfile;
use bergamotfork::fleet::RefusalCause;
use bergamotfork::fleet::Replica;
use bergamotfork::fleet::ReplicaKey;
use bergamotfork::fleet::ReplicaTable;
use bergamotfork::fleet::RouteKind;
use bergamotfork::fleet::admit_request;
use bergamotfork::fleet::begins_in_time;
use bergamotfork::fleet::is_predicted_to_have_begun;
use bergamotfork::fleet::placement_limit_ms;
use bergamotfork::fleet::predicted_first_event_ms;

const TARGET_MS: u64 = 400;

/// Input for a request of typical size that has just arrived.
fn new_request<'a>(
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
        begin_within_ms: &[],
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
        ..new_request(&replicas, &engine(), now_ms)
    })
}

/// Replica that the request is sent to.
fn chosen_replica(decision: AdmissionDecision) -> ReplicaKey {
    match decision {
        AdmissionDecision::Send { replica, .. } => replica,
        refusal => panic!("{refusal:?}"),
    }
}

#[test]
fn predicted_first_event_ms_grows_with_load_and_prompt() {
    let engine = engine();
    let of = |requests, prompt| predicted_first_event_ms(&engine, requests, prompt);
    assert!(of(0, 800.0) < of(15, 800.0));
    assert!(of(15, 800.0) + 50.0 < of(16, 800.0));
    assert!(of(4, 100.0) < of(4, 3_000.0));
}

#[test]
fn admit_request_avoids_the_replica_without_free_slots() {
    let (table, keys) = table(0, &[14, 18, 3, 15]);
    for seed in 0..50 {
        // The predictions for 3, 14 and 15 requests differ by less than the processing
        // of a prompt, so that the random part may decide; with 18, a slot is waited for.
        assert_ne!(chosen_replica(decide(&table, 10, seed, false)), keys[1]);
    }
}

#[test]
fn admit_request_overload_is_refused_with_retry_time() {
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
fn admit_request_retry_after_refusal_needs_free_slots() {
    let (loaded, _) = table(0, &[15, 16]);
    assert!(matches!(
        decide(&loaded, 10, 1, true),
        AdmissionDecision::Refuse { .. }
    ));
    let (half_free, _) = table(0, &[6, 16]);
    assert!(matches!(
        decide(&half_free, 10, 1, true),
        AdmissionDecision::Send { .. }
    ));
}

#[test]
fn admit_request_without_replicas_is_refused_as_no_replica() {
    let table = ReplicaTable::default();
    assert!(matches!(
        decide(&table, 10, 1, false),
        AdmissionDecision::Refuse {
            cause: RefusalCause::NoReplica,
            ..
        }
    ));
}

/// Requests arrive in one burst between two load reports. None is refused while slots are
/// free, and no engine gets more requests than it can begin in time.
#[test]
fn admit_request_burst_between_load_reports_is_spread() {
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

/// An engine that answers far later than predicted, such as behind a saturated link, gets
/// no requests while another engine has capacity.
#[test]
fn admit_request_overdue_engine_gets_no_requests() {
    let (mut table, keys) = table(1_000, &[0, 6]);
    table.record_send(keys[0], 100.0, 100);
    for seed in 0..20 {
        assert_eq!(chosen_replica(decide(&table, 1_020, seed, false)), keys[1]);
    }
}

/// Only one engine has capacity, and five other entries have the same load report: each
/// entry counts the requests that the others are estimated to have sent since then, so
/// that the engine is not overloaded.
#[test]
fn admit_request_counts_requests_of_other_entries() {
    let (table, _) = table(0, &[10]);
    let peer_requests_per_ms = 0.17;
    let replicas: Vec<(ReplicaKey, &Replica)> = table.listed().collect();
    let at = |now_ms| {
        admit_request(&AdmissionInput {
            peer_requests_per_ms,
            ..new_request(&replicas, &engine(), now_ms)
        })
    };
    assert!(matches!(at(5), AdmissionDecision::Send { .. }));
    assert!(matches!(at(95), AdmissionDecision::Refuse { .. }));
}

/// A stream that broke in the middle is resumed even at an engine that would not get a
/// late request, but not at one where other requests wait already.
#[test]
fn admit_request_broken_stream_is_not_queued_behind_others() {
    let decide = |requests: u32| {
        let (table, _) = table(0, &[requests]);
        let replicas: Vec<(ReplicaKey, &Replica)> = table.listed().collect();
        admit_request(&AdmissionInput {
            waited_ms: 1_500,
            has_partial_answer: true,
            remaining_ms: 4_000,
            ..new_request(&replicas, &engine(), 10)
        })
    };
    assert!(matches!(decide(15), AdmissionDecision::Send { .. }));
    assert!(matches!(decide(20), AdmissionDecision::Refuse { .. }));
}

/// Replays the end of a change of weights under full load: replicas with the old weights
/// get requests as long as these begin before the deadline, and none after that.
#[test]
fn admit_request_old_weights_until_deadline() {
    let (table, keys) = table(0, &[12, 4]);
    let replicas: Vec<(ReplicaKey, &Replica)> = table.listed().collect();
    let engine = engine();
    let decide = |left_ms: u64| {
        // The first replica has the new weights, the second one the old ones.
        let limits = [None, Some(left_ms)];
        let decisions = (0..50).map(|seed| {
            admit_request(&AdmissionInput {
                begin_within_ms: &limits,
                seed,
                ..new_request(&replicas, &engine, 10)
            })
        });
        decisions
            .map(chosen_replica)
            .filter(|key| *key == keys[1])
            .count()
    };
    let predicted_ms = predicted_first_event_ms(&engine, 4, 800.0);
    assert!(begins_in_time(Some(1_000), predicted_ms));
    assert!(decide(1_000) > 0, "old weights serve until shortly before");
    assert_eq!(decide(400), 0, "nothing is sent that begins too late");
}

#[test]
fn begins_in_time_late_prediction() {
    assert!(begins_in_time(None, 10_000.0));
    assert!(begins_in_time(Some(640), 200.0));
    assert!(!begins_in_time(Some(639), 200.0));
    assert!(!begins_in_time(Some(0), 0.0));
}

#[test]
fn is_predicted_to_have_begun_late_prediction() {
    assert!(is_predicted_to_have_begun(640, 200.0));
    assert!(!is_predicted_to_have_begun(639, 200.0));
}

/// Guards against LOST: a request that nobody else can take is sent to a replica whose weights
/// end within a silence of it.
#[test]
fn placement_limit_reserve_unless_stream_resumable() {
    let resumable = RouteKind::Streaming { resumable: true };
    assert_eq!(placement_limit_ms(Some(1_500), resumable), Some(1_500));
    let others = [
        RouteKind::Streaming { resumable: false },
        RouteKind::Idempotent,
        RouteKind::NonIdempotent,
    ];
    for kind in others {
        assert_eq!(placement_limit_ms(Some(1_500), kind), Some(500));
        assert_eq!(placement_limit_ms(Some(900), kind), Some(0));
        assert_eq!(placement_limit_ms(None, kind), None);
    }
}

/// A report that was on its way when a request was sent says nothing of it.
#[test]
fn load_after_send_on_its_way() {
    let (table, keys) = table(1_000, &[4]);
    let replica = table.get(keys[0]);
    assert!(replica.load_after(900).is_some());
    assert!(replica.load_after(999).is_none());
    assert!(replica.load_after(1_000).is_none());
}

/// Replays requests that arrive in one moment while all replicas are nearly idle. Guards
/// against a replica that gets several and reads their prompts one after the other, while
/// others have nothing to read.
#[test]
fn admit_request_spreads_simultaneous_prompts() {
    for first_seed in 0..50 {
        let (mut table, keys) = table(0, &[2, 3, 4]);
        let mut chosen = Vec::new();
        for seed in first_seed..first_seed + 3 {
            let key = chosen_replica(decide(&table, 5, seed, false));
            table.record_send(key, 100.0, 5);
            chosen.push(key);
        }
        chosen.sort_unstable();
        assert_eq!(chosen, keys, "each replica gets one request");
    }
}
