use bergamotfork::calls::PauseWatch;

#[test]
fn pause_counts_until_settled() {
    let watch = PauseWatch::new(100, 0);
    watch.tick(100);
    assert_eq!(watch.pause_ms(450), 0);
    // Read before the first tick after waking, and after it.
    assert_eq!(watch.pause_ms(3100), 3000);
    watch.tick(3100);
    assert_eq!(watch.pause_ms(3150), 3000);
    for now_ms in (3200..=4200).step_by(100) {
        watch.tick(now_ms);
    }
    assert_eq!(watch.pause_ms(4200), 0);
}
