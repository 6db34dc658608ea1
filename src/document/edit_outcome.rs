use serde::Deserialize;
use serde::Serialize;

/// Outcome of an edit, which follows from the order of the records in the log.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum EditOutcome {
    /// The edit was applied to the document.
    Accepted {
        /// Offset of the edit's first record.
        offset: u64,
        /// New revision of the section.
        revision: u64,
    },
    /// The section's revision was not the edit's base revision; the edit has no effect.
    Conflict {
        /// Offset of the edit's first record.
        offset: u64,
        /// Revision of the section at that offset.
        revision: u64,
    },
}

impl EditOutcome {
    /// Returns the offset of the edit's first record.
    pub fn offset(&self) -> u64 {
        match self {
            Self::Accepted { offset, .. } | Self::Conflict { offset, .. } => *offset,
        }
    }

    /// Whether the edit was applied to the document.
    pub fn is_accepted(&self) -> bool {
        matches!(self, Self::Accepted { .. })
    }
}
