/// The latest request has a weight of one divided by this in the moving average.
const SMOOTHING_DIVISOR: u64 = 16;

/// Divisor in place of [`SMOOTHING_DIVISOR`] for a request that was faster than the average;
/// smaller, so that the estimate recovers soon after an engine was slow for a while.
const FASTER_SMOOTHING_DIVISOR: u64 = 4;

/// Value of the average before the first request has finished, in microseconds per token.
const UNMEASURED_US_PER_TOKEN: u64 = 0;

/// Estimates how long a request waits for a slot and how long it holds one.
///
/// It averages the time per token for which finished requests held their slots.
#[derive(Debug, Clone)]
pub struct WaitEstimator {
    slots: u64,
    // Moving average of the slot time, in microseconds per token.
    us_per_token: u64,
}

impl WaitEstimator {
    /// Estimator for an engine with `slots` slots, before any request has finished.
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

    /// Records that a request of `cost_tokens` held a slot for `held_ms`.
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

    /// Estimated time for which a request of `cost_tokens` holds a slot, in ms.
    pub fn service_ms(&self, cost_tokens: u64) -> u64 {
        cost_tokens.saturating_mul(self.us_per_token) / 1000
    }

    /// Estimated time until requests of `tokens_ahead` in total have run on
    /// `share_percent` of the slots, in ms.
    pub fn wait_ms(&self, tokens_ahead: u64, share_percent: u64) -> u64 {
        let slot_percent = self.slots * share_percent.clamp(1, 100);
        tokens_ahead.saturating_mul(self.us_per_token) / 10 / slot_percent
    }
}
