use arbtest::arbtest;

use bergamotfork::calls::CrashId;
use bergamotfork::calls::SuspectSlot;
use bergamotfork::calls::SuspectStatus;
use bergamotfork::calls::SuspectTable;
use bergamotfork::calls::fingerprint;
use bergamotfork::weights::Digest;

const WINDOW_MS: u64 = 1000;

fn crash(number: u32) -> CrashId {
    CrashId {
        endpoint: format!("desk-{number}"),
        incarnation: 1,
        crash_no: 0,
    }
}

fn request(number: u64) -> Digest {
    fingerprint("chat", &number.to_be_bytes())
}

#[test]
fn request_status_refuses_after_third_crash() {
    let mut table = SuspectTable::new(WINDOW_MS, 64);
    let suspect = request(0);
    assert_eq!(table.request_status(suspect, 0), SuspectStatus::Clear);
    for number in 0..2 {
        table.add_crash(suspect, crash(number), 0);
        table.add_crash(suspect, crash(number), 1);
        assert_eq!(table.request_status(suspect, 1), SuspectStatus::Suspect);
    }
    table.add_crash(suspect, crash(2), 2);
    assert_eq!(table.request_status(suspect, 2), SuspectStatus::Refused);
    assert_eq!(table.request_status(request(1), 2), SuspectStatus::Clear);
    assert_eq!(
        table.request_status(suspect, WINDOW_MS + 2),
        SuspectStatus::Clear
    );
}

#[test]
fn clear_request_ends_suspicion() {
    let mut table = SuspectTable::new(WINDOW_MS, 64);
    table.add_crash(request(1), crash(0), 0);
    table.clear_request(request(1));
    assert_eq!(table.request_status(request(1), 0), SuspectStatus::Clear);
}

#[test]
fn merge_records_any_order_agrees() {
    arbtest(|u| {
        let mut tables = vec![SuspectTable::new(WINDOW_MS, 64); 3];
        for _ in 0..u.int_in_range(1..=30)? {
            let at = u.int_in_range(0..=2)?;
            let suspect = request(u.int_in_range(0..=2)?);
            if u.ratio(1, 4)? {
                tables[at].clear_request(suspect);
            } else {
                tables[at].add_crash(suspect, crash(u.int_in_range(0..=3)?), 0);
            }
        }
        let exports: Vec<_> = tables.iter().map(|table| table.export_records(0)).collect();
        for (at, table) in tables.iter_mut().enumerate() {
            for step in 0..exports.len() {
                table.merge_records(exports[(at + step) % exports.len()].clone(), 0);
            }
        }
        assert_eq!(tables[0], tables[1]);
        assert_eq!(tables[1], tables[2]);
        Ok(())
    })
    .seed(0x5eed_0002_0000_1000)
    .budget_ms(1000);
}

#[test]
fn try_acquire_one_suspect_at_a_time() {
    let mut slot = SuspectSlot::default();
    assert!(slot.try_acquire(request(0)));
    assert!(slot.try_acquire(request(0)));
    assert!(!slot.try_acquire(request(1)));
    slot.release(request(0));
    assert!(!slot.try_acquire(request(1)));
    slot.release(request(0));
    assert!(slot.try_acquire(request(1)));
}
