use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

/// Missed ticks that count as a pause; a busy process ticks late.
const MISSED_TICKS: u64 = 5;

/// Time after waking in which messages are read that arrived before.
const SETTLE_MS: u64 = 1_000;

/// Notices that the process did not run for a while.
#[derive(Debug)]
pub struct PauseWatch {
    tick_ms: u64,
    last_tick_ms: AtomicU64,
    woke_ms: AtomicU64,
    last_pause_ms: AtomicU64,
}

impl PauseWatch {
    /// A watch that is ticked every `tick_ms`.
    pub fn new(tick_ms: u64, now_ms: u64) -> Self {
        Self {
            tick_ms,
            last_tick_ms: AtomicU64::new(now_ms),
            woke_ms: AtomicU64::new(now_ms),
            last_pause_ms: AtomicU64::new(0),
        }
    }

    /// Notes that the process runs.
    pub fn tick(&self, now_ms: u64) {
        let silent_ms = self.silent_ms(now_ms);
        if silent_ms > 0 {
            self.last_pause_ms.store(silent_ms, Ordering::Relaxed);
            self.woke_ms.store(now_ms, Ordering::Relaxed);
        }
        self.last_tick_ms.store(now_ms, Ordering::Relaxed);
    }

    /// Time a message that is read now may have waited for a paused process.
    pub fn pause_ms(&self, now_ms: u64) -> u64 {
        let silent_ms = self.silent_ms(now_ms);
        let awake_ms = now_ms.saturating_sub(self.woke_ms.load(Ordering::Relaxed));
        if silent_ms > 0 || awake_ms >= SETTLE_MS {
            return silent_ms;
        }
        self.last_pause_ms.load(Ordering::Relaxed)
    }

    /// Time without a tick, if that is long enough for a pause.
    fn silent_ms(&self, now_ms: u64) -> u64 {
        let silent_ms = now_ms.saturating_sub(self.last_tick_ms.load(Ordering::Relaxed));
        match silent_ms >= MISSED_TICKS * self.tick_ms {
            true => silent_ms,
            false => 0,
        }
    }
}
