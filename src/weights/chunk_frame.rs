use bytes::Bytes;
use serde::Deserialize;
use serde::Serialize;

use crate::weights::PeerStatus;
use crate::weights::ReadOutcome;

/// Bytes that carry the length of the head.
const LEN_BYTES: usize = 4;

#[derive(Debug, Serialize, Deserialize)]
struct FrameHeader {
    outcome: ReadOutcome,
    #[serde(rename = "note")]
    status: PeerStatus,
}

/// A peer's answer to a read: outcome, note, and the chunk if it was sent.
///
/// On the wire: the length of the head, the head as MessagePack, the bytes.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ChunkFrame {
    /// What became of the read.
    pub outcome: ReadOutcome,
    /// What the peer tells of itself.
    pub status: PeerStatus,
    /// The chunk; empty unless it was sent.
    pub chunk: Bytes,
}

impl ChunkFrame {
    /// Length and head, to be followed by the chunk.
    pub fn encode_header(outcome: ReadOutcome, status: PeerStatus) -> Option<Vec<u8>> {
        let header = rmp_serde::to_vec_named(&FrameHeader { outcome, status }).ok()?;
        let mut bytes = u32::try_from(header.len()).ok()?.to_le_bytes().to_vec();
        bytes.extend_from_slice(&header);
        Some(bytes)
    }

    /// Reads a frame; the chunk shares the memory of `bytes`.
    pub fn decode(bytes: &Bytes) -> Option<Self> {
        let (len, rest) = bytes.split_first_chunk::<LEN_BYTES>()?;
        let header_end = LEN_BYTES.checked_add(u32::from_le_bytes(*len) as usize)?;
        let header = rest.get(..header_end - LEN_BYTES)?;
        let header: FrameHeader = rmp_serde::from_slice(header).ok()?;
        Some(Self {
            outcome: header.outcome,
            status: header.status,
            chunk: bytes.slice(header_end..),
        })
    }
}
