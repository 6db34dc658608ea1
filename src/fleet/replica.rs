use std::net::SocketAddr;

/// What a replica says of its own life.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReplicaState {
    /// Takes work.
    Ready,
    /// Leaves soon and gets no new work.
    Leaving,
}

/// A replica as it registered itself.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ReplicaRecord {
    /// Identity, checked by the replica on each request.
    pub id: String,
    /// Service it belongs to.
    pub service: String,
    /// Address.
    pub address: SocketAddr,
    /// Failure domain it stands in.
    pub failure_domain: String,
    /// Requests it runs at once.
    pub slots: u32,
    /// Whether it takes work.
    pub state: ReplicaState,
    /// How much longer it stays slow after its start.
    pub cold_remaining_ms: u64,
    /// Counter that tells each heartbeat from the one before.
    pub heartbeat_no: u64,
    /// Start of the incarnation, in Unix ms.
    pub born_unix_ms: Option<u64>,
    /// Models with the version of their weights.
    pub weights: Vec<(String, u64)>,
}
