use crate::weights::Digest;

/// Largest number of requests, or parts of prompts, that are remembered.
const MAX_REQUESTS: usize = 4_096;

/// Requests, or parts of prompts, that have run to an end, each with the last time.
#[derive(Debug, Default)]
pub struct CompletedRuns {
    // Ascending by fingerprint.
    ends: Vec<(u64, u64)>,
}

impl CompletedRuns {
    /// Records that a run came to an end at `now_ms`. When there are too many requests, the
    /// older half is forgotten.
    pub fn record(&mut self, fingerprint: Digest, now_ms: u64) {
        match self.position(fingerprint) {
            Ok(at) => self.ends[at].1 = now_ms,
            Err(at) => {
                self.ends.insert(at, (fingerprint.seed(), now_ms));
                self.forget_oldest();
            }
        }
    }

    /// Time at which the request last ran to an end, in ms.
    pub fn last_end_ms(&self, fingerprint: Digest) -> Option<u64> {
        let at = self.position(fingerprint).ok()?;
        Some(self.ends[at].1)
    }

    fn position(&self, fingerprint: Digest) -> Result<usize, usize> {
        self.ends
            .binary_search_by_key(&fingerprint.seed(), |end| end.0)
    }

    fn forget_oldest(&mut self) {
        if self.ends.len() <= MAX_REQUESTS {
            return;
        }
        let mut times_ms: Vec<u64> = self.ends.iter().map(|end| end.1).collect();
        let (_, median_ms, _) = times_ms.select_nth_unstable(MAX_REQUESTS / 2);
        let median_ms = *median_ms;
        self.ends.retain(|end| end.1 > median_ms);
    }
}
