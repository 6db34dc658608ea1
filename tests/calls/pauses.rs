use bergamotfork::calls::PauseDetector;

#[test]
fn pause_ms_counts_until_settled() {
    let detector = PauseDetector::new(100, 0);
    detector.tick(100);
    assert_eq!(detector.pause_ms(450), 0);
    // Before the first tick after the pause, and after it.
    assert_eq!(detector.pause_ms(3100), 3000);
    detector.tick(3100);
    assert_eq!(detector.pause_ms(3150), 3000);
    for now_ms in (3200..=4200).step_by(100) {
        detector.tick(now_ms);
    }
    assert_eq!(detector.pause_ms(4200), 0);
}
