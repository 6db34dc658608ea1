use arbtest::arbtest;

use bergamotfork::links::TokenBucket;

#[test]
fn token_bucket_reserve_within_rate_and_burst() {
    arbtest(|u| {
        let rate_bytes_per_s: u64 = u.int_in_range(1..=1_000_000)?;
        let burst_bytes: u64 = u.int_in_range(0..=10_000)?;
        let mut bucket = TokenBucket::new(rate_bytes_per_s, burst_bytes);
        let start_us = 1_000_000_000;
        let mut now_us = start_us;
        let mut sent_bytes = 0;
        for _ in 0..u.int_in_range(1..=50)? {
            let bytes = u.int_in_range(1..=5000)?;
            let wait_us = bucket.reserve(now_us, bytes);
            sent_bytes += bytes;
            let elapsed_us = now_us + wait_us - start_us;
            let allowed_bytes =
                burst_bytes + rate_bytes_per_s * (elapsed_us + 100) / 1_000_000 + 50;
            assert!(
                sent_bytes <= allowed_bytes,
                "{sent_bytes} of {allowed_bytes} bytes"
            );
            now_us += u.int_in_range(0..=100_000)?;
        }
        Ok(())
    });
}
