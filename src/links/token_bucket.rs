/// Microseconds in a second.
const SECOND_US: u64 = 1_000_000;

/// Token bucket that limits the rate of a link; reservations are served in order.
#[derive(Debug, Clone)]
pub struct TokenBucket {
    rate_bytes_per_s: u64,
    burst_bytes: u64,
    /// Time at which all reservations have passed, in microseconds.
    free_at_us: u64,
}

impl TokenBucket {
    /// Creates a bucket that passes `rate_bytes_per_s`, and `burst_bytes` at once after
    /// an idle time; a rate of 0 means no limit.
    pub fn new(rate_bytes_per_s: u64, burst_bytes: u64) -> Self {
        Self {
            rate_bytes_per_s,
            burst_bytes,
            free_at_us: 0,
        }
    }

    /// Rate, in bytes per second; 0 for no limit.
    pub fn rate_bytes_per_s(&self) -> u64 {
        self.rate_bytes_per_s
    }

    /// Changes the rate of later reservations.
    pub fn set_rate(&mut self, rate_bytes_per_s: u64) {
        self.rate_bytes_per_s = rate_bytes_per_s;
    }

    /// Reserves `bytes` after all earlier reservations and returns the time until they
    /// have passed, in microseconds.
    pub fn reserve(&mut self, now_us: u64, bytes: u64) -> u64 {
        if self.rate_bytes_per_s == 0 {
            return 0;
        }
        let earliest_us = now_us.saturating_sub(self.time_us(self.burst_bytes));
        let start_us = self.free_at_us.max(earliest_us);
        self.free_at_us = start_us.saturating_add(self.time_us(bytes));
        self.free_at_us.saturating_sub(now_us)
    }

    /// Time until all reservations have passed, in microseconds.
    pub fn backlog_us(&self, now_us: u64) -> u64 {
        self.free_at_us.saturating_sub(now_us)
    }

    /// Time that `bytes` take at the current rate, in microseconds.
    fn time_us(&self, bytes: u64) -> u64 {
        let time_us = u128::from(bytes) * u128::from(SECOND_US) / u128::from(self.rate_bytes_per_s);
        u64::try_from(time_us).unwrap_or(u64::MAX)
    }
}
