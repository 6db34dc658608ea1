/// Weight of the latest request in the average, as a divisor.
const SMOOTHING_DIVISOR: u64 = 16;

/// The same for a request that was faster than the average, so that an engine that
/// was slow for a while is soon trusted again.
const FASTER_SMOOTHING_DIVISOR: u64 = 4;

/// Time a stream takes before any has been measured, in microseconds a token.
const UNMEASURED_US_PER_TOKEN: u64 = 0;

/// Estimates how long a request would wait for a slot.
///
/// It learns from finished requests how long a slot is held for each token.
#[derive(Debug, Clone)]
pub struct WaitEstimator {
    slots: u64,
    us_per_token: u64,
}

impl WaitEstimator {
    /// Estimates for an engine with `slots` slots.
    pub fn new(slots: u32) -> Self {
        Self {
            slots: u64::from(slots.max(1)),
            us_per_token: UNMEASURED_US_PER_TOKEN,
        }
    }

    /// Changes the number of slots.
    pub fn set_slots(&mut self, slots: u32) {
        self.slots = u64::from(slots.max(1));
    }

    /// Learns that a request of `cost_tokens` held a slot for `held_ms`.
    pub fn record_finished(&mut self, cost_tokens: u64, held_ms: u64) {
        let latest_us = held_ms * 1000 / cost_tokens.max(1);
        self.us_per_token = match self.us_per_token {
            UNMEASURED_US_PER_TOKEN => latest_us,
            mean_us if latest_us < mean_us => {
                (mean_us * (FASTER_SMOOTHING_DIVISOR - 1) + latest_us) / FASTER_SMOOTHING_DIVISOR
            }
            mean_us => (mean_us * (SMOOTHING_DIVISOR - 1) + latest_us) / SMOOTHING_DIVISOR,
        };
    }

    /// Time one request of `cost_tokens` holds a slot.
    pub fn service_ms(&self, cost_tokens: u64) -> u64 {
        cost_tokens * self.us_per_token / 1000
    }

    /// Time until `tokens_ahead` have been served by `share_percent` of the slots.
    pub fn wait_ms(&self, tokens_ahead: u64, share_percent: u64) -> u64 {
        let slot_percent = self.slots * share_percent.clamp(1, 100);
        tokens_ahead * self.us_per_token / 10 / slot_percent
    }
}
