//! What processes tell each other of suspected requests and parts.

use std::cmp::Reverse;

use crate::calls::PART_REFUSED_AT_CRASHES;
use crate::calls::REFUSED_AT_CRASHES;
use crate::calls::SuspectRecord;
use crate::calls::SuspectTable;
use crate::calls::part_evidence::successive_crashes;
use crate::calls::suspect_table::Merged;
use crate::calls::suspicion::Suspicion;
use crate::calls::suspicion::signed_ms;
use crate::weights::Digest;

/// Largest number of crashes of a part of which an entry that has started is told.
const MAX_TOLD_CRASHES: usize = 8;

impl SuspectTable {
    /// Suspicions that are remembered, for other processes.
    pub fn export_records(&self, now_ms: u64) -> Vec<SuspectRecord> {
        self.suspicions
            .iter()
            .filter(|suspicion| !self.is_expired(suspicion, now_ms))
            .map(|suspicion| suspicion.to_record(now_ms))
            .collect()
    }

    /// Suspicions of a request or part that are remembered, for other processes.
    pub fn request_records(&self, fingerprint: Digest, now_ms: u64) -> Vec<SuspectRecord> {
        self.of_cause(fingerprint)
            .iter()
            .filter(|suspicion| !self.is_expired(suspicion, now_ms))
            .map(|suspicion| suspicion.to_record(now_ms))
            .collect()
    }

    /// At most `max` suspicions: those of refused parts first, then of requests and parts that
    /// one more crash leaves refused or that are refused already, those with the most crashes
    /// first.
    pub fn most_suspected(&self, max: usize, now_ms: u64) -> Vec<SuspectRecord> {
        let refused = self.refused_parts.iter();
        let refused: Vec<Digest> = refused.flat_map(|group| group.parts.clone()).collect();
        let mut others: Vec<(usize, &[Suspicion])> = self
            .by_cause()
            .map(|of_cause| (self.count_crashes(of_cause, now_ms), of_cause))
            .filter(|(count, of_cause)| match of_cause[0].part_of {
                None => count + 1 >= REFUSED_AT_CRASHES,
                Some(_) => {
                    count + 1 >= PART_REFUSED_AT_CRASHES
                        && !refused.contains(&of_cause[0].fingerprint)
                }
            })
            .collect();
        others.sort_by_key(|request| Reverse(request.0));
        let others = others.into_iter().flat_map(|request| request.1);
        let refused = refused.iter();
        refused
            .flat_map(|part| self.witnesses(*part, now_ms))
            .chain(others)
            .filter(|suspicion| !self.is_expired(suspicion, now_ms))
            .take(max)
            .map(|suspicion| suspicion.to_record(now_ms))
            .collect()
    }

    /// Some crashes of a part that are enough to refuse it.
    fn witnesses(&self, part: Digest, now_ms: u64) -> Vec<&Suspicion> {
        let counted: Vec<&Suspicion> = self.counted(self.of_cause(part), now_ms).collect();
        let mut witnesses = successive_crashes(&counted);
        let surplus = witnesses.len().saturating_sub(MAX_TOLD_CRASHES);
        witnesses.drain(..surplus);
        for suspicion in counted {
            if !witnesses.iter().any(|known| known.crash == suspicion.crash) {
                witnesses.push(suspicion);
            }
        }
        witnesses.truncate(MAX_TOLD_CRASHES);
        witnesses
    }

    /// Crashes under a refused request or part, and the parts that are refused together with
    /// it, that are enough to refuse it elsewhere; all that are remembered if it is not refused.
    pub fn cause_records(&self, cause: Digest, now_ms: u64) -> Vec<SuspectRecord> {
        let mut groups = self.refused_groups(now_ms);
        let Some(refused) = groups.find(|refused| refused.parts[0] == cause) else {
            return self.request_records(cause, now_ms);
        };
        let parts = refused.parts.iter();
        let witnesses = parts.flat_map(|part| self.witnesses(*part, now_ms));
        witnesses
            .map(|suspicion| suspicion.to_record(now_ms))
            .collect()
    }

    /// Digest of the suspicions that are remembered; equal in processes that hold the same ones.
    pub fn digest(&self, now_ms: u64) -> Digest {
        let mut hasher = blake3::Hasher::new();
        for suspicion in &self.suspicions {
            if self.is_expired(suspicion, now_ms) {
                continue;
            }
            hasher.update(suspicion.fingerprint.as_bytes());
            hasher.update(suspicion.crash.endpoint.as_bytes());
            hasher.update(&suspicion.crash.incarnation.to_be_bytes());
            hasher.update(&suspicion.crash.crash_no.to_be_bytes());
            hasher.update(&[u8::from(suspicion.cleared)]);
            if let Some(request) = suspicion.part_of {
                hasher.update(request.as_bytes());
            }
        }
        Digest::from(hasher.finalize())
    }

    /// Merges the suspicions that another process exported; returns the requests of those
    /// that were not known and not cleared.
    pub fn merge_records(
        &mut self,
        records: impl IntoIterator<Item = SuspectRecord>,
        now_ms: u64,
    ) -> Vec<Digest> {
        let mut learned = Vec::new();
        // Heartbeats tell again and again what is known.
        let mut has_changed = false;
        for record in records {
            if record.age_ms >= self.memory_ms() {
                continue;
            }
            let merged = self.merge_suspicion(
                Suspicion {
                    fingerprint: record.fingerprint,
                    crash: record.death,
                    observed_ms: signed_ms(now_ms).saturating_sub_unsigned(record.age_ms),
                    cleared: record.cleared,
                    part_of: record.part_of,
                    run_ms: record.run_ms,
                },
                now_ms,
            );
            has_changed |= merged != Merged::Unchanged;
            if merged == Merged::Added && !record.cleared {
                learned.push(record.fingerprint);
            }
        }
        if has_changed {
            self.judge_parts(now_ms);
        }
        learned
    }
}
