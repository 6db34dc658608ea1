use std::collections::VecDeque;

use crate::document::LogRecord;
use crate::document::follow::RawLogRecord;

/// Bytes of records kept for peers.
const MAX_RECENT_BYTES: usize = 512 * 1024;

/// Records kept for peers.
const MAX_RECENT_RECORDS: usize = 1_024;

/// The last records applied, without a hole, for peers that lack them.
#[derive(Debug, Clone, Default)]
pub struct RecentRecords {
    records: VecDeque<RawLogRecord>,
    size_bytes: usize,
}

impl RecentRecords {
    /// Keeps a record that was just applied.
    pub fn push(&mut self, offset: u64, bytes: &[u8]) {
        // A checkpoint changes nothing but the head, and so does an empty record.
        let bytes = match LogRecord::decode(bytes) {
            Ok(LogRecord::Edit(_)) => bytes.to_vec(),
            Ok(LogRecord::Checkpoint(_)) | Err(_) => Vec::new(),
        };
        self.size_bytes += bytes.len();
        self.records.push_back(RawLogRecord { offset, bytes });
        while self.size_bytes > MAX_RECENT_BYTES || self.records.len() > MAX_RECENT_RECORDS {
            self.remove_oldest();
        }
    }

    /// Forgets everything, as a checkpoint leaves a hole.
    pub fn clear(&mut self) {
        *self = Self::default();
    }

    /// Every record from `offset`, unless some are no longer kept.
    pub fn since(&self, offset: u64) -> Option<Vec<RawLogRecord>> {
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
