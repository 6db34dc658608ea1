use crate::document::Checkpoint;
use crate::document::LogRecord;
use crate::document::follow::RawLogRecord;

/// Search of a trimmed log for a checkpoint to go on from.
#[derive(Debug, Clone)]
pub struct CheckpointSearch {
    position: u64,
    found: Vec<Checkpoint>,
    conflicting: Vec<u64>,
}

impl CheckpointSearch {
    /// Starts at the lowest offset still kept.
    pub fn new(earliest: u64) -> Self {
        Self {
            position: earliest,
            found: Vec::new(),
            conflicting: Vec::new(),
        }
    }

    /// Offset to read next.
    pub fn position(&self) -> u64 {
        self.position
    }

    /// Looks at the records read.
    pub fn add_records(&mut self, records: &[RawLogRecord]) {
        for record in records {
            self.position = self.position.max(record.offset + 1);
            if let Ok(LogRecord::Checkpoint(checkpoint)) = LogRecord::decode(&record.bytes) {
                self.add(checkpoint);
            }
        }
    }

    /// Offsets with two checkpoints that differ.
    pub fn conflicting(&self) -> &[u64] {
        &self.conflicting
    }

    /// The latest uncontested checkpoint that no record is missing after.
    pub fn latest_usable(&self, earliest: u64) -> Option<&Checkpoint> {
        self.found
            .iter()
            .filter(|checkpoint| checkpoint.as_of >= earliest)
            .filter(|checkpoint| !self.conflicting.contains(&checkpoint.as_of))
            .max_by_key(|checkpoint| checkpoint.as_of)
    }

    fn add(&mut self, checkpoint: Checkpoint) {
        let as_of = checkpoint.as_of;
        match self.found.iter().find(|other| other.as_of == as_of) {
            Some(other) if other.digest != checkpoint.digest => self.conflicting.push(as_of),
            Some(_) => {}
            None => self.found.push(checkpoint),
        }
    }
}
