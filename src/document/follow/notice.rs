use crate::document::DocumentError;

/// Event of following the configuration log, to be written to the log lines of the process.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Notice {
    /// The head of this process advanced.
    Advanced {
        /// New head.
        head: u64,
    },
    /// A record does not decode or has no valid structure; every process skips it.
    Skipped {
        /// Offset of the record.
        offset: u64,
        /// Fault of the record.
        error: DocumentError,
    },
    /// A checkpoint is corrupt or differs from the state computed from the records, which
    /// is kept.
    CheckpointDiffers {
        /// Offset of the checkpoint.
        as_of: u64,
    },
    /// Two checkpoints of one offset differ; neither is applied.
    ConflictingCheckpoints {
        /// Offset of both checkpoints.
        as_of: u64,
    },
    /// The log no longer keeps records that this process lacks, and no checkpoint covers them.
    Trimmed {
        /// Offset of the next record that this process needs.
        wanted: u64,
        /// Lowest offset that the log still keeps.
        earliest: u64,
    },
    /// The log ends before records that this process has already applied.
    LogWentBack {
        /// End of the log.
        next: u64,
        /// Head of this process.
        head: u64,
    },
    /// The digest of a peer differs from the own digest at the same head.
    Diverged {
        /// Head of the peer.
        head: u64,
    },
}
