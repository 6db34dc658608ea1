use crate::document::DocumentError;
use crate::document::EditOutcome;

/// What applying one record of the log did.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RecordOutcome {
    /// The first record of an edit; it was decided.
    Decided(EditOutcome),
    /// A further record of a decided edit; its first outcome stands.
    Repeated(EditOutcome),
    /// A checkpoint agreed with the fold's own digest at its offset.
    CheckpointMatches {
        /// Offset of the checkpoint.
        as_of: u64,
    },
    /// A checkpoint contradicted the fold's own digest; the records stand.
    CheckpointDiffers {
        /// Offset of the checkpoint.
        as_of: u64,
    },
    /// A checkpoint of an offset whose digest is not remembered.
    CheckpointUnchecked {
        /// Offset of the checkpoint.
        as_of: u64,
    },
    /// The record is not one of ours or has no valid structure.
    Skipped(DocumentError),
    /// The record was applied earlier; nothing changed.
    AlreadyApplied,
    /// Records before this one are missing; nothing changed.
    Gap {
        /// Offset wanted next.
        wanted: u64,
    },
}
