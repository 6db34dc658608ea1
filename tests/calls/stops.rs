//! What a process that stops passes on.

use bergamotfork::calls::RunTimes;
use bergamotfork::calls::StopAdmission;

/// A request with a deadline of a minute, whose like took `longest_run_ms`.
fn request(left_ms: u64, longest_run_ms: Option<u64>, is_repeatable: bool) -> StopAdmission {
    StopAdmission {
        left_ms,
        deadline_left_ms: 60_000,
        longest_run_ms,
        is_repeatable,
    }
}

#[test]
fn can_end_longest_run_fits() {
    assert!(request(950, Some(800), true).can_end());
    assert!(!request(949, Some(800), true).can_end());
}

/// Guards against requests that may run only once and are cut, as they take longer than those
/// before on their route.
#[test]
fn can_end_single_run_by_deadline_alone() {
    assert!(!request(59_999, Some(1), false).can_end());
    assert!(request(60_000, None, false).can_end());
}

#[test]
fn can_end_deadline_fits() {
    let due = StopAdmission {
        deadline_left_ms: 1_500,
        ..request(1_500, Some(4_000), false)
    };
    assert!(due.can_end());
    assert!(
        StopAdmission {
            longest_run_ms: None,
            ..due
        }
        .can_end()
    );
    assert!(
        !StopAdmission {
            left_ms: 1_499,
            ..due
        }
        .can_end()
    );
}

#[test]
fn can_end_unknown_time_refused() {
    assert!(!request(30_000, None, true).can_end());
}

#[test]
fn longest_ms_of_latest_runs() {
    let mut times = RunTimes::default();
    assert_eq!(times.longest_ms("plan"), None);
    times.record("plan", 5_000);
    times.record("hold", 60);
    assert_eq!(times.longest_ms("plan"), Some(5_000));
    assert_eq!(times.longest_ms("hold"), Some(60));
    for _ in 0..128 {
        times.record("plan", 700);
    }
    assert_eq!(times.longest_ms("plan"), Some(700));
    assert_eq!(times.longest_ms("hold"), Some(60));
}
