use std::time::Duration;

use tokio::time::Instant;

/// Interval between two ticks.
pub const TICK_INTERVAL: Duration = Duration::from_millis(100);

/// Time without a tick from which the process has stood still.
const STANDSTILL: Duration = Duration::from_millis(300);

/// Time after a standstill in which a signal that was sent during it is heard.
const WAKING_TIME: Duration = Duration::from_millis(30);

/// When a process has run, by its ticks: a signal that is heard as it wakes may have been sent
/// when its standstill began.
#[derive(Debug)]
pub struct RunClock {
    ticked_at: Instant,
    // Start of the standstill that the last tick ended.
    stood_still_since: Option<Instant>,
}

impl RunClock {
    /// Clock of a process that runs at `now`.
    pub fn new(now: Instant) -> Self {
        Self {
            ticked_at: now,
            stood_still_since: None,
        }
    }

    /// Records that the process runs at `now`.
    pub fn tick(&mut self, now: Instant) {
        let last = std::mem::replace(&mut self.ticked_at, now);
        self.stood_still_since = (now.duration_since(last) >= STANDSTILL).then_some(last);
    }

    /// Earliest time at which a signal may have been sent that is heard at `now`.
    pub fn signal_sent_at(&self, now: Instant) -> Instant {
        if now.duration_since(self.ticked_at) >= STANDSTILL {
            return self.ticked_at;
        }
        let is_waking = now.duration_since(self.ticked_at) <= WAKING_TIME;
        self.stood_still_since.filter(|_| is_waking).unwrap_or(now)
    }
}
