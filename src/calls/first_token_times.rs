/// Samples that are kept.
const MAX_SAMPLES: usize = 128;

/// Samples before anything is judged by them.
const MIN_SAMPLES: usize = 16;

/// Multiple of the 95th percentile from which a first token is late.
const LATE_FACTOR: u64 = 3;

/// Shortest time after which a first token is late.
const MIN_LATE_MS: u64 = 100;

/// Times to the first token that engines of the fleet took lately.
#[derive(Debug, Default)]
pub struct FirstTokenTimes {
    samples_ms: Vec<u64>,
    next_index: usize,
}

impl FirstTokenTimes {
    /// Adds the time that one engine took.
    pub fn record(&mut self, taken_ms: u64) {
        if self.samples_ms.len() < MAX_SAMPLES {
            self.samples_ms.push(taken_ms);
            return;
        }
        self.samples_ms[self.next_index] = taken_ms;
        self.next_index = (self.next_index + 1) % MAX_SAMPLES;
    }

    /// Time after which a first token is late; `None` while too little is known.
    pub fn late_threshold_ms(&self) -> Option<u64> {
        if self.samples_ms.len() < MIN_SAMPLES {
            return None;
        }
        let mut sorted_ms = self.samples_ms.clone();
        let rank = sorted_ms.len() * 95 / 100;
        let (_, &mut p95_ms, _) = sorted_ms.select_nth_unstable(rank);
        Some((p95_ms * LATE_FACTOR).max(MIN_LATE_MS))
    }
}
