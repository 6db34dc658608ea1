/// What an answer of a replica says of the replica itself.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct ReplicaNotice {
    /// Whether this incarnation of the replica is leaving.
    pub is_leaving: bool,
    /// Time from the answer on for which the replica wants nothing from this process, in
    /// ms; None when the answer names none.
    pub pause_ms: Option<u64>,
}
