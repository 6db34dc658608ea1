use bytes::Bytes;
use serde::Deserialize;
use serde::Serialize;

use crate::weights::PeerStatus;
use crate::weights::ReadOutcome;

/// Length of the header's length field, in bytes.
const LEN_BYTES: usize = 4;

/// Header of a frame, as sent on the wire.
#[derive(Debug, Serialize, Deserialize)]
struct FrameHeader {
    outcome: ReadOutcome,
    #[serde(rename = "note")]
    status: PeerStatus,
}

/// Response of a peer to a read of a chunk.
///
/// On the wire: the length of the header as a little-endian u32, the header as
/// MessagePack, and the bytes of the chunk.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ChunkFrame {
    /// Result of the read.
    pub outcome: ReadOutcome,
    /// Status of the peer when it responded.
    pub status: PeerStatus,
    /// Bytes of the chunk; empty unless the outcome is [`ReadOutcome::Sent`].
    pub chunk: Bytes,
}

impl ChunkFrame {
    /// Encodes the part of a frame that precedes the chunk; None if that fails.
    pub fn encode_header(outcome: ReadOutcome, status: PeerStatus) -> Option<Vec<u8>> {
        let header = rmp_serde::to_vec_named(&FrameHeader { outcome, status }).ok()?;
        let mut bytes = u32::try_from(header.len()).ok()?.to_le_bytes().to_vec();
        bytes.extend_from_slice(&header);
        Some(bytes)
    }

    /// Decodes a frame; None when it is malformed.
    ///
    /// The chunk shares the memory of `bytes`.
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
