use std::collections::VecDeque;
use std::sync::Mutex;
use std::sync::MutexGuard;

/// Smallest number of missed ticks in a row that count as a pause; fewer may be due to load.
const MIN_MISSED_TICKS: u64 = 5;

/// Running time after a pause in which messages that arrived during it may still be read, in
/// milliseconds.
const SETTLE_MS: u64 = 1_000;

/// Detects pauses in which the process did not run, from missing ticks.
#[derive(Debug)]
pub struct PauseDetector {
    /// Interval between two ticks.
    tick_interval_ms: u64,
    inner: Mutex<Inner>,
}

/// Content of [`PauseDetector`], behind its lock.
#[derive(Debug)]
struct Inner {
    /// Time of the last tick.
    last_tick_ms: u64,
    /// Length of all pauses together.
    paused_ms: u64,
    /// Pauses whose messages may still be read, oldest first.
    pauses: VecDeque<Pause>,
}

/// A pause that has ended.
#[derive(Debug)]
struct Pause {
    /// Time of the last tick before it.
    since_ms: u64,
    /// Running time of the process at which its messages have been read.
    settled_run_ms: u64,
}

impl PauseDetector {
    /// Detector for a process that calls [`tick`](Self::tick) every `tick_interval_ms`.
    pub fn new(tick_interval_ms: u64, now_ms: u64) -> Self {
        Self {
            tick_interval_ms,
            inner: Mutex::new(Inner {
                last_tick_ms: now_ms,
                paused_ms: 0,
                pauses: VecDeque::new(),
            }),
        }
    }

    /// Records that the process runs at `now_ms`.
    pub fn tick(&self, now_ms: u64) {
        let mut inner = self.lock();
        let tick_gap_ms = self.tick_gap_ms(&inner, now_ms);
        inner.paused_ms += tick_gap_ms;
        let run_ms = now_ms.saturating_sub(inner.paused_ms);
        if tick_gap_ms > 0 {
            let since_ms = inner.last_tick_ms;
            inner.pauses.push_back(Pause {
                since_ms,
                settled_run_ms: run_ms + SETTLE_MS,
            });
        }
        inner.pauses.retain(|pause| pause.settled_run_ms > run_ms);
        inner.last_tick_ms = now_ms;
    }

    /// Longest time, in milliseconds, for which a message that is read now may have waited
    /// because the process was paused; 0 if it was not.
    pub fn pause_ms(&self, now_ms: u64) -> u64 {
        let inner = self.lock();
        let tick_gap_ms = self.tick_gap_ms(&inner, now_ms);
        let run_ms = now_ms.saturating_sub(inner.paused_ms + tick_gap_ms);
        let unsettled = inner
            .pauses
            .iter()
            .find(|pause| pause.settled_run_ms > run_ms);
        match unsettled {
            Some(pause) => now_ms.saturating_sub(pause.since_ms),
            None => tick_gap_ms,
        }
    }

    /// Time since the last tick if it is long enough for a pause, else 0, in milliseconds.
    fn tick_gap_ms(&self, inner: &Inner, now_ms: u64) -> u64 {
        let tick_gap_ms = now_ms.saturating_sub(inner.last_tick_ms);
        match tick_gap_ms >= MIN_MISSED_TICKS * self.tick_interval_ms {
            true => tick_gap_ms,
            false => 0,
        }
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().expect("no holder of the detector panics")
    }
}
