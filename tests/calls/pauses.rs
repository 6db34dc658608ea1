use bergamotfork::calls::PauseDetector;

#[test]
fn pause_ms_counts_until_settled() {
    let detector = PauseDetector::new(100, 0);
    detector.tick(100);
    assert_eq!(detector.pause_ms(450), 0);
    // Before the first tick after the pause, and after it.
    assert_eq!(detector.pause_ms(3100), 3000);
    detector.tick(3100);
    assert_eq!(detector.pause_ms(3150), 3050);
    for now_ms in (3200..=4200).step_by(100) {
        detector.tick(now_ms);
    }
    assert_eq!(detector.pause_ms(4200), 0);
}

/// Guards against a short pause that hides a long one before it, whose messages may still
/// wait to be read.
#[test]
fn pause_ms_second_pause_adds_up() {
    let detector = PauseDetector::new(100, 0);
    for now_ms in [100, 3100, 3200] {
        detector.tick(now_ms);
    }
    assert_eq!(detector.pause_ms(3800), 3700);
    // The time of the second pause was no time to read the messages of the first.
    for now_ms in (3800..=4600).step_by(100) {
        detector.tick(now_ms);
    }
    assert_eq!(detector.pause_ms(4650), 4550);
    // Then those of the second may still wait.
    detector.tick(4700);
    assert_eq!(detector.pause_ms(4700), 1500);
    detector.tick(4800);
    assert_eq!(detector.pause_ms(4800), 0);
}
