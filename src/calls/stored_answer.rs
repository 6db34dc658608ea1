use serde::Deserialize;
use serde::Serialize;

/// Answer of a service, kept for further sends of the same permit.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct StoredAnswer {
    /// HTTP status of the service.
    pub status: u16,
    /// Whole body.
    #[serde(with = "crate::links::raw_bytes")]
    pub body: Vec<u8>,
}
