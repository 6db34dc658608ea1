use serde::Deserialize;
use serde::Serialize;

use crate::calls::SuspectRecord;

/// Largest number of pairs of a request or part and a crash that are read of a record.
const MAX_RECORDS: usize = 64;

/// A request or part of a prompt that is refused, or no longer is, as it is kept where it
/// outlasts all processes.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct KeptCause {
    /// Time at which it was written, in Unix ms.
    pub written_unix_ms: u64,
    /// Crashes under it, with their ages at that time.
    pub records: Vec<SuspectRecord>,
}

impl KeptCause {
    /// The records with their ages at `unix_ms`; the age of one from a clock that is ahead
    /// stays.
    pub fn records_at(self, unix_ms: u64) -> Vec<SuspectRecord> {
        let since_ms = unix_ms.saturating_sub(self.written_unix_ms);
        let records = self.records.into_iter().take(MAX_RECORDS);
        records
            .map(|record| SuspectRecord {
                age_ms: record.age_ms.saturating_add(since_ms),
                ..record
            })
            .collect()
    }

    /// Whether it says that the cause is no longer refused.
    pub fn is_cleared(&self) -> bool {
        self.records.iter().all(|record| record.cleared)
    }
}
