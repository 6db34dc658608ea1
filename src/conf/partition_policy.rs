/// How a process handles new requests while it can't confirm its configuration.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum PartitionPolicy {
    /// Serve them with the last configuration; metrics count them and the status shows it.
    #[default]
    Serve,
    /// Refuse them.
    Refuse,
}
