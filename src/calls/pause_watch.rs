use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

/// Notices that the process did not run for a while.
#[derive(Debug)]
pub struct PauseWatch {
    tick_ms: u64,
    last_tick_ms: AtomicU64,
}

impl PauseWatch {
    /// A watch that is ticked every `tick_ms`.
    pub fn new(tick_ms: u64, now_ms: u64) -> Self {
        Self {
            tick_ms,
            last_tick_ms: AtomicU64::new(now_ms),
        }
    }

    /// Notes that the process runs.
    pub fn tick(&self, now_ms: u64) {
        self.last_tick_ms.store(now_ms, Ordering::Relaxed);
    }

    /// Time a message that is read now may have waited for a paused process.
    pub fn pause_ms(&self, now_ms: u64) -> u64 {
        let silent_ms = now_ms.saturating_sub(self.last_tick_ms.load(Ordering::Relaxed));
        // A busy process ticks late; only several missed ticks count.
        if silent_ms < 5 * self.tick_ms {
            return 0;
        }
        silent_ms
    }
}
