use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

/// Missed ticks in a row that count as a pause; fewer may be due to load.
const MISSED_TICKS: u64 = 5;

/// Time after a pause in which messages that arrived during it may still be read, in milliseconds.
const SETTLE_MS: u64 = 1_000;

/// Detects pauses in which the process did not run, from missing ticks.
#[derive(Debug)]
pub struct PauseDetector {
    tick_ms: u64,
    last_tick_ms: AtomicU64,
    resumed_ms: AtomicU64,
    last_pause_ms: AtomicU64,
}

impl PauseDetector {
    /// Detector for a process that calls [`tick`](Self::tick) every `tick_ms`.
    pub fn new(tick_ms: u64, now_ms: u64) -> Self {
        Self {
            tick_ms,
            last_tick_ms: AtomicU64::new(now_ms),
            resumed_ms: AtomicU64::new(now_ms),
            last_pause_ms: AtomicU64::new(0),
        }
    }

    /// Records that the process runs at `now_ms`.
    pub fn tick(&self, now_ms: u64) {
        let tick_gap_ms = self.tick_gap_ms(now_ms);
        if tick_gap_ms > 0 {
            self.last_pause_ms.store(tick_gap_ms, Ordering::Relaxed);
            self.resumed_ms.store(now_ms, Ordering::Relaxed);
        }
        self.last_tick_ms.store(now_ms, Ordering::Relaxed);
    }

    /// Longest time, in milliseconds, for which a message that is read now may have waited
    /// while the process was paused.
    pub fn pause_ms(&self, now_ms: u64) -> u64 {
        let tick_gap_ms = self.tick_gap_ms(now_ms);
        let resumed_for_ms = now_ms.saturating_sub(self.resumed_ms.load(Ordering::Relaxed));
        if tick_gap_ms > 0 || resumed_for_ms >= SETTLE_MS {
            return tick_gap_ms;
        }
        self.last_pause_ms.load(Ordering::Relaxed)
    }

    /// Time since the last tick if it is long enough for a pause, else 0, in milliseconds.
    fn tick_gap_ms(&self, now_ms: u64) -> u64 {
        let tick_gap_ms = now_ms.saturating_sub(self.last_tick_ms.load(Ordering::Relaxed));
        match tick_gap_ms >= MISSED_TICKS * self.tick_ms {
            true => tick_gap_ms,
            false => 0,
        }
    }
}
