use serde::Deserialize;
use serde::Serialize;

/// How the log's order decided an edit.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum EditOutcome {
    /// The edit is part of the document.
    Accepted {
        /// Offset of the edit's first record.
        offset: u64,
        /// New revision of the section.
        revision: u64,
    },
    /// Another edit of the section came first.
    Conflict {
        /// Offset of the edit's first record.
        offset: u64,
        /// Revision of the section that stood at that offset.
        revision: u64,
    },
}

impl EditOutcome {
    /// Offset of the edit's first record.
    pub fn offset(&self) -> u64 {
        match self {
            Self::Accepted { offset, .. } | Self::Conflict { offset, .. } => *offset,
        }
    }

    /// Whether the edit is part of the document.
    pub fn is_accepted(&self) -> bool {
        matches!(self, Self::Accepted { .. })
    }
}
