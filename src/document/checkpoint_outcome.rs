/// Result of applying a checkpoint to a fold.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CheckpointOutcome {
    /// The fold advanced to the checkpoint.
    Advanced,
    /// The fold is already at or past the checkpoint's offset; nothing changed.
    NotNewer,
    /// The fold had a different digest at the checkpoint's offset; nothing changed.
    Differs,
    /// The checkpoint's digest does not match its contents; nothing changed.
    Corrupt,
}
