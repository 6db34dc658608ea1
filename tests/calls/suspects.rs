use arbtest::arbtest;

use bergamotfork::calls::CompletedRuns;
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
fn add_crash_full_table_keeps_most_suspected() {
    let mut table = SuspectTable::new(WINDOW_MS, 8);
    let culprit = request(0);
    table.add_crash(culprit, crash(0), 0);
    table.add_crash(culprit, crash(1), 0);
    for bystander in 1..100 {
        table.add_crash(request(bystander), crash(1), 1);
    }
    table.add_crash(culprit, crash(2), 2);
    assert_eq!(table.request_status(culprit, 2), SuspectStatus::Refused);
}

#[test]
fn add_crash_full_table_drops_cleared_first() {
    let mut table = SuspectTable::new(WINDOW_MS, 2);
    table.add_crash(request(1), crash(0), 1);
    table.clear_request(request(1));
    table.add_crash(request(2), crash(0), 0);
    table.add_crash(request(3), crash(0), 2);
    assert_eq!(table.crash_count(request(2), 2), 1);
    assert_eq!(table.crash_count(request(3), 2), 1);
}

#[test]
fn most_suspected_refused_first() {
    let mut table = SuspectTable::new(WINDOW_MS, 64);
    for number in 0..20 {
        let crashes = if number == 13 { 3 } else { 2 };
        for at in 0..crashes {
            table.add_crash(request(number), crash(at), 0);
        }
    }
    table.add_crash(request(99), crash(0), 0);
    let records = table.most_suspected(5, 0);
    assert_eq!(records.len(), 5);
    assert!(records[..3].iter().all(|r| r.fingerprint == request(13)));
    assert!(records.iter().all(|r| r.fingerprint != request(99)));
}

#[test]
fn request_records_of_one_request() {
    let mut table = SuspectTable::new(WINDOW_MS, 64);
    for number in 0..5 {
        table.add_crash(request(number), crash(0), 0);
    }
    table.add_crash(request(2), crash(1), 10);
    let records = table.request_records(request(2), 20);
    let ages: Vec<u64> = records.iter().map(|record| record.age_ms).collect();
    assert_eq!(ages, [20, 10]);
    assert!(table.request_records(request(7), 20).is_empty());
}

#[test]
fn request_status_tried_again_refused_after_next_crash() {
    let mut table = SuspectTable::new(WINDOW_MS, 64);
    let suspect = request(0);
    for number in 0..3 {
        table.add_crash(suspect, crash(number), 0);
    }
    table.drop_expired(WINDOW_MS);
    assert_eq!(
        table.request_status(suspect, WINDOW_MS),
        SuspectStatus::Clear
    );
    table.add_crash(suspect, crash(3), WINDOW_MS);
    assert_eq!(
        table.request_status(suspect, WINDOW_MS + 1),
        SuspectStatus::Refused
    );
}

#[test]
fn is_trial_due_after_crashes_at_one_moment() {
    let mut table = SuspectTable::new(600_000, 64);
    for number in 0..4 {
        table.add_crash(request(0), crash(number), 1_000 + u64::from(number));
    }
    assert_eq!(
        table.request_status(request(0), 1_100),
        SuspectStatus::Refused
    );
    assert!(!table.is_trial_due(request(0), None, 1_100));
    assert!(table.is_trial_due(request(0), None, 1_400));
    // The trial has ended another endpoint: no failure of several at once.
    table.add_crash(request(0), crash(9), 1_450);
    assert!(!table.is_trial_due(request(0), None, 10_000));
}

#[test]
fn is_trial_due_soon_after_end_before_crashes() {
    let mut table = SuspectTable::new(600_000, 64);
    for number in 0..3 {
        table.add_crash(request(0), crash(number), 20_000 + 100 * u64::from(number));
    }
    assert!(table.is_trial_due(request(0), Some(19_000), 20_500));
    assert!(!table.is_trial_due(request(0), Some(9_000), 20_500));
    assert!(!table.is_trial_due(request(0), None, 20_500));
    table.add_crash(request(0), crash(3), 20_550);
    assert!(!table.is_trial_due(request(0), Some(19_000), 30_000));
}

#[test]
fn last_end_ms_forgets_oldest() {
    let mut completed = CompletedRuns::default();
    for number in 0..4_200 {
        completed.record(request(number), number);
    }
    completed.record(request(4_000), 9_000);
    assert_eq!(completed.last_end_ms(request(0)), None);
    assert_eq!(completed.last_end_ms(request(4_000)), Some(9_000));
    assert_eq!(completed.last_end_ms(request(4_199)), Some(4_199));
}

#[test]
fn is_trial_due_pause_grows() {
    let mut table = SuspectTable::new(600_000, 64);
    for number in 0..3 {
        table.add_crash(request(0), crash(number), 1_000 * u64::from(number));
    }
    assert!(!table.is_trial_due(request(0), None, 16_999));
    assert!(table.is_trial_due(request(0), None, 17_000));
    table.add_crash(request(0), crash(3), 17_000);
    assert!(!table.is_trial_due(request(0), None, 76_999));
    assert!(table.is_trial_due(request(0), None, 77_000));
}

#[test]
fn clear_request_returns_whether_suspected() {
    let mut table = SuspectTable::new(WINDOW_MS, 64);
    assert!(!table.clear_request(request(1)));
    table.add_crash(request(1), crash(0), 0);
    assert!(table.clear_request(request(1)));
    assert!(!table.clear_request(request(1)));
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

/// Guards against crashes that count as of one moment, as they were before the process started.
#[test]
fn is_trial_due_crashes_before_start_of_process() {
    let mut told = SuspectTable::new(600_000, 64);
    for number in 0..3 {
        told.add_crash(request(0), crash(number), 1_000 * u64::from(number));
    }
    let mut table = SuspectTable::new(600_000, 64);
    table.merge_records(told.export_records(8_000), 0);
    assert_eq!(table.request_status(request(0), 0), SuspectStatus::Refused);
    assert!(!table.is_trial_due(request(0), None, 8_999));
    assert!(table.is_trial_due(request(0), None, 9_000));
}
