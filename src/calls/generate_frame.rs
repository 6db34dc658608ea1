use serde::Deserialize;
use serde::Serialize;

use crate::calls::RefusalReason;
use crate::hosts::Load;
use crate::weights::Digest;

/// Size of the length prefix of each frame, in bytes.
const LENGTH_BYTES: usize = 4;

/// Largest frame without its length prefix, in bytes.
const MAX_FRAME_BYTES: usize = 64 * 1024;

/// Why a token stream failed at an endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum StreamFault {
    /// The engine failed or stopped answering.
    EngineFailed,
    /// The engine crashed while it ran the request.
    EngineCrashed {
        /// Number of the crash within the incarnation of the endpoint.
        crash_no: u32,
    },
    /// The engine does not serve the requested weights.
    NotLoaded,
    /// The engine answered another request, or used other weights.
    WrongAnswer,
    /// The deadline passed while tokens were generated.
    DeadlinePassed,
}

/// One frame of a token stream from an endpoint to an entry.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum GenerateFrame {
    /// The request left the queue and is running.
    Started { load: Load },
    /// The next token.
    Token { index: u32, text: String },
    /// Heartbeat: the connection is alive.
    Beat { load: Load },
    /// The engine has been silent for long; the stream goes on when it is heard again.
    Stalled { load: Load },
    /// The answer is complete.
    End {
        request_id: String,
        /// Number of tokens of the complete answer, those before `resume_from` included.
        tokens: u32,
        /// Digest of the manifest of the weights that were used.
        manifest: Digest,
        /// Digest of the complete weights that were used.
        whole: Digest,
        load: Load,
    },
    /// The request was not run and never will be.
    Refused {
        reason: RefusalReason,
        retry_after_ms: Option<u64>,
        load: Load,
    },
    /// The stream failed.
    Failed { fault: StreamFault, load: Load },
}

impl GenerateFrame {
    /// The frame in MessagePack, with its length prefix.
    pub fn to_bytes(&self) -> Vec<u8> {
        let mut bytes = vec![0; LENGTH_BYTES];
        rmp_serde::encode::write_named(&mut bytes, self).expect("every frame can be encoded");
        let length = (bytes.len() - LENGTH_BYTES) as u32;
        bytes[..LENGTH_BYTES].copy_from_slice(&length.to_be_bytes());
        bytes
    }
}

/// Error for bytes that are not a valid frame.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct FrameError;

/// Reassembles frames from received bytes, with bounded memory.
#[derive(Debug, Default)]
pub struct FrameBuffer {
    bytes: Vec<u8>,
    // Index of the first byte that is not part of a returned frame.
    start: usize,
}

impl FrameBuffer {
    /// Appends received bytes.
    pub fn push(&mut self, bytes: &[u8]) {
        self.bytes.drain(..self.start);
        self.start = 0;
        self.bytes.extend_from_slice(bytes);
    }

    /// The next complete frame; `None` until more bytes are received.
    ///
    /// # Errors
    ///
    /// [`FrameError`] when the bytes are not a frame or the frame is too large.
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
