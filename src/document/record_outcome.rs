use crate::document::DocumentError;
use crate::document::EditOutcome;

/// Result of applying one record of the log to a fold.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RecordOutcome {
    /// The first record of an edit; the edit is accepted or conflicts.
    Decided(EditOutcome),
    /// A repeated record of an edit; the first outcome stays valid.
    Repeated(EditOutcome),
    /// A checkpoint whose digest matches that of the fold at the same offset.
    CheckpointMatches {
        /// Offset of the checkpoint.
        as_of: u64,
    },
    /// A checkpoint whose digest differs from that of the fold, which keeps its own state.
    CheckpointDiffers {
        /// Offset of the checkpoint.
        as_of: u64,
    },
    /// A checkpoint of an offset whose digest the fold no longer keeps.
    CheckpointUnchecked {
        /// Offset of the checkpoint.
        as_of: u64,
    },
    /// The record does not decode or has no valid structure; it has no effect.
    Skipped(DocumentError),
    /// The record was already applied; nothing changed.
    AlreadyApplied,
    /// Records before this one are missing; nothing changed.
    Gap {
        /// Offset of the next record to apply.
        wanted: u64,
    },
}
