use bytes::Bytes;
use serde::Deserialize;
use serde::Serialize;

use crate::weights::PeerStatus;
use crate::weights::ReadOutcome;

/// Bytes that carry the length of the head.
const LEN_BYTES: usize = 4;

#[derive(Debug, Serialize, Deserialize)]
struct Head {
    outcome: ReadOutcome,
    note: PeerStatus,
}

/// A peer's answer to a read: outcome, note, and the chunk if it was sent.
///
/// On the wire: the length of the head, the head as MessagePack, the bytes.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ChunkFrame {
    /// What became of the read.
    pub outcome: ReadOutcome,
    /// What the peer tells of itself.
    pub note: PeerStatus,
    /// The chunk; empty unless it was sent.
    pub chunk: Bytes,
}

impl ChunkFrame {
    /// Length and head, to be followed by the chunk.
    pub fn encode_head(outcome: ReadOutcome, note: PeerStatus) -> Option<Vec<u8>> {
        let head = rmp_serde::to_vec_named(&Head { outcome, note }).ok()?;
        let mut bytes = u32::try_from(head.len()).ok()?.to_le_bytes().to_vec();
        bytes.extend_from_slice(&head);
        Some(bytes)
    }

    /// Reads a frame; the chunk shares the memory of `bytes`.
    pub fn decode(bytes: &Bytes) -> Option<Self> {
        let (len, rest) = bytes.split_first_chunk::<LEN_BYTES>()?;
        let head_end = LEN_BYTES.checked_add(u32::from_le_bytes(*len) as usize)?;
        let head = rest.get(..head_end - LEN_BYTES)?;
        let head: Head = rmp_serde::from_slice(head).ok()?;
        Some(Self {
            outcome: head.outcome,
            note: head.note,
            chunk: bytes.slice(head_end..),
        })
    }
}
