use serde::Deserialize;
use serde::Serialize;

use crate::calls::RefusalReason;
use crate::hosts::Load;
use crate::weights::Digest;

/// Bytes of the length before each frame.
const LENGTH_BYTES: usize = 4;

/// Longest frame, in bytes.
const MAX_FRAME_BYTES: usize = 64 * 1024;

/// Why a stream broke off at an endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum StreamFault {
    /// The engine failed or fell silent.
    EngineFailed,
    /// The engine died while it ran the request.
    EngineCrashed {
        /// Crash of the engine within the incarnation of the endpoint.
        crash_no: u32,
    },
    /// The engine does not serve the weights asked for.
    NotLoaded,
    /// The engine answered another request or with other weights.
    WrongAnswer,
    /// The deadline passed while tokens were made.
    DeadlinePassed,
}

/// One frame of a token stream from an endpoint to an entry.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum GenerateFrame {
    /// The request left the queue and runs.
    Started { load: Load },
    /// The next token.
    Token { index: u32, text: String },
    /// The connection is alive.
    Beat { load: Load },
    /// The answer is whole.
    End {
        request_id: String,
        /// Index after the last token.
        tokens: u32,
        manifest: Digest,
        whole: Digest,
        load: Load,
    },
    /// The request was not run and will not be.
    Refused {
        reason: RefusalReason,
        retry_after_ms: Option<u64>,
        load: Load,
    },
    /// The stream broke off.
    Failed { fault: StreamFault, load: Load },
}

impl GenerateFrame {
    /// The frame in MessagePack, after its length.
    pub fn to_bytes(&self) -> Vec<u8> {
        let mut bytes = vec![0; LENGTH_BYTES];
        rmp_serde::encode::write_named(&mut bytes, self).expect("frames have no failing fields");
        let length = (bytes.len() - LENGTH_BYTES) as u32;
        bytes[..LENGTH_BYTES].copy_from_slice(&length.to_be_bytes());
        bytes
    }
}

/// Bytes that are no frame.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct FrameError;

/// Puts arriving bytes together to frames, bounded in memory.
#[derive(Debug, Default)]
pub struct FrameBuffer {
    bytes: Vec<u8>,
    start: usize,
}

impl FrameBuffer {
    /// Appends arrived bytes.
    pub fn push(&mut self, bytes: &[u8]) {
        self.bytes.drain(..self.start);
        self.start = 0;
        self.bytes.extend_from_slice(bytes);
    }

    /// The next whole frame.
    ///
    /// # Errors
    ///
    /// [`FrameError`] when the bytes are no frame or too long for one.
    pub fn next_frame(&mut self) -> Result<Option<GenerateFrame>, FrameError> {
        let rest = &self.bytes[self.start..];
        let Some(head) = rest.first_chunk::<LENGTH_BYTES>() else {
            return Ok(None);
        };
        let length = u32::from_be_bytes(*head) as usize;
        if length > MAX_FRAME_BYTES {
            return Err(FrameError);
        }
        let end = LENGTH_BYTES + length;
        let Some(body) = rest.get(LENGTH_BYTES..end) else {
            return Ok(None);
        };
        let frame = rmp_serde::from_slice(body).map_err(|_| FrameError)?;
        self.start += end;
        Ok(Some(frame))
    }
}
