/// Weight of the latest request in the average, as a divisor.
const SMOOTHING: u64 = 16;

/// The same for a request that was faster than the average, so that an engine that
/// was slow for a while is soon trusted again.
const FASTER_SMOOTHING: u64 = 4;

/// Time a stream takes before any has been measured, in microseconds a token.
const INITIAL_COST_US: u64 = 0;

/// Estimates how long a request would wait for a slot.
///
/// It learns from finished requests how long a slot is held for each token.
#[derive(Debug, Clone)]
pub struct Admission {
    slots: u64,
    token_us: u64,
}

impl Admission {
    /// Estimates for an engine with `slots` slots.
    pub fn new(slots: u32) -> Self {
        Self {
            slots: u64::from(slots.max(1)),
            token_us: INITIAL_COST_US,
        }
    }

    /// Changes the number of slots.
    pub fn set_slots(&mut self, slots: u32) {
        self.slots = u64::from(slots.max(1));
    }

    /// Learns that a request of `cost_tokens` held a slot for `held_ms`.
    pub fn finished(&mut self, cost_tokens: u64, held_ms: u64) {
        let measured_us = held_ms * 1000 / cost_tokens.max(1);
        self.token_us = match self.token_us {
            INITIAL_COST_US => measured_us,
            known_us if measured_us < known_us => {
                (known_us * (FASTER_SMOOTHING - 1) + measured_us) / FASTER_SMOOTHING
            }
            known_us => (known_us * (SMOOTHING - 1) + measured_us) / SMOOTHING,
        };
    }

    /// Time one request of `cost_tokens` holds a slot.
    pub fn service_ms(&self, cost_tokens: u64) -> u64 {
        cost_tokens * self.token_us / 1000
    }

    /// Time until `tokens_ahead` have been served by `share_percent` of the slots.
    pub fn wait_ms(&self, tokens_ahead: u64, share_percent: u64) -> u64 {
        let slots_percent = self.slots * share_percent.clamp(1, 100);
        tokens_ahead * self.token_us / 10 / slots_percent
    }
}
