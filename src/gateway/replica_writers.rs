//! Tells the records that replicas write of themselves from those of other writers.
//!
//! Whoever can write to the platform's store can write under the id of a replica, or with its
//! address. What such a record states of a replica that is in use does not count.

use crate::fleet::Catalog;
use crate::fleet::RecordVersion;
use crate::fleet::ReplicaRecord;
use crate::fleet::Topic;
use crate::fleet::TopicRecord;
use crate::gateway::InvalidRecord;
use crate::gateway::RecordDecoder;

/// Decodes a record of a replica.
///
/// # Errors
///
/// Returns an error when it can't be decoded, or when another writer has written it over `known`,
/// the replica's own record.
pub fn decode_replica(
    known: Option<&ReplicaRecord>,
    catalog: Option<&Catalog>,
    key: &str,
    value: &[u8],
    decoder: &impl RecordDecoder,
) -> Result<ReplicaRecord, InvalidRecord> {
    let record = decoder.replica_record(key, value)?;
    if known.is_some_and(|known| known.is_overwritten_by(&record, catalog)) {
        let reason = format!("unknown service {:?}", record.service);
        return Err(InvalidRecord { reason });
    }
    Ok(record)
}

/// Version that a record states, by which it has its place among those of the same writer.
///
/// The record of a replica whose service `catalog` does not have states none: it may come from
/// another writer than the others with its key, with a start later than theirs.
pub fn writer_version(
    catalog: Option<&Catalog>,
    topic: Topic,
    record: &TopicRecord,
    decoder: &impl RecordDecoder,
) -> Option<RecordVersion> {
    if topic != Topic::Replicas {
        return decoder.record_version(topic, record);
    }
    let value = record.value.as_deref()?;
    let replica = decoder.replica_record(&record.key, value).ok()?;
    replica.is_in_use(catalog).then(|| replica.version())
}
