use std::time::Duration;
use std::time::Instant;

/// Polls `probe` every 50 ms until it returns a value; panics and names `condition` after
/// `limit_s` seconds.
pub async fn until<T>(
    condition: &str,
    limit_s: u64,
    mut probe: impl AsyncFnMut() -> Option<T>,
) -> T {
    let deadline = Instant::now() + Duration::from_secs(limit_s);
    loop {
        if let Some(value) = probe().await {
            return value;
        }
        assert!(
            Instant::now() < deadline,
            "not within {limit_s} s: {condition}"
        );
        actix_rt::time::sleep(Duration::from_millis(50)).await;
    }
}
