use crate::calls::CrashId;
use crate::calls::SuspectRecord;
use crate::weights::Digest;

/// A request that was running during a crash, or a part of its prompt.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct Suspicion {
    // The key of a suspicion is the pair of request or part, and crash.
    pub(super) fingerprint: Digest,
    pub(super) crash: CrashId,
    // Negative if it was before the process started.
    pub(super) observed_ms: i64,
    pub(super) cleared: bool,
    // None if the request itself is suspected.
    pub(super) part_of: Option<Digest>,
    pub(super) run_ms: u64,
}

impl Suspicion {
    pub(super) fn key(&self) -> (Digest, &CrashId) {
        (self.fingerprint, &self.crash)
    }

    pub(super) fn to_record(&self, now_ms: u64) -> SuspectRecord {
        SuspectRecord {
            fingerprint: self.fingerprint,
            death: self.crash.clone(),
            age_ms: age_ms(now_ms, self.observed_ms),
            cleared: self.cleared,
            part_of: self.part_of,
            run_ms: self.run_ms,
        }
    }

    /// Time at which the run that was observed was sent, in ms.
    pub(super) fn sent_ms(&self) -> i64 {
        self.observed_ms.saturating_sub_unsigned(self.run_ms)
    }
}

/// A time as one that may also be before the start of the process.
pub(super) fn signed_ms(at_ms: u64) -> i64 {
    i64::try_from(at_ms).unwrap_or(i64::MAX)
}

/// Time since `at_ms`; 0 if that is yet to come.
pub(super) fn age_ms(now_ms: u64, at_ms: i64) -> u64 {
    u64::try_from(signed_ms(now_ms).saturating_sub(at_ms)).unwrap_or(0)
}
