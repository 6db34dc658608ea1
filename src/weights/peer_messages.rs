use serde::Deserialize;
use serde::Serialize;

use crate::weights::ChunkBitmap;

/// Request to a peer for its status in a transfer, or for a chunk.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct PeerRequest {
    /// Name of the host that sends the request.
    pub host: String,
    /// Region of that host.
    pub region: String,
    /// Chunks that the host holds.
    pub have: ChunkBitmap,
    /// Number of chunks that the host knows the peer to hold.
    ///
    /// The peer responds at once when it holds more.
    pub known: u32,
    /// Longest time that the peer may wait for more chunks, in ms.
    pub wait_ms: u64,
}

/// Status of a peer in a transfer, sent with each of its responses.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PeerStatus {
    /// Chunks that the peer holds.
    pub have: ChunkBitmap,
    /// Number of reads that are queued at the peer.
    pub queue: u32,
    /// Whether the peer's engine serves the version.
    pub serving: bool,
}

/// Result of reading a chunk from a peer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ReadOutcome {
    /// The chunk follows the header.
    Sent,
    /// The peer has too many queued reads.
    Busy,
    /// The peer doesn't hold the chunk.
    Absent,
}
