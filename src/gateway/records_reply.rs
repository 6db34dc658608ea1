use serde::Deserialize;
use serde::Serialize;

use crate::fleet::Ledger;
use crate::fleet::LedgerRecord;

/// Largest answer that is unpacked, in bytes.
const MAX_UNPACKED_BYTES: usize = 16 * 1024 * 1024;

/// The newest records of a topic, as one entry gives them to another process.
///
/// They travel compressed: a configuration of many routes goes to every process
/// at once, over links that also carry requests.
#[derive(Debug, Serialize, Deserialize)]
pub struct RecordsReply {
    /// Key, offset and value of each record.
    records: Vec<(String, u64, Option<Vec<u8>>)>,
    /// Offset up to which the topic is covered.
    pub end_offset: u64,
    /// Whether these are all records, so that what they lack is dropped.
    pub is_listing: bool,
}

/// Why an answer with records can't be used.
#[derive(Debug)]
pub enum RecordsReplyError {
    /// It would unpack to that many bytes, or is cut off.
    Length(usize),
    /// It can't be unpacked.
    Compression(lz4_flex::block::DecompressError),
    /// It can't be decoded.
    Encoding(rmp_serde::decode::Error),
}

impl std::fmt::Display for RecordsReplyError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::Length(len) => write!(f, "records of {len} bytes are not taken"),
            Self::Compression(error) => write!(f, "records can't be unpacked: {error}"),
            Self::Encoding(error) => write!(f, "records can't be decoded: {error}"),
        }
    }
}

impl std::error::Error for RecordsReplyError {}

impl RecordsReply {
    /// What a process lacks that knows the topic up to `offset`: the changes since,
    /// or all records where `ledger` does not know every change.
    pub fn since(ledger: &Ledger, offset: u64) -> Self {
        let copy = |r: &LedgerRecord| (r.key.clone(), r.offset, r.value.clone());
        let is_listing = offset < ledger.complete_from();
        Self {
            records: if is_listing {
                ledger.listing().map(copy).collect()
            } else {
                ledger.since(offset).map(copy).collect()
            },
            end_offset: ledger.end_offset(),
            is_listing,
        }
    }

    /// Bytes to send.
    pub fn pack(&self) -> Vec<u8> {
        let plain = rmp_serde::to_vec(self).expect("records are plain data");
        lz4_flex::block::compress_prepend_size(&plain)
    }

    /// Reads what [`RecordsReply::pack`] made.
    ///
    /// # Errors
    ///
    /// When the bytes are cut off, too many once unpacked, or not records.
    pub fn unpack(bytes: &[u8]) -> Result<Self, RecordsReplyError> {
        let (len, packed) = lz4_flex::block::uncompressed_size(bytes)
            .map_err(|_| RecordsReplyError::Length(bytes.len()))?;
        if len > MAX_UNPACKED_BYTES {
            return Err(RecordsReplyError::Length(len));
        }
        let plain =
            lz4_flex::block::decompress(packed, len).map_err(RecordsReplyError::Compression)?;
        rmp_serde::from_slice(&plain).map_err(RecordsReplyError::Encoding)
    }

    /// The records as a ledger takes them.
    pub fn into_records(self) -> Vec<LedgerRecord> {
        self.records
            .into_iter()
            .map(|(key, offset, value)| LedgerRecord { key, offset, value })
            .collect()
    }
}
