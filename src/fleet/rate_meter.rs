/// Time constant of the exponential decay, in ms.
const DECAY_MS: f64 = 1_000.0;

/// Rate of events, as an exponentially decayed count.
#[derive(Debug, Default)]
pub struct RateMeter {
    // As of `updated_ms`.
    count: f64,
    updated_ms: u64,
}

impl RateMeter {
    /// Counts one event.
    pub fn record_event(&mut self, now_ms: u64) {
        self.count = self.decayed_count(now_ms) + 1.0;
        self.updated_ms = now_ms;
    }

    /// Mean number of events per ms over about the last second.
    pub fn events_per_ms(&self, now_ms: u64) -> f64 {
        self.decayed_count(now_ms) / DECAY_MS
    }

    /// Count of events, decayed up to `now_ms`.
    fn decayed_count(&self, now_ms: u64) -> f64 {
        let age_ms = now_ms.saturating_sub(self.updated_ms) as f64;
        self.count * (-age_ms / DECAY_MS).exp()
    }
}
