use crate::document::DocumentError;

/// Something an operator should hear of.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Notice {
    /// A later head is in force.
    Advanced {
        /// The new head.
        head: u64,
    },
    /// A record is not one of ours; every process skips it.
    Skipped {
        /// Offset of the record.
        offset: u64,
        /// What is wrong with it.
        error: DocumentError,
    },
    /// A checkpoint contradicts the records; the records stand.
    CheckpointDiffers {
        /// Offset of the checkpoint.
        as_of: u64,
    },
    /// Two checkpoints of one offset differ; neither is adopted.
    ConflictingCheckpoints {
        /// Their offset.
        as_of: u64,
    },
    /// Records this process lacks are no longer kept, and no checkpoint covers them.
    Trimmed {
        /// Offset wanted next.
        wanted: u64,
        /// Lowest offset still kept.
        earliest: u64,
    },
    /// The log ends before records that were already read from it.
    LogWentBack {
        /// End of the log.
        next: u64,
        /// Head of this process.
        head: u64,
    },
    /// A peer holds another state at the same head.
    Diverged {
        /// The common head.
        head: u64,
    },
}
