use arbtest::arbtest;

use bergamotfork::calls::CallDecision;
use bergamotfork::calls::CallOutcome;
use bergamotfork::calls::DispatchDecision;
use bergamotfork::calls::DispatchLedger;
use bergamotfork::calls::Nonce;
use bergamotfork::calls::Permit;
use bergamotfork::calls::PermitKey;
use bergamotfork::calls::PermitLimits;
use bergamotfork::calls::PermitStatus;
use bergamotfork::calls::PermitTable;
use bergamotfork::calls::PermitTarget;
use bergamotfork::calls::RefusalReason;
use bergamotfork::calls::SendResult;
use bergamotfork::calls::StoredAnswer;
use bergamotfork::calls::UnknownReason;
use bergamotfork::weights::Digest;

const EPOCH_MS: u64 = 10;
const RETAINED_EPOCHS: u64 = 2;

fn permit(nonce: u128, epoch: u64) -> Permit {
    let target = PermitTarget {
        endpoint: "desk-1".to_owned(),
        address: ([127, 0, 0, 1], 80).into(),
        incarnation: 5,
        epoch,
    };
    let key = PermitKey::derive("key");
    Permit::with_nonce(&key, target, "seaside", "bookdesk", nonce.into())
}

fn table(max_epoch_permits: usize) -> PermitTable {
    let limits = PermitLimits {
        epoch_ms: EPOCH_MS,
        retained_epochs: RETAINED_EPOCHS,
        max_epoch_permits,
        max_epoch_bytes: 64,
        max_answer_bytes: 32,
    };
    PermitTable::new(5, limits, 0)
}

fn answer(bytes: usize) -> CallOutcome {
    CallOutcome::Answer(StoredAnswer {
        status: 200,
        body: vec![b'x'; bytes],
    })
}

fn request() -> Digest {
    Digest::of_bytes(b"book hut 12")
}

#[test]
fn has_valid_seal_rejects_changed_permit() {
    let key = PermitKey::derive("key");
    let genuine = permit(1, 1);
    assert!(genuine.has_valid_seal(&key));
    assert!(!genuine.has_valid_seal(&PermitKey::derive("other")));
    let mut moved = genuine.clone();
    moved.address = ([127, 0, 0, 2], 80).into();
    assert!(!moved.has_valid_seal(&key));
    let mut renewed = genuine;
    renewed.nonce = Nonce::from(2);
    assert!(!renewed.has_valid_seal(&key));
}

#[test]
fn permit_round_trips_json_and_msgpack() {
    let permit = permit(u128::MAX, 3);
    let json = serde_json::to_string(&permit).expect("a permit is JSON");
    assert_eq!(
        serde_json::from_str::<Permit>(&json).ok(),
        Some(permit.clone())
    );
    let packed = rmp_serde::to_vec_named(&permit).expect("a permit is MessagePack");
    assert_eq!(rmp_serde::from_slice::<Permit>(&packed).ok(), Some(permit));
}

#[test]
fn begin_call_resend_gets_stored_answer() {
    let mut table = table(8);
    let permit = permit(1, 1);
    assert_eq!(table.begin_call(&permit, request(), 0), CallDecision::Run);
    assert_eq!(table.begin_call(&permit, request(), 0), CallDecision::Join);
    table.finish_call(&permit, answer(2));
    assert_eq!(
        table.begin_call(&permit, request(), 1),
        CallDecision::Ended(answer(2))
    );
    assert_eq!(
        table.status_or_refuse(&permit, RefusalReason::Withdrawn, 1),
        PermitStatus::Ended(answer(2))
    );
}

#[test]
fn begin_call_other_request_is_refused() {
    let mut table = table(8);
    let permit = permit(1, 1);
    table.begin_call(&permit, request(), 0);
    let other = table.begin_call(&permit, Digest::of_bytes(b"book hut 13"), 0);
    let refused = matches!(
        other,
        CallDecision::Refused {
            reason: RefusalReason::PermitReused,
            ..
        }
    );
    assert!(refused, "{other:?}");
}

#[test]
fn finish_call_large_answer_is_dropped() {
    let mut table = table(8);
    let permit = permit(1, 1);
    table.begin_call(&permit, request(), 0);
    table.finish_call(&permit, answer(33));
    let dropped = CallOutcome::unknown(UnknownReason::AnswerDropped);
    assert_eq!(
        table.begin_call(&permit, request(), 0),
        CallDecision::Ended(dropped)
    );
}

