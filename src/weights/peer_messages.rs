use serde::Deserialize;
use serde::Serialize;

use crate::weights::ChunkBitmap;

/// What a host asks a peer for.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct PeerRequest {
    /// Name of the asking host.
    pub host: String,
    /// Region of the asking host.
    pub region: String,
    /// Chunks the asking host holds.
    pub have: ChunkBitmap,
    /// Chunks it knows the peer to hold; a wait ends when there are more.
    pub known: u32,
    /// How long the peer may wait for more.
    pub wait_ms: u64,
}

/// What a peer tells of itself with each answer.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PeerStatus {
    /// Chunks it holds.
    pub have: ChunkBitmap,
    /// Reads that wait at it.
    pub queue: u32,
    /// Whether its engine serves the version.
    pub serving: bool,
}

/// What became of a read at a peer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ReadOutcome {
    /// The chunk follows.
    Sent,
    /// Too many reads wait.
    Busy,
    /// The peer doesn't hold the chunk.
    Absent,
}
