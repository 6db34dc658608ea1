/// Number of samples kept.
const MAX_SAMPLES: usize = 128;

/// Smallest number of samples from which a threshold is derived.
const MIN_SAMPLES: usize = 16;

/// Threshold for a late first token, as a multiple of the 95th percentile.
const LATE_FACTOR: u64 = 3;

/// Lowest threshold for a late first token, in milliseconds.
const MIN_LATE_MS: u64 = 100;

/// Latest times to the first token, over all engines.
#[derive(Debug, Default)]
pub struct FirstTokenTimes {
    samples_ms: Vec<u64>,
    // Index of the oldest sample once the buffer is full.
    next_index: usize,
}

impl FirstTokenTimes {
    /// Adds the time that an engine took for a first token, in milliseconds.
    pub fn record(&mut self, first_token_ms: u64) {
        if self.samples_ms.len() < MAX_SAMPLES {
            self.samples_ms.push(first_token_ms);
            return;
        }
        self.samples_ms[self.next_index] = first_token_ms;
        self.next_index = (self.next_index + 1) % MAX_SAMPLES;
    }

    /// Time after which a first token is late, in milliseconds; `None` with too few samples.
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
