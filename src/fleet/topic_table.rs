/// A keyed topic of the platform's log.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Topic {
    /// Documents of the operator.
    Operator,
    /// Records of the replicas.
    Replicas,
    /// Records of the entries, by which they find each other.
    Members,
}

impl Topic {
    /// Every topic.
    pub const ALL: [Self; 3] = [Self::Operator, Self::Replicas, Self::Members];

    /// Stable name for logs and internal calls.
    pub fn label(self) -> &'static str {
        match self {
            Self::Operator => "operator",
            Self::Replicas => "replicas",
            Self::Members => "members",
        }
    }

    /// Topic with that name.
    pub fn from_label(label: &str) -> Option<Self> {
        Self::ALL.into_iter().find(|topic| topic.label() == label)
    }
}

/// The newest record of one key.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TopicRecord {
    /// Key.
    pub key: String,
    /// Offset of the record.
    pub offset: u64,
    /// Value; None when the key was dropped.
    pub value: Option<Vec<u8>>,
}

/// The newest record of each key of a topic, merged by offset.
///
/// Records may come in any order, from the log or from other entries: the one
/// with the higher offset stays, so that nothing ever reverts.
#[derive(Debug, Default)]
pub struct TopicTable {
    // Ascending by key.
    records: Vec<TopicRecord>,
    end_offset: u64,
    complete_from_offset: u64,
    has_listing: bool,
}

impl TopicTable {
    /// Offset after the last record that is covered.
    pub fn end_offset(&self) -> u64 {
        self.end_offset
    }

    /// Offset from which on every change is known. A listing tells nothing of the
    /// keys that were dropped before it.
    pub fn complete_from_offset(&self) -> u64 {
        self.complete_from_offset
    }

    /// Whether the topic was ever read as a whole.
    pub fn has_listing(&self) -> bool {
        self.has_listing
    }

    /// Takes one record; returns whether it is news.
    ///
    /// It says nothing of the records before it: [`TopicTable::advance_end_offset`] does.
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

    /// Takes the newest record of every key, as read from offset `end_offset`.
    ///
    /// Returns the keys that changed; those that the listing lacks are dropped,
    /// unless a later record of theirs is known.
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

    /// Notes that a listing was taken in whole.
    pub fn mark_listed(&mut self) {
        self.has_listing = true;
    }

    /// Extends what is covered, after a read that held every record before `offset`.
    pub fn advance_end_offset(&mut self, offset: u64) {
        self.end_offset = self.end_offset.max(offset);
    }

    /// Newest record of `key`.
    pub fn get(&self, key: &str) -> Option<&TopicRecord> {
        let at = self
            .records
            .binary_search_by(|r| r.key.as_str().cmp(key))
            .ok()?;
        Some(&self.records[at])
    }

    /// Newest records of the keys that are not dropped.
    pub fn live_records(&self) -> impl Iterator<Item = &TopicRecord> {
        self.records.iter().filter(|r| r.value.is_some())
    }

    /// Records at or after `offset`.
    pub fn records_since(&self, offset: u64) -> impl Iterator<Item = &TopicRecord> {
        self.records.iter().filter(move |r| r.offset >= offset)
    }
}
