/// Time over which the rate is taken, in ms.
const WINDOW_MS: f64 = 1_000.0;

/// Rate of events, fading with time.
#[derive(Debug, Default)]
pub struct RateMeter {
    count: f64,
    at_ms: u64,
}

impl RateMeter {
    /// Counts an event.
    pub fn add(&mut self, now_ms: u64) {
        self.count = self.faded(now_ms) + 1.0;
        self.at_ms = now_ms;
    }

    /// Events in one ms, of late.
    pub fn per_ms(&self, now_ms: u64) -> f64 {
        self.faded(now_ms) / WINDOW_MS
    }

    fn faded(&self, now_ms: u64) -> f64 {
        let age_ms = now_ms.saturating_sub(self.at_ms) as f64;
        self.count * (-age_ms / WINDOW_MS).exp()
    }
}
