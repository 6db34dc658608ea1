use crate::fleet::LogPosition;
use crate::fleet::known_record::KnownRecord;

/// A topic of the platform's log whose records have keys.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Topic {
    /// Documents that the operator publishes: the configuration and declarations of weights.
    Operator,
    /// Registrations of the replicas.
    Replicas,
    /// Registrations of the entries, by which they find each other, and the requests and parts
    /// that they refuse as the cause of crashes.
    Members,
}

impl Topic {
    /// Every topic, in the order of the variants.
    pub const ALL: [Self; 3] = [Self::Operator, Self::Replicas, Self::Members];

    /// Stable name in log lines and in the paths of internal calls.
    pub fn label(self) -> &'static str {
        match self {
            Self::Operator => "operator",
            Self::Replicas => "replicas",
            Self::Members => "members",
        }
    }

    /// Topic whose [`Topic::label`] is `label`.
    pub fn from_label(label: &str) -> Option<Self> {
        Self::ALL.into_iter().find(|topic| topic.label() == label)
    }
}

/// Version that a record states of itself, independent of its position in the log:
/// incarnation of its writer, or 0 if it states none, then number of the version.
pub type RecordVersion = (u64, u64);

/// The newest record of one key of a topic.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TopicRecord {
    /// Key of the record within its topic.
    pub key: String,
    /// Packed [`LogPosition`] of the record.
    pub offset: u64,
    /// Value; None when the key was deleted.
    pub value: Option<Vec<u8>>,
}

impl TopicRecord {
    pub(super) fn era(&self) -> u64 {
        LogPosition::unpack(self.offset).era
    }
}

/// Result of applying a listing.
#[derive(Debug, Default, PartialEq, Eq)]
pub struct ListingChanges {
    /// Keys whose newest record changed.
    pub changed: Vec<String>,
    /// Number of records kept although the listing, of a later era, holds an older version
    /// of them or none.
    pub kept: usize,
}

/// The newest record of each key of a topic, merged by version and position.
///
/// Records may arrive in any order, from the log or from other entries. A key never goes
/// back to an older value: the store may carry out a write seconds late, after a newer one of
/// the same writer, so the version that a record states takes precedence over its position.
#[derive(Debug, Default)]
pub struct TopicTable {
    // Sorted by key.
    records: Vec<KnownRecord>,
    end_offset: u64,
    complete_from_offset: u64,
    has_listing: bool,
}

impl TopicTable {
    /// Packed position up to which every record was read.
    pub fn end_offset(&self) -> u64 {
        self.end_offset
    }

    /// Packed position from which on every change is known, deletions included. A listing
    /// does not contain the keys that were deleted before it.
    pub fn complete_from_offset(&self) -> u64 {
        self.complete_from_offset
    }

    /// Whether a complete listing of the topic was applied at least once.
    pub fn has_listing(&self) -> bool {
        self.has_listing
    }

    /// Applies one record; returns whether it is newer than the known one. `version_of`
    /// tells the version that a record states, if any.
    ///
    /// The end stays, since records before this one may be missing; see
    /// [`TopicTable::advance_end_offset`].
    pub fn apply_record(
        &mut self,
        record: TopicRecord,
        version_of: impl Fn(&TopicRecord) -> Option<RecordVersion>,
    ) -> bool {
        match self
            .records
            .binary_search_by(|known| known.record.key.cmp(&record.key))
        {
            Ok(at) => self.records[at].merge(record, version_of),
            Err(at) => {
                let known = KnownRecord::new(record, version_of);
                self.records.insert(at, known);
                true
            }
        }
    }

    /// Applies a listing, which holds the newest record of every key as of `end_offset`.
    ///
    /// Keys that the listing lacks are deleted, unless their known record is at or after
    /// `end_offset`, or is of an earlier era and states a version: the store has lost it,
    /// and its writer writes it again. `keeps_lost_records` is false for topics whose
    /// records last only while their writers write them again and again.
    ///
    /// A listing that is behind the last one adds no key that the last one lacks: that key
    /// was deleted in between.
    pub fn apply_listing(
        &mut self,
        listing: Vec<TopicRecord>,
        end_offset: u64,
        keeps_lost_records: bool,
        version_of: impl Fn(&TopicRecord) -> Option<RecordVersion>,
    ) -> ListingChanges {
        let mut changes = ListingChanges::default();
        let mut listed: Vec<String> = listing.iter().map(|record| record.key.clone()).collect();
        listed.sort_unstable();
        let era = LogPosition::unpack(end_offset).era;
        for record in listing {
            if end_offset < self.complete_from_offset && self.was_deleted(&record) {
                continue;
            }
            let key = record.key.clone();
            let is_newer_era = self
                .get(&key)
                .is_some_and(|known| known.era() < record.era());
            if self.apply_record(record, &version_of) {
                changes.changed.push(key);
            } else if is_newer_era {
                changes.kept += 1;
            }
        }
        for known in &mut self.records {
            let record = &known.record;
            let is_listed = listed.binary_search(&record.key).is_ok();
            if is_listed || record.offset >= end_offset || record.value.is_none() {
                continue;
            }
            if keeps_lost_records && record.era() < era && version_of(record).is_some() {
                changes.kept += 1;
                continue;
            }
            changes.changed.push(record.key.clone());
            if record.era() < era {
                // The store has only lost it, and may get it back as it was.
                known.lose();
            } else {
                known.delete_before(end_offset);
            }
        }
        self.end_offset = self.end_offset.max(end_offset);
        self.complete_from_offset = self.complete_from_offset.max(end_offset);
        changes
    }

    /// Whether a record of an unknown key was deleted before the last listing.
    fn was_deleted(&self, record: &TopicRecord) -> bool {
        self.get(&record.key).is_none()
            && record.era() == LogPosition::unpack(self.complete_from_offset).era
            && record.offset < self.complete_from_offset
    }

    /// Has each record state its version anew, after what counts as one has changed.
    pub fn restate_versions(&mut self, version_of: impl Fn(&TopicRecord) -> Option<RecordVersion>) {
        for known in &mut self.records {
            known.restate_version(&version_of);
        }
    }

    /// Marks that a complete listing was applied.
    pub fn mark_listed(&mut self) {
        self.has_listing = true;
    }

    /// Raises the end after a read that returned every record before `offset`.
    pub fn advance_end_offset(&mut self, offset: u64) {
        self.end_offset = self.end_offset.max(offset);
    }

    /// Newest record of `key`, which may be a deletion.
    pub fn get(&self, key: &str) -> Option<&TopicRecord> {
        let at = self
            .records
            .binary_search_by(|known| known.record.key.as_str().cmp(key))
            .ok()?;
        Some(&self.records[at].record)
    }

    /// Newest records of the keys that are not deleted.
    pub fn live_records(&self) -> impl Iterator<Item = &TopicRecord> {
        self.records
            .iter()
            .map(|known| &known.record)
            .filter(|record| record.value.is_some())
    }

    /// Whether a record is known that the store has lost, or has an older version of.
    pub fn has_kept_records(&self) -> bool {
        let era = LogPosition::unpack(self.end_offset).era;
        self.records
            .iter()
            .filter(|known| known.record.value.is_some())
            .any(|known| known.record.era() < era || known.is_out_of_order())
    }

    /// Newest records at or after the packed position `offset`, deletions included.
    pub fn records_since(&self, offset: u64) -> impl Iterator<Item = &TopicRecord> {
        self.records
            .iter()
            .map(|known| &known.record)
            .filter(move |record| record.offset >= offset)
    }
}
