use serde::Deserialize;
use serde::Serialize;

use crate::fleet::LogPosition;
use crate::fleet::TopicRecord;
use crate::fleet::TopicTable;

/// Largest size of a reply after decompression, in bytes.
const MAX_UNPACKED_BYTES: usize = 16 * 1024 * 1024;

/// The newest records of a topic, as an entry sends them to another process.
///
/// The reply is compressed: a configuration with many routes goes to every process
/// at once, over links that also carry requests.
#[derive(Debug, Serialize, Deserialize)]
pub struct RecordsReply {
    /// Key, offset and value of each record.
    records: Vec<(String, u64, Option<Vec<u8>>)>,
    /// Offset after the last record of the topic that the reply covers.
    pub end_offset: u64,
    /// Whether these are the newest records of all keys, so that the receiver drops
    /// any other key.
    pub is_listing: bool,
}

/// Why a reply with records could not be decoded.
#[derive(Debug)]
pub enum RecordsReplyError {
    /// The decompressed size, in bytes, exceeds the limit; or the reply, of that many
    /// bytes, is too short to state its size.
    InvalidLength(usize),
    /// Decompression failed.
    Compression(lz4_flex::block::DecompressError),
    /// The decompressed bytes are no records.
    Encoding(rmp_serde::decode::Error),
    /// The reply, or one of its records, is at this packed position, which no store reaches.
    InvalidPosition(u64),
}

impl std::fmt::Display for RecordsReplyError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::InvalidLength(len) => write!(f, "invalid length of records: {len} bytes"),
            Self::Compression(error) => write!(f, "cannot decompress records: {error}"),
            Self::Encoding(error) => write!(f, "cannot decode records: {error}"),
            Self::InvalidPosition(offset) => write!(f, "records at the position {offset}"),
        }
    }
}

impl std::error::Error for RecordsReplyError {}

impl RecordsReply {
    /// Reply to a process that has the topic up to `offset`: the changes since then,
    /// or all records if `table` does not hold every change since then.
    pub fn since(table: &TopicTable, offset: u64) -> Self {
        let copy = |r: &TopicRecord| (r.key.clone(), r.offset, r.value.clone());
        let is_listing = offset < table.complete_from_offset();
        Self {
            records: if is_listing {
                table.live_records().map(copy).collect()
            } else {
                table.records_since(offset).map(copy).collect()
            },
            end_offset: table.end_offset(),
            is_listing,
        }
    }

    /// Encodes the reply as MessagePack and compresses it.
    pub fn pack(&self) -> Vec<u8> {
        let plain = rmp_serde::to_vec(self).expect("records are plain data");
        lz4_flex::block::compress_prepend_size(&plain)
    }

    /// Decompresses and decodes a reply that [`RecordsReply::pack`] encoded.
    ///
    /// # Errors
    ///
    /// When the bytes are truncated, exceed the limit after decompression, hold no records,
    /// or state a position that no store reaches.
    pub fn unpack(bytes: &[u8]) -> Result<Self, RecordsReplyError> {
        let (len, packed) = lz4_flex::block::uncompressed_size(bytes)
            .map_err(|_| RecordsReplyError::InvalidLength(bytes.len()))?;
        if len > MAX_UNPACKED_BYTES {
            return Err(RecordsReplyError::InvalidLength(len));
        }
        let plain =
            lz4_flex::block::decompress(packed, len).map_err(RecordsReplyError::Compression)?;
        let reply: Self = rmp_serde::from_slice(&plain).map_err(RecordsReplyError::Encoding)?;
        let offsets = reply.records.iter().map(|record| record.1);
        let mut offsets = offsets.chain([reply.end_offset]);
        match offsets.find(|offset| !LogPosition::unpack(*offset).is_plausible()) {
            Some(offset) => Err(RecordsReplyError::InvalidPosition(offset)),
            None => Ok(reply),
        }
    }

    /// The records, to be applied to a table.
    pub fn into_records(self) -> Vec<TopicRecord> {
        self.records
            .into_iter()
            .map(|(key, offset, value)| TopicRecord { key, offset, value })
            .collect()
    }
}
