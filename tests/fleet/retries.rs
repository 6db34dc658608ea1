use bergamotfork::fleet::RateMeter;
use bergamotfork::fleet::RecentDeadlines;
use bergamotfork::fleet::SharedRetryBudget;

const WINDOW_MS: u64 = 10_000;

/// All requests fail at every entry, such as when replicas reset their connections. The
/// entries together stay within the ratio and the extra retries of any window.
#[test]
fn shared_retry_budget_try_retry_all_entries_stay_within_limits() {
    let entries = 6;
    let mut budgets: Vec<SharedRetryBudget> = (0..entries)
        .map(|_| SharedRetryBudget::new(0.2, 100.0, WINDOW_MS))
        .collect();
    let mut retries: Vec<u64> = Vec::new();
    for now_ms in (0..30_000u64).step_by(20) {
        for budget in &mut budgets {
            budget.set_entry_count(entries, now_ms);
            budget.record_request(now_ms);
            if budget.try_retry(now_ms) {
                retries.push(now_ms);
            }
        }
    }
    let requests_in_window = (WINDOW_MS / 20) as usize * entries as usize;
    for start in (0..20_000u64).step_by(100) {
        let sent = retries
            .iter()
            .filter(|at| (start..start + WINDOW_MS).contains(at))
            .count();
        let allowed = requests_in_window / 5 + 100;
        assert!(sent <= allowed, "{sent} of {allowed} from {start} ms on");
    }
    assert!(!retries.is_empty());
}

#[test]
fn shared_retry_budget_set_entry_count_keeps_maximum() {
    let mut budget = SharedRetryBudget::new(0.0, 12.0, WINDOW_MS);
    budget.set_entry_count(6, 0);
    // The entries that failed may have spent their share within this window.
    budget.set_entry_count(1, 1_000);
    let sent = (0..10).filter(|_| budget.try_retry(1_000)).count();
    assert_eq!(sent, 2);
    budget.set_entry_count(1, 11_000);
    let later = (0..20).filter(|_| budget.try_retry(11_500)).count();
    assert_eq!(later, 12);
}

#[test]
fn rate_meter_events_per_ms_decays() {
    let mut meter = RateMeter::default();
    for now_ms in (0..5_000).step_by(25) {
        meter.record_event(now_ms);
    }
    let rate = meter.events_per_ms(5_000);
    assert!((0.03..0.05).contains(&rate), "{rate}");
    assert!(meter.events_per_ms(15_000) < 0.001);
}

/// Deadlines in ms of the latest requests, of which each tenth states `stray_ms`.
fn deadlines_with_strays(stray_ms: u64) -> RecentDeadlines {
    let mut recent = RecentDeadlines::default();
    for number in 0..200 {
        recent.record(if number % 10 == 0 { stray_ms } else { 6_000 });
    }
    recent
}

#[test]
fn recent_deadlines_longest_usual_ms_ignores_strays() {
    for stray_ms in [u64::MAX, 60_000, 0] {
        let recent = deadlines_with_strays(stray_ms);
        assert_eq!(recent.longest_usual_ms(), 6_000, "{stray_ms}");
    }
}

/// Under overload most requests are retries, whose clients have less time left.
#[test]
fn recent_deadlines_longest_usual_ms_among_retries() {
    let mut recent = RecentDeadlines::default();
    for number in 0..200 {
        recent.record(if number % 5 == 0 { 6_000 } else { 2_000 });
    }
    assert_eq!(recent.longest_usual_ms(), 6_000);
}

/// Clients whose deadlines change are judged by the latest.
#[test]
fn recent_deadlines_longest_usual_ms_follows_change() {
    let mut recent = RecentDeadlines::default();
    assert_eq!(recent.longest_usual_ms(), 0);
    recent.record(9_000);
    assert_eq!(recent.longest_usual_ms(), 9_000);
    (0..100).for_each(|_| recent.record(9_000));
    (0..100).for_each(|_| recent.record(4_000));
    assert_eq!(recent.longest_usual_ms(), 4_000);
}
