use std::collections::VecDeque;

use crate::document::LogRecord;
use crate::document::follow::EncodedRecord;

/// Largest total size of the kept records, in bytes.
const MAX_RECENT_BYTES: usize = 512 * 1024;

/// Largest number of kept records.
const MAX_RECENT_RECORDS: usize = 1_024;

/// Most recently applied records without a gap, kept for peers that lack them.
#[derive(Debug, Clone, Default)]
pub struct RecentRecords {
    records: VecDeque<EncodedRecord>,
    size_bytes: usize,
}

impl RecentRecords {
    /// Adds a record that was just applied.
    pub fn push(&mut self, offset: u64, bytes: &[u8]) {
        // A checkpoint or an invalid record only advances the head, as an empty record does.
        let bytes = match LogRecord::decode(bytes) {
            Ok(LogRecord::Edit(_)) => bytes.to_vec(),
            Ok(LogRecord::Checkpoint(_)) | Err(_) => Vec::new(),
        };
        self.size_bytes += bytes.len();
        self.records.push_back(EncodedRecord { offset, bytes });
        while self.size_bytes > MAX_RECENT_BYTES || self.records.len() > MAX_RECENT_RECORDS {
            self.remove_oldest();
        }
    }

    /// Removes all records, because applying a checkpoint leaves a gap.
    pub fn clear(&mut self) {
        *self = Self::default();
    }

    /// Returns all records from `offset` on; `None` if some are no longer kept.
    pub fn since(&self, offset: u64) -> Option<Vec<EncodedRecord>> {
        let first = self.records.front()?.offset;
        let skip = usize::try_from(offset.checked_sub(first)?).ok()?;
        Some(self.records.iter().skip(skip).cloned().collect())
    }

    fn remove_oldest(&mut self) {
        if let Some(oldest) = self.records.pop_front() {
            self.size_bytes -= oldest.bytes.len();
        }
    }
}
