use crate::document::Checkpoint;
use crate::document::LogRecord;
use crate::document::follow::EncodedRecord;

/// Search of a trimmed log for a checkpoint to start from.
#[derive(Debug, Clone)]
pub struct CheckpointSearch {
    position: u64,
    found: Vec<Checkpoint>,
    conflicting: Vec<u64>,
}

impl CheckpointSearch {
    /// Creates a search that starts at `earliest`, the lowest offset that the log keeps.
    pub fn new(earliest: u64) -> Self {
        Self {
            position: earliest,
            found: Vec::new(),
            conflicting: Vec::new(),
        }
    }

    /// Returns the offset to read next.
    pub fn position(&self) -> u64 {
        self.position
    }

    /// Collects the checkpoints among `records` and advances the position.
    ///
    /// A checkpoint can cover only records before itself.
    pub fn add_records(&mut self, records: &[EncodedRecord]) {
        for record in records {
            self.position = self.position.max(record.offset + 1);
            if let Ok(LogRecord::Checkpoint(checkpoint)) = LogRecord::decode(&record.bytes)
                && checkpoint.as_of <= record.offset
            {
                self.add(checkpoint);
            }
        }
    }

    /// Returns the offsets that have two differing checkpoints.
    pub fn conflicting(&self) -> &[u64] {
        &self.conflicting
    }

    /// Returns the latest checkpoint without conflict from which the log is complete.
    pub fn latest_usable(&self, earliest: u64) -> Option<&Checkpoint> {
        self.found
            .iter()
            .filter(|checkpoint| checkpoint.as_of >= earliest)
            .filter(|checkpoint| !self.conflicting.contains(&checkpoint.as_of))
            .max_by_key(|checkpoint| checkpoint.as_of)
    }

    /// Adds a checkpoint, or records a conflict with another one of the same offset.
    fn add(&mut self, checkpoint: Checkpoint) {
        let as_of = checkpoint.as_of;
        match self.found.iter().find(|other| other.as_of == as_of) {
            Some(other) if other.digest != checkpoint.digest => self.conflicting.push(as_of),
            Some(_) => {}
            None => self.found.push(checkpoint),
        }
    }
}
