/// Microseconds in a second.
const SECOND_US: u64 = 1_000_000;

/// A link's capacity: callers reserve bytes and wait their turn, first come
/// first served.
#[derive(Debug, Clone)]
pub struct TokenBucket {
    rate_bytes_per_s: u64,
    burst_bytes: u64,
    free_at_us: u64,
}

impl TokenBucket {
    /// A link of `rate_bytes_per_s` that lets `burst_bytes` pass at once after
    /// it was idle; a rate of 0 means no limit.
    pub fn new(rate_bytes_per_s: u64, burst_bytes: u64) -> Self {
        Self {
            rate_bytes_per_s,
            burst_bytes,
            free_at_us: 0,
        }
    }

    /// The rate, 0 for no limit.
    pub fn rate_bytes_per_s(&self) -> u64 {
        self.rate_bytes_per_s
    }

    /// Changes the rate for what is reserved from now on.
    pub fn set_rate(&mut self, rate_bytes_per_s: u64) {
        self.rate_bytes_per_s = rate_bytes_per_s;
    }

    /// Takes the next `bytes` of the link and returns the time until they have
    /// passed.
    pub fn reserve(&mut self, now_us: u64, bytes: u64) -> u64 {
        if self.rate_bytes_per_s == 0 {
            return 0;
        }
        let earliest_us = now_us.saturating_sub(self.time_us(self.burst_bytes));
        let start_us = self.free_at_us.max(earliest_us);
        self.free_at_us = start_us.saturating_add(self.time_us(bytes));
        self.free_at_us.saturating_sub(now_us)
    }

    /// Time until a reservation made now would start.
    pub fn backlog_us(&self, now_us: u64) -> u64 {
        self.free_at_us.saturating_sub(now_us)
    }

    fn time_us(&self, bytes: u64) -> u64 {
        let time_us = u128::from(bytes) * u128::from(SECOND_US) / u128::from(self.rate_bytes_per_s);
        u64::try_from(time_us).unwrap_or(u64::MAX)
    }
}
