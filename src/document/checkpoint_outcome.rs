/// What adopting a checkpoint did.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CheckpointOutcome {
    /// The fold moved forward to the checkpoint.
    Advanced,
    /// The fold is at or past the checkpoint; nothing changed.
    NotNewer,
    /// Same offset, different digest; nothing changed.
    Differs,
    /// The checkpoint's digest does not match its contents; nothing changed.
    Corrupt,
}
