use serde::Deserialize;
use serde::Serialize;

/// One record of the log.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RawLogRecord {
    /// Offset of the record.
    pub offset: u64,
    /// Its bytes; empty in place of a checkpoint when a peer passes it on.
    #[serde(with = "crate::links::raw_bytes")]
    pub bytes: Vec<u8>,
}

/// Records of the log in offset order.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LogPage {
    /// Lowest offset the log still keeps.
    pub earliest: u64,
    /// Offset of the next append.
    pub next: u64,
    /// Records from the offset asked for.
    pub records: Vec<RawLogRecord>,
}
