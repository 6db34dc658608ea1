use std::time::Duration;
use std::time::Instant;

/// Time between two log lines about the same port and cause.
const LINE_INTERVAL: Duration = Duration::from_secs(1);

/// Decides which refusals of peers are logged.
///
/// Load: thousands of refusals within a second. A line tells of one of them, and of how many
/// there have been since the line before.
#[derive(Debug, Default)]
pub struct RefusalPace {
    // Ascending by port and cause.
    kinds: Vec<RefusalKind>,
}

#[derive(Debug)]
struct RefusalKind {
    port: &'static str,
    cause: &'static str,
    logged_at: Instant,
    unlogged: u64,
}

impl RefusalPace {
    /// Records a refusal; returns the number of refusals that its line tells of, None if it has
    /// none.
    pub fn record(&mut self, port: &'static str, cause: &'static str, now: Instant) -> Option<u64> {
        let found = self
            .kinds
            .binary_search_by_key(&(port, cause), |kind| (kind.port, kind.cause));
        match found {
            Ok(at) => {
                let kind = &mut self.kinds[at];
                kind.unlogged += 1;
                if now.saturating_duration_since(kind.logged_at) < LINE_INTERVAL {
                    return None;
                }
                kind.logged_at = now;
                Some(std::mem::take(&mut kind.unlogged))
            }
            Err(at) => {
                let kind = RefusalKind {
                    port,
                    cause,
                    logged_at: now,
                    unlogged: 0,
                };
                self.kinds.insert(at, kind);
                Some(1)
            }
        }
    }
}
