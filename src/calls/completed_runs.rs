use crate::calls::RunCauses;
use crate::weights::Digest;

/// Largest number of requests that are remembered.
const MAX_REQUESTS: usize = 4_096;

/// Largest number of parts of prompts that are remembered: three times as many as the head of
/// one request holds.
const MAX_PARTS: usize = 16_384;

/// Longest time before a crash, in ms, within which a run of a part has come to an end that
/// rules the part out as its cause.
const RULED_OUT_MS: u64 = 2_000;

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
                self.forget_oldest(MAX_REQUESTS);
            }
        }
    }

    /// Records that a run came to an end: the parts of its prompt, and its service.
    pub fn record_parts(&mut self, causes: &RunCauses, now_ms: u64) {
        let mut added = Vec::new();
        let service = std::iter::once(causes.service);
        for part in causes.parts().iter().copied().chain(service) {
            match self.position(part) {
                Ok(at) => self.ends[at].1 = now_ms,
                Err(_) => added.push((part.seed(), now_ms)),
            }
        }
        if !added.is_empty() {
            self.ends.append(&mut added);
            self.ends.sort_unstable();
            self.ends.dedup_by_key(|end| end.0);
            self.forget_oldest(MAX_PARTS);
        }
    }

    /// Time at which the request last ran to an end, in ms.
    pub fn last_end_ms(&self, fingerprint: Digest) -> Option<u64> {
        let at = self.position(fingerprint).ok()?;
        Some(self.ends[at].1)
    }

    /// Whether a part is ruled out as the cause of a crash at `crash_ms`: a run of it came to an
    /// end shortly before, or since.
    pub fn rules_out(&self, part: Digest, crash_ms: u64) -> bool {
        let last_end_ms = self.last_end_ms(part);
        last_end_ms.is_some_and(|end_ms| end_ms + RULED_OUT_MS >= crash_ms)
    }

    fn position(&self, fingerprint: Digest) -> Result<usize, usize> {
        self.ends
            .binary_search_by_key(&fingerprint.seed(), |end| end.0)
    }

    fn forget_oldest(&mut self, max: usize) {
        if self.ends.len() <= max {
            return;
        }
        let mut times_ms: Vec<u64> = self.ends.iter().map(|end| end.1).collect();
        let (_, median_ms, _) = times_ms.select_nth_unstable(max / 2);
        // The parts of one long prompt have all ended at the same time.
        let median_ms = *median_ms;
        let newer = self.ends.iter().filter(|end| end.1 > median_ms).count();
        let mut room = max.saturating_sub(newer) / 2;
        self.ends.retain(|end| {
            let is_kept = end.1 > median_ms || (end.1 == median_ms && room > 0);
            room -= usize::from(is_kept && end.1 == median_ms);
            is_kept
        });
    }
}
