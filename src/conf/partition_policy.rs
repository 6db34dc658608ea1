/// What a process does with calls while it cannot confirm the configuration.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum PartitionPolicy {
    /// Serve on the last configuration, counted and shown.
    #[default]
    Serve,
    /// Refuse new calls.
    Refuse,
}
