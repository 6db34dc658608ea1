use crate::fleet::ReplicaRecord;

/// Id and start of a replica.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct Incarnation {
    pub(super) id: String,
    pub(super) born_unix_ms: Option<u64>,
}

impl Incarnation {
    /// The incarnation that a record is about.
    pub(super) fn of(record: &ReplicaRecord) -> Self {
        Self {
            id: record.id.clone(),
            born_unix_ms: record.born_unix_ms,
        }
    }
}
