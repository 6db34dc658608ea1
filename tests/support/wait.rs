use std::time::Duration;
use std::time::Instant;

/// Polls `probe` until it gives a value; panics with `what` after `limit_s`.
pub async fn until<T>(what: &str, limit_s: u64, mut probe: impl AsyncFnMut() -> Option<T>) -> T {
    let deadline = Instant::now() + Duration::from_secs(limit_s);
    loop {
        if let Some(value) = probe().await {
            return value;
        }
        assert!(Instant::now() < deadline, "not within {limit_s} s: {what}");
        actix_rt::time::sleep(Duration::from_millis(50)).await;
    }
}
