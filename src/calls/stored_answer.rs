use serde::Deserialize;
use serde::Serialize;

/// Answer of a service, stored for further sends of the same permit.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct StoredAnswer {
    /// HTTP status that the service answered with.
    pub status: u16,
    /// Complete body.
    #[serde(with = "crate::links::raw_bytes")]
    pub body: Vec<u8>,
}
