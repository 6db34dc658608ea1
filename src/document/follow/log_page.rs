use serde::Deserialize;
use serde::Serialize;

/// Encoded record of the log.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EncodedRecord {
    /// Offset of the record.
    pub offset: u64,
    /// Encoded record; a peer sends empty bytes in place of a record that is not a valid edit.
    #[serde(with = "crate::links::raw_bytes")]
    pub bytes: Vec<u8>,
}

/// Part of the log, as returned by one read.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LogPage {
    /// Lowest offset that the log still keeps.
    pub earliest: u64,
    /// Offset of the next append.
    pub next: u64,
    /// Records from the requested offset on, ascending by offset.
    pub records: Vec<EncodedRecord>,
}