#[test]
fn begin_call_full_epoch_stays_closed() {
    let mut table = table(2);
    for nonce in 0..2 {
        table.begin_call(&permit(nonce, 1), request(), 0);
    }
    let refused = CallDecision::Refused {
        reason: RefusalReason::PermitsFull,
        retry_after_ms: Some(EPOCH_MS),
    };
    assert_eq!(table.begin_call(&permit(2, 1), request(), 0), refused);
    let not_run = PermitStatus::NotRun(RefusalReason::PermitsFull);
    assert_eq!(
        table.status_or_refuse(&permit(3, 1), RefusalReason::Withdrawn, 0),
        not_run
    );
    assert_eq!(table.len(), 2);
    assert_eq!(
        table.begin_call(&permit(2, 2), request(), EPOCH_MS),
        CallDecision::Run
    );
    assert!(matches!(
        table.begin_call(&permit(2, 1), request(), EPOCH_MS),
        CallDecision::Refused { .. }
    ));
}

/// After any mix of calls, queries, refusals and time, a permit has run at most once,
/// never together with "not run", and the table is within its limits.
#[test]
fn permit_table_random_history_runs_once() {
    arbtest(|u| {
        let mut table = table(4);
        let mut now_ms = 0;
        let mut runs = [0; 6];
        let mut not_run = [false; 6];
        for _ in 0..u.int_in_range(1..=60)? {
            let nonce = u.int_in_range(0..=5)?;
            // Each nonce belongs to one epoch.
            let permit = permit(nonce as u128, 1 + nonce as u64 % 3);
            match u.int_in_range(0..=4)? {
                0 => now_ms += u.int_in_range(0..=EPOCH_MS)?,
                1 => table.finish_call(&permit, answer(u.int_in_range(0..=40)?)),
                2 => {
                    let status = table.status_or_refuse(&permit, RefusalReason::Withdrawn, now_ms);
                    not_run[nonce] |= matches!(status, PermitStatus::NotRun(_));
                }
                kind => {
                    let decision = if kind == 3 {
                        table.begin_call(&permit, request(), now_ms)
                    } else {
                        table.refuse_call(&permit, request(), RefusalReason::Leaving, now_ms)
                    };
                    not_run[nonce] |= matches!(decision, CallDecision::Refused { .. });
                    runs[nonce] += u32::from(decision == CallDecision::Run);
                }
            }
            assert!(runs[nonce] <= 1, "ran twice");
            assert!(
                runs[nonce] == 0 || !not_run[nonce],
                "ran and was reported as not run"
            );
            assert!(table.len() <= 4 * RETAINED_EPOCHS as usize);
        }
        Ok(())
    })
    .seed(0x5eed_0001_0000_1000)
    .budget_ms(1000);
}

#[test]
fn finish_send_not_run_for_own_permits_only() {
    let mut ledger = DispatchLedger::new(2);
    let (own, other) = (Nonce::from(1), Nonce::from(2));
    ledger.record_permit(own);
    let dispatch_unknown = SendResult::DispatchUnknown(UnknownReason::PastIncarnation);
    for nonce in [own, other] {
        assert_eq!(ledger.record_dispatch(nonce, 1), DispatchDecision::Allowed);
    }
    let replaced = CallOutcome::not_run(RefusalReason::Replaced);
    let unknown = CallOutcome::unknown(UnknownReason::PastIncarnation);
    assert_eq!(
        ledger.finish_send(other, 1, dispatch_unknown.clone()),
        unknown
    );
    assert_eq!(ledger.finish_send(own, 1, dispatch_unknown), replaced);
    assert_eq!(
        ledger.record_dispatch(own, 1),
        DispatchDecision::Closed(RefusalReason::Replaced)
    );
}

#[test]
fn record_permit_forgets_oldest() {
    let mut ledger = DispatchLedger::new(2);
    for nonce in 0..5 {
        ledger.record_permit(Nonce::from(nonce));
    }
    assert_eq!(ledger.len(), 2);
    assert_eq!(ledger.permit_history(Nonce::from(0), 1).dispatches, None);
    assert_eq!(ledger.permit_history(Nonce::from(4), 1).dispatches, Some(0));
}

#[test]
fn refusal_reason_codes_are_distinct() {
    let mut codes: Vec<&str> = RefusalReason::ALL
        .iter()
        .map(|reason| reason.code())
        .collect();
    codes.sort_unstable();
    codes.dedup();
    assert_eq!(codes.len(), RefusalReason::ALL.len());
}

#[test]
fn refusal_reason_page_lists_every_code() {
    let page = include_str!("../../docs/CALLS.md");
    for reason in RefusalReason::ALL {
        let wait = reason
            .retry_after_ms()
            .map_or("-".to_owned(), |wait_ms| wait_ms.to_string());
        let row = format!("| `{}` | {wait} | {} |", reason.code(), reason.meaning());
        assert!(page.contains(&row), "docs/CALLS.md lacks: {row}");
    }
}
