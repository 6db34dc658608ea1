use arbtest::arbtest;

use bergamotfork::calls::Asked;
use bergamotfork::calls::Begin;
use bergamotfork::calls::CallOutcome;
use bergamotfork::calls::Dispatch;
use bergamotfork::calls::DispatchLedger;
use bergamotfork::calls::Nonce;
use bergamotfork::calls::Permit;
use bergamotfork::calls::PermitKey;
use bergamotfork::calls::PermitLimits;
use bergamotfork::calls::PermitPlace;
use bergamotfork::calls::PermitTable;
use bergamotfork::calls::RefusalReason;
use bergamotfork::calls::Reply;
use bergamotfork::calls::StoredAnswer;
use bergamotfork::calls::UnknownReason;
use bergamotfork::weights::Digest;

const EPOCH_MS: u64 = 10;
const KEPT_EPOCHS: u64 = 2;

fn permit(nonce: u128, epoch: u64) -> Permit {
    let place = PermitPlace {
        endpoint: "desk-1".to_owned(),
        address: ([127, 0, 0, 1], 80).into(),
        incarnation: 5,
        epoch,
    };
    let key = PermitKey::derive("key");
    Permit::with_nonce(&key, place, "seaside", "bookdesk", nonce.into())
}

fn table(epoch_permits: usize) -> PermitTable {
    let limits = PermitLimits {
        epoch_ms: EPOCH_MS,
        kept_epochs: KEPT_EPOCHS,
        epoch_permits,
        epoch_bytes: 64,
        answer_bytes: 32,
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
fn permit_changed_is_not_genuine() {
    let key = PermitKey::derive("key");
    let genuine = permit(1, 1);
    assert!(genuine.is_genuine(&key));
    assert!(!genuine.is_genuine(&PermitKey::derive("other")));
    let mut moved = genuine.clone();
    moved.address = ([127, 0, 0, 2], 80).into();
    assert!(!moved.is_genuine(&key));
    let mut renewed = genuine;
    renewed.nonce = Nonce::from(2);
    assert!(!renewed.is_genuine(&key));
}

#[test]
fn permit_survives_json_and_msgpack() {
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
fn table_resend_gets_stored_answer() {
    let mut table = table(8);
    let permit = permit(1, 1);
    assert_eq!(table.begin(&permit, request(), 0), Begin::Run);
    assert_eq!(table.begin(&permit, request(), 0), Begin::Join);
    table.finish(&permit, answer(2));
    assert_eq!(table.begin(&permit, request(), 1), Begin::Done(answer(2)));
    assert_eq!(
        table.ask(&permit, RefusalReason::Withdrawn, 1),
        Asked::Done(answer(2))
    );
}

#[test]
fn table_other_request_is_refused() {
    let mut table = table(8);
    let permit = permit(1, 1);
    table.begin(&permit, request(), 0);
    let other = table.begin(&permit, Digest::of_bytes(b"book hut 13"), 0);
    let refused = matches!(
        other,
        Begin::Refused {
            reason: RefusalReason::PermitReused,
            ..
        }
    );
    assert!(refused, "{other:?}");
}

#[test]
fn table_large_answer_is_unknown() {
    let mut table = table(8);
    let permit = permit(1, 1);
    table.begin(&permit, request(), 0);
    table.finish(&permit, answer(33));
    let dropped = CallOutcome::unknown(UnknownReason::AnswerDropped);
    assert_eq!(table.begin(&permit, request(), 0), Begin::Done(dropped));
}

#[test]
fn table_full_epoch_stays_closed() {
    let mut table = table(2);
    for nonce in 0..2 {
        table.begin(&permit(nonce, 1), request(), 0);
    }
    let refused = Begin::Refused {
        reason: RefusalReason::PermitsFull,
        retry_after_ms: Some(EPOCH_MS),
    };
    assert_eq!(table.begin(&permit(2, 1), request(), 0), refused);
    let asked = Asked::NotRun(RefusalReason::PermitsFull);
    assert_eq!(table.ask(&permit(3, 1), RefusalReason::Withdrawn, 0), asked);
    assert_eq!(table.len(), 2);
    assert_eq!(table.begin(&permit(2, 2), request(), EPOCH_MS), Begin::Run);
    assert!(matches!(
        table.begin(&permit(2, 1), request(), EPOCH_MS),
        Begin::Refused { .. }
    ));
}

/// Any mix of calls, questions, refusals and time: a permit runs once at most,
/// never after "not run", and the table stays within its bounds.
#[test]
fn table_any_history_keeps_promises() {
    arbtest(|u| {
        let mut table = table(4);
        let mut now_ms = 0;
        let mut runs = [0; 6];
        let mut not_run = [false; 6];
        for _ in 0..u.int_in_range(1..=60)? {
            let nonce = u.int_in_range(0..=5)?;
            // One nonce belongs to one epoch.
            let permit = permit(nonce as u128, 1 + nonce as u64 % 3);
            match u.int_in_range(0..=4)? {
                0 => now_ms += u.int_in_range(0..=EPOCH_MS)?,
                1 => table.finish(&permit, answer(u.int_in_range(0..=40)?)),
                2 => {
                    let asked = table.ask(&permit, RefusalReason::Withdrawn, now_ms);
                    not_run[nonce] |= matches!(asked, Asked::NotRun(_));
                }
                kind => {
                    let begun = if kind == 3 {
                        table.begin(&permit, request(), now_ms)
                    } else {
                        table.refuse(&permit, request(), RefusalReason::Leaving, now_ms)
                    };
                    not_run[nonce] |= matches!(begun, Begin::Refused { .. });
                    runs[nonce] += u32::from(begun == Begin::Run);
                }
            }
            assert!(runs[nonce] <= 1, "ran twice");
            assert!(runs[nonce] == 0 || !not_run[nonce], "ran and told not run");
            assert!(table.len() <= 4 * KEPT_EPOCHS as usize);
        }
        Ok(())
    })
    .seed(0x5eed_0001_0000_1000)
    .budget_ms(1000);
}

#[test]
fn ledger_vouches_for_own_permits_only() {
    let mut ledger = DispatchLedger::new(2);
    let (own, other) = (Nonce::from(1), Nonce::from(2));
    ledger.issue(own);
    let arrived = Reply::ArrivedUnknown(UnknownReason::PastIncarnation);
    for nonce in [own, other] {
        assert_eq!(ledger.dispatch(nonce, 1), Dispatch::Go);
    }
    let replaced = CallOutcome::not_run(RefusalReason::Replaced);
    let unknown = CallOutcome::unknown(UnknownReason::PastIncarnation);
    assert_eq!(ledger.conclude(other, 1, arrived.clone()), unknown);
    assert_eq!(ledger.conclude(own, 1, arrived), replaced);
    assert_eq!(
        ledger.dispatch(own, 1),
        Dispatch::Closed(RefusalReason::Replaced)
    );
}

#[test]
fn ledger_forgets_oldest_and_stays_bounded() {
    let mut ledger = DispatchLedger::new(2);
    for nonce in 0..5 {
        ledger.issue(Nonce::from(nonce));
    }
    assert_eq!(ledger.len(), 2);
    assert_eq!(ledger.facts(Nonce::from(0), 1).dispatches, None);
    assert_eq!(ledger.facts(Nonce::from(4), 1).dispatches, Some(0));
}

#[test]
fn reasons_have_distinct_codes() {
    let mut codes: Vec<&str> = RefusalReason::ALL
        .iter()
        .map(|reason| reason.code())
        .collect();
    codes.sort_unstable();
    codes.dedup();
    assert_eq!(codes.len(), RefusalReason::ALL.len());
}

#[test]
fn reasons_page_lists_every_code() {
    let page = include_str!("../../docs/CALLS.md");
    for reason in RefusalReason::ALL {
        let wait = reason
            .retry_after_ms()
            .map_or("-".to_owned(), |wait_ms| wait_ms.to_string());
        let row = format!("| `{}` | {wait} | {} |", reason.code(), reason.meaning());
        assert!(page.contains(&row), "docs/CALLS.md lacks: {row}");
    }
}
