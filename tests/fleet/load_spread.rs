use crate::fixture::engine;
use bergamotfork::fleet::StartDelay;
use bergamotfork::fleet::choose_by_level;
use bergamotfork::fleet::predicted_first_event_ms;

/// Evenly spread number from 0 to 1.
fn unit(index: u32) -> f64 {
    f64::from(index.wrapping_mul(2_654_435_761) >> 8) / f64::from(1u32 << 24)
}

#[test]
fn choose_by_level_nothing_expected_lowest() {
    for index in 0..20 {
        assert_eq!(choose_by_level(&[3.0, 1.0, 2.0], 0.0, unit(index)), Some(1));
    }
    assert_eq!(choose_by_level(&[], 5.0, 0.5), None);
}

/// Replays 63 entries that place 120 requests by the same reports. Guards against all of them
/// choosing the engine with the least load.
#[test]
fn choose_by_level_same_reports_filled_alike() {
    let reported: Vec<f64> = (0..40).map(|engine| f64::from(6 + engine % 5)).collect();
    let mut filled = reported.clone();
    for index in 0..120 {
        let at = choose_by_level(&reported, 120.0, unit(index)).unwrap();
        filled[at] += 1.0;
    }
    // 440 requests at 40 engines.
    assert!(filled.iter().all(|load| *load <= 11.0 + 6.0), "{filled:?}");
    let over = filled.iter().filter(|load| **load > 11.0 + 3.0).count();
    assert!(over <= 4, "{filled:?}");
}

/// Replays a load of 1.4 times what an engine of 16 slots bears, where answers begin 300 ms
/// later than the reports make believe. Guards against admitting requests that all begin late.
#[test]
fn start_delay_overload_learnt_and_forgotten() {
    let mut delay = StartDelay::default();
    let mut now_ms = 0;
    for index in 0..60 {
        now_ms += 100;
        delay.record(200.0 + 200.0 * unit(index), now_ms);
    }
    let learnt_ms = delay.delay_ms(now_ms);
    assert!((300.0..=400.0).contains(&learnt_ms), "{learnt_ms}");
    // A request that waits for a slot would be late, one that gets a slot at once is not.
    let predicted_ms = |requests| predicted_first_event_ms(&engine(), requests, 800.0);
    assert!(predicted_ms(17) + learnt_ms > 360.0);
    assert!(predicted_ms(15) <= 360.0);
    assert!(delay.delay_ms(now_ms + 10_000) < 20.0);
    for index in 0..60 {
        now_ms += 100;
        delay.record(-20.0 * unit(index), now_ms);
    }
    assert_eq!(delay.delay_ms(now_ms), 0.0);
}
