use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

/// Smallest number of missed ticks in a row that count as a pause; fewer may be due to load.
const MIN_MISSED_TICKS: u64 = 5;

/// Time after a pause in which messages that arrived during it may still be read, in milliseconds.
const SETTLE_MS: u64 = 1_000;

/// Detects pauses in which the process did not run, from missing ticks.
#[derive(Debug)]
pub struct PauseDetector {
    /// Interval between two ticks.
    tick_interval_ms: u64,
    /// Time of the last tick.
    last_tick_ms: AtomicU64,
    /// Time of the first tick after the last pause; at first the start.
    resumed_ms: AtomicU64,
    /// Length of the last pause.
    last_pause_length_ms: AtomicU64,
}

impl PauseDetector {
    /// Detector for a process that calls [`tick`](Self::tick) every `tick_interval_ms`.
    pub fn new(tick_interval_ms: u64, now_ms: u64) -> Self {
        Self {
            tick_interval_ms,
            last_tick_ms: AtomicU64::new(now_ms),
            resumed_ms: AtomicU64::new(now_ms),
            last_pause_length_ms: AtomicU64::new(0),
        }
    }

    /// Records that the process runs at `now_ms`.
    pub fn tick(&self, now_ms: u64) {
        let tick_gap_ms = self.tick_gap_ms(now_ms);
        if tick_gap_ms > 0 {
            self.last_pause_length_ms
                .store(tick_gap_ms, Ordering::Relaxed);
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
        self.last_pause_length_ms.load(Ordering::Relaxed)
    }

    /// Time since the last tick if it is long enough for a pause, else 0, in milliseconds.
    fn tick_gap_ms(&self, now_ms: u64) -> u64 {
        let tick_gap_ms = now_ms.saturating_sub(self.last_tick_ms.load(Ordering::Relaxed));
        match tick_gap_ms >= MIN_MISSED_TICKS * self.tick_interval_ms {
            true => tick_gap_ms,
            false => 0,
        }
    }
}
