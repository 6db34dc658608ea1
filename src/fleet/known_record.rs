use crate::fleet::LogPosition;
use crate::fleet::RecordVersion;
use crate::fleet::TopicRecord;

/// The newest record of a key, with what decides whether another one replaces it.
///
/// It holds the newest write by the writer's order and the last deletion, each with its
/// position, so the result does not depend on the order in which they arrive. A key is
/// deleted if its last deletion comes after the newest write.
#[derive(Debug)]
pub(super) struct KnownRecord {
    /// The record in force: the newest write, or the deletion that followed it.
    pub(super) record: TopicRecord,
    /// Position of the newest write, if one is known.
    written_offset: Option<u64>,
    /// Version that the newest write has stated, if it states one.
    stated: Option<RecordVersion>,
    /// Newest version that a write before it has stated.
    stated_before: Option<RecordVersion>,
    /// Position up to which every write was deleted.
    deleted_offset: Option<u64>,
    /// Position of the last write that was ignored as an older one of the writer.
    ignored_offset: u64,
}

impl KnownRecord {
    /// The first record of a key.
    pub(super) fn new(
        record: TopicRecord,
        version_of: impl Fn(&TopicRecord) -> Option<RecordVersion>,
    ) -> Self {
        let is_write = record.value.is_some();
        Self {
            written_offset: is_write.then_some(record.offset),
            stated: version_of(&record),
            stated_before: None,
            deleted_offset: (!is_write).then_some(record.offset),
            ignored_offset: 0,
            record,
        }
    }

    /// Merges another record of the key; returns whether the one in force changes.
    pub(super) fn merge(
        &mut self,
        other: TopicRecord,
        version_of: impl Fn(&TopicRecord) -> Option<RecordVersion>,
    ) -> bool {
        if other.value.is_none() {
            return self.merge_deletion(other);
        }
        let version = version_of(&other);
        if !self.is_older_than(&other, version) {
            if other.offset > self.record.offset {
                self.ignored_offset = self.ignored_offset.max(other.offset);
            }
            return false;
        }
        self.written_offset = Some(other.offset);
        self.stated_before = self.version();
        self.stated = version;
        let deletion = self.deleted_offset.filter(|deleted_offset| {
            LogPosition::unpack(*deleted_offset).era == other.era()
                && *deleted_offset >= other.offset
        });
        let was_live = self.record.value.is_some();
        match deletion {
            Some(deleted_offset) if was_live => {
                self.record.offset = deleted_offset;
                self.record.value = None;
                true
            }
            Some(_) => false,
            None => {
                self.record = other;
                true
            }
        }
    }

    /// Merges a deletion. It states no version, so its position decides.
    fn merge_deletion(&mut self, deletion: TopicRecord) -> bool {
        self.deleted_offset = self.deleted_offset.max(Some(deletion.offset));
        if deletion.offset <= self.record.offset {
            return false;
        }
        self.record = deletion;
        true
    }

    /// Deletes the key, as a listing as of `end_offset` lacks it. The record keeps its
    /// position, as that of the deletion is not known.
    pub(super) fn delete_before(&mut self, end_offset: u64) {
        self.deleted_offset = self.deleted_offset.max(end_offset.checked_sub(1));
        self.record.value = None;
    }

    /// Newest version that a write has stated. It outlasts a deletion and a write that states
    /// none.
    fn version(&self) -> Option<RecordVersion> {
        self.stated.or(self.stated_before)
    }

    /// Takes the version that the record in force states by what counts as one now.
    pub(super) fn restate_version(
        &mut self,
        version_of: impl Fn(&TopicRecord) -> Option<RecordVersion>,
    ) {
        if self.record.value.is_some() {
            self.stated = version_of(&self.record);
        }
    }

    /// Removes a record that the store has lost. Its writer may write it again as it was.
    pub(super) fn lose(&mut self) {
        self.stated = None;
        self.stated_before = None;
        self.record.value = None;
    }

    /// Whether the store's newest record of the key is an older one of the writer.
    pub(super) fn is_out_of_order(&self) -> bool {
        self.ignored_offset > self.record.offset
    }

    /// Whether a write is newer than the newest that is known.
    ///
    /// A different version decides, also when the record comes from an older copy to which
    /// the store went back; otherwise the position does. Within an era, versions of writers
    /// that state no incarnation don't count: such a writer may have started again and count
    /// from the beginning.
    fn is_older_than(&self, other: &TopicRecord, version: Option<RecordVersion>) -> bool {
        let is_same_era = self.record.era() == other.era();
        match (self.version(), version) {
            (Some(known), Some(new)) if is_same_era && (known.0 == 0 || new.0 == 0) => {}
            (Some(known), Some(new)) if known != new => return new > known,
            // A key that was deleted with this version does not come back with it from an
            // older copy.
            (Some(_), Some(_)) if !is_same_era && self.record.value.is_none() => return false,
            _ => {}
        }
        Some(other.offset) > self.written_offset
            && (is_same_era || other.offset > self.record.offset)
    }
}
