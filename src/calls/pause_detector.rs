use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

/// Missed ticks that count as a pause; a busy process ticks late.
const MISSED_TICKS: u64 = 5;

/// Time after waking in which messages are read that arrived before.
const SETTLE_MS: u64 = 1_000;

/// Notices that the process did not run for a while.
#[derive(Debug)]
pub struct PauseDetector {
    tick_ms: u64,
    last_tick_ms: AtomicU64,
    resumed_ms: AtomicU64,
    last_pause_ms: AtomicU64,
}

impl PauseDetector {
    /// A watch that is ticked every `tick_ms`.
    pub fn new(tick_ms: u64, now_ms: u64) -> Self {
        Self {
            tick_ms,
            last_tick_ms: AtomicU64::new(now_ms),
            resumed_ms: AtomicU64::new(now_ms),
            last_pause_ms: AtomicU64::new(0),
        }
    }

    /// Notes that the process runs.
    pub fn tick(&self, now_ms: u64) {
        let tick_gap_ms = self.tick_gap_ms(now_ms);
        if tick_gap_ms > 0 {
            self.last_pause_ms.store(tick_gap_ms, Ordering::Relaxed);
            self.resumed_ms.store(now_ms, Ordering::Relaxed);
        }
        self.last_tick_ms.store(now_ms, Ordering::Relaxed);
    }

    /// Time a message that is read now may have waited for a paused process.
    pub fn pause_ms(&self, now_ms: u64) -> u64 {
        let tick_gap_ms = self.tick_gap_ms(now_ms);
        let resumed_for_ms = now_ms.saturating_sub(self.resumed_ms.load(Ordering::Relaxed));
        if tick_gap_ms > 0 || resumed_for_ms >= SETTLE_MS {
            return tick_gap_ms;
        }
        self.last_pause_ms.load(Ordering::Relaxed)
    }

    /// Time without a tick, if that is long enough for a pause.
    fn tick_gap_ms(&self, now_ms: u64) -> u64 {
        let tick_gap_ms = now_ms.saturating_sub(self.last_tick_ms.load(Ordering::Relaxed));
        match tick_gap_ms >= MISSED_TICKS * self.tick_ms {
            true => tick_gap_ms,
            false => 0,
        }
    }
}
