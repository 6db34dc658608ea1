use serde::Deserialize;
use serde::Serialize;

use crate::document::Checkpoint;
use crate::document::follow::RawLogRecord;
use crate::weights::Digest;

/// How far a peer is.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct PeerStatus {
    /// Head of the peer.
    pub head: u64,
    /// Digest of its state.
    pub digest: Digest,
    /// Whether the peer is an entry past its own bootstrap.
    pub is_voter: bool,
    /// Time since its head was known to be the end of the log.
    pub confirmed_age_ms: Option<u64>,
}

/// What one process tells another about its configuration.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PeerAnswer {
    /// How far the peer is.
    pub mark: PeerStatus,
    /// What the asking process lacks.
    pub update: ConfigUpdate,
}

/// What a process lacks, as records or as the whole state.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum ConfigUpdate {
    /// Nothing.
    None,
    /// Records from the head of the asking process.
    Records(Vec<RawLogRecord>),
    /// The state at the head of the peer.
    Checkpoint(Box<Checkpoint>),
}
