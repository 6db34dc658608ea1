use serde::Deserialize;
use serde::Serialize;

use crate::document::Checkpoint;
use crate::document::follow::EncodedRecord;
use crate::weights::Digest;

/// Position of a peer in the configuration log, and when it was known to be the log's end.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigStatus {
    /// Offset of the next record that the peer will apply.
    pub head: u64,
    /// Digest of the peer's state at its head.
    pub digest: Digest,
    /// Whether the peer is an entry that counts towards the majority.
    pub is_voter: bool,
    /// Time since the peer's head was known to be the end of the log, in ms.
    pub confirmed_age_ms: Option<u64>,
}

/// Answer of a peer to a request for its configuration.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigAnswer {
    /// Status of the peer.
    pub mark: ConfigStatus,
    /// Records or state that the requesting process lacks.
    pub update: ConfigUpdate,
}

/// Update of the configuration for a process that is behind.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum ConfigUpdate {
    /// The requesting process is not behind.
    None,
    /// Records from the head of the requesting process on.
    Records(Vec<EncodedRecord>),
    /// The complete state at the head of the peer.
    Checkpoint(Box<Checkpoint>),
}
