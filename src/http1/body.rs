use bytes::Buf;
use bytes::BytesMut;

use crate::http1::Framing;
use crate::http1::Http1Error;

/// Longest chunk size line or trailer line, in bytes.
const MAX_LINE_BYTES: usize = 256;

/// Longest trailer of a chunked body, all its lines together, in bytes.
const MAX_TRAILER_BYTES: usize = 8 * 1024;

/// Decodes the body of a message from the bytes of a connection as they arrive.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BodyDecoder {
    /// Body of known length; holds the number of bytes left.
    Length(u64),
    /// Chunked body, before the size line of a chunk.
    ChunkSize,
    /// Chunked body, inside a chunk; holds the number of bytes left of it.
    ChunkData(u64),
    /// Chunked body, before the line break that ends a chunk.
    ChunkEnd,
    /// Chunked body, in the trailer lines after the last chunk; holds their bytes so far.
    Trailer(usize),
    /// Body that extends to the end of the connection.
    UntilClose,
    /// The body is complete.
    Done,
}

impl BodyDecoder {
    /// Creates a decoder for a body with this framing.
    pub fn new(framing: Framing) -> Self {
        match framing {
            Framing::None | Framing::Length(0) => Self::Done,
            Framing::Length(length) => Self::Length(length),
            Framing::Chunked => Self::ChunkSize,
            Framing::UntilClose => Self::UntilClose,
        }
    }

    /// Whether the body is complete.
    pub fn is_done(self) -> bool {
        self == Self::Done
    }

    /// Moves the bytes of the body from `read_buffer` to the end of `out`.
    ///
    /// Bytes after the body stay in `read_buffer`. Trailer lines are discarded.
    ///
    /// # Errors
    ///
    /// [`Http1Error::Malformed`] when the chunks are not well-formed.
    pub fn decode(
        &mut self,
        read_buffer: &mut BytesMut,
        out: &mut Vec<u8>,
    ) -> Result<(), Http1Error> {
        loop {
            *self = match *self {
                Self::Done => return Ok(()),
                Self::Length(left) => match move_bytes(read_buffer, out, left) {
                    0 => Self::Done,
                    left => {
                        *self = Self::Length(left);
                        return Ok(());
                    }
                },
                Self::ChunkData(left) => match move_bytes(read_buffer, out, left) {
                    0 => Self::ChunkEnd,
                    left => {
                        *self = Self::ChunkData(left);
                        return Ok(());
                    }
                },
                Self::UntilClose => {
                    out.extend_from_slice(read_buffer);
                    read_buffer.clear();
                    return Ok(());
                }
                Self::ChunkSize => match take_line(read_buffer, parse_chunk_size)? {
                    Some(size) => match size? {
                        0 => Self::Trailer(0),
                        size => Self::ChunkData(size),
                    },
                    None => return Ok(()),
                },
                Self::ChunkEnd => match take_line(read_buffer, <[u8]>::len)? {
                    Some(0) => Self::ChunkSize,
                    Some(_) => return Err(Http1Error::Malformed("end of a chunk")),
                    None => return Ok(()),
                },
                Self::Trailer(bytes) => match take_line(read_buffer, <[u8]>::len)? {
                    Some(0) => Self::Done,
                    Some(length) if bytes + length <= MAX_TRAILER_BYTES => {
                        Self::Trailer(bytes + length)
                    }
                    Some(_) => return Err(Http1Error::Malformed("trailer of a chunked body")),
                    None => return Ok(()),
                },
            };
        }
    }

    /// Ends the body when the peer has closed the connection.
    ///
    /// # Errors
    ///
    /// [`Http1Error::IncompleteMessage`] when the body is not complete.
    pub fn finish_at_close(&mut self) -> Result<(), Http1Error> {
        match *self {
            Self::Done | Self::UntilClose => {
                *self = Self::Done;
                Ok(())
            }
            _ => Err(Http1Error::IncompleteMessage),
        }
    }
}

/// Moves at most `left` bytes and returns how many are still missing.
fn move_bytes(read_buffer: &mut BytesMut, out: &mut Vec<u8>, left: u64) -> u64 {
    let count = usize::try_from(left).map_or(read_buffer.len(), |left| left.min(read_buffer.len()));
    out.extend_from_slice(&read_buffer[..count]);
    read_buffer.advance(count);
    left - count as u64
}

/// Takes one line off the front and returns what `read` makes of it without its CR LF; `None`
/// when it is not complete yet.
fn take_line<T>(
    read_buffer: &mut BytesMut,
    read: impl FnOnce(&[u8]) -> T,
) -> Result<Option<T>, Http1Error> {
    let Some(newline) = read_buffer.iter().position(|byte| *byte == b'\n') else {
        if read_buffer.len() > MAX_LINE_BYTES {
            return Err(Http1Error::Malformed("line of a chunked body"));
        }
        return Ok(None);
    };
    if newline == 0 || read_buffer[newline - 1] != b'\r' || newline > MAX_LINE_BYTES {
        return Err(Http1Error::Malformed("line of a chunked body"));
    }
    let result = read(&read_buffer[..newline - 1]);
    read_buffer.advance(newline + 1);
    Ok(Some(result))
}

/// Parses the size line of a chunk; extensions after `;` are ignored.
fn parse_chunk_size(line: &[u8]) -> Result<u64, Http1Error> {
    let digits = line.split(|byte| *byte == b';').next().unwrap_or_default();
    let text = std::str::from_utf8(digits).unwrap_or("").trim_end();
    if text.is_empty() || !text.bytes().all(|byte| byte.is_ascii_hexdigit()) {
        return Err(Http1Error::Malformed("chunk size"));
    }
    u64::from_str_radix(text, 16).map_err(|_| Http1Error::Malformed("chunk size"))
}
