/// A topic of the platform's log whose records have keys.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Topic {
    /// Documents that the operator publishes: the configuration and declarations of weights.
    Operator,
    /// Registrations of the replicas.
    Replicas,
    /// Registrations of the entries, by which they find each other.
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

/// The newest record of one key of a topic.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TopicRecord {
    /// Key of the record within its topic.
    pub key: String,
    /// Offset of the record in the log.
    pub offset: u64,
    /// Value; None when the key was deleted.
    pub value: Option<Vec<u8>>,
}

/// The newest record of each key of a topic, merged by offset.
///
/// Records may arrive in any order, from the log or from other entries. The record
/// with the higher offset is kept, so that a key never goes back to an older value.
#[derive(Debug, Default)]
pub struct TopicTable {
    // Sorted by key.
    records: Vec<TopicRecord>,
    end_offset: u64,
    complete_from_offset: u64,
    has_listing: bool,
}

impl TopicTable {
    /// Offset up to which every record was read.
    pub fn end_offset(&self) -> u64 {
        self.end_offset
    }

    /// Offset from which on every change is known, deletions included. A listing
    /// does not contain the keys that were deleted before it.
    pub fn complete_from_offset(&self) -> u64 {
        self.complete_from_offset
    }

    /// Whether a complete listing of the topic was applied at least once.
    pub fn has_listing(&self) -> bool {
        self.has_listing
    }

    /// Applies one record; returns whether it is newer than the known one.
    ///
    /// The end offset stays, since records before this one may be missing; see
    /// [`TopicTable::advance_end_offset`].
    pub fn apply_record(&mut self, record: TopicRecord) -> bool {
        match self.records.binary_search_by(|r| r.key.cmp(&record.key)) {
            Ok(at) if self.records[at].offset >= record.offset => false,
            Ok(at) => {
                self.records[at] = record;
                true
            }
            Err(at) => {
                self.records.insert(at, record);
                true
            }
        }
    }

    /// Applies a listing, which holds the newest record of every key as of `end_offset`.
    ///
    /// Returns the keys that changed. Keys that the listing lacks are deleted, unless
    /// their known record is at or after `end_offset`.
    pub fn apply_listing(&mut self, listing: Vec<TopicRecord>, end_offset: u64) -> Vec<String> {
        let mut changed = Vec::new();
        let mut listed: Vec<String> = listing.iter().map(|record| record.key.clone()).collect();
        listed.sort_unstable();
        for record in listing {
            let key = record.key.clone();
            if self.apply_record(record) {
                changed.push(key);
            }
        }
        for record in &mut self.records {
            let is_listed = listed.binary_search(&record.key).is_ok();
            if !is_listed && record.offset < end_offset && record.value.is_some() {
                record.value = None;
                changed.push(record.key.clone());
            }
        }
        self.end_offset = self.end_offset.max(end_offset);
        self.complete_from_offset = self.complete_from_offset.max(end_offset);
        changed
    }

    /// Marks that a complete listing was applied.
    pub fn mark_listed(&mut self) {
        self.has_listing = true;
    }

    /// Raises the end offset after a read that returned every record before `offset`.
    pub fn advance_end_offset(&mut self, offset: u64) {
        self.end_offset = self.end_offset.max(offset);
    }

    /// Newest record of `key`, which may be a deletion.
    pub fn get(&self, key: &str) -> Option<&TopicRecord> {
        let at = self
            .records
            .binary_search_by(|r| r.key.as_str().cmp(key))
            .ok()?;
        Some(&self.records[at])
    }

    /// Newest records of the keys that are not deleted.
    pub fn live_records(&self) -> impl Iterator<Item = &TopicRecord> {
        self.records.iter().filter(|r| r.value.is_some())
    }

    /// Newest records with an offset of at least `offset`, deletions included.
    pub fn records_since(&self, offset: u64) -> impl Iterator<Item = &TopicRecord> {
        self.records.iter().filter(move |r| r.offset >= offset)
    }
}
