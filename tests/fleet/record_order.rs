//! A writer's own order takes precedence over the order in the log: the store may carry out a
//! write seconds late, after newer ones of the same writer.

use arbtest::arbitrary;
use arbtest::arbitrary::Unstructured;

use bergamotfork::fleet::RecordVersion;
use bergamotfork::fleet::TopicRecord;
use bergamotfork::fleet::TopicTable;

/// Key of the replica that the model follows.
const KEY: &str = "i-1";

/// A record whose value is its version, `BORN.SEQUENCE`.
fn record(offset: u64, version: Option<RecordVersion>) -> TopicRecord {
    TopicRecord {
        key: KEY.to_owned(),
        offset,
        value: version.map(|(born, sequence)| format!("{born}.{sequence}").into_bytes()),
    }
}

/// Version that a record's value states.
fn version_of(record: &TopicRecord) -> Option<RecordVersion> {
    let text = std::str::from_utf8(record.value.as_deref()?).ok()?;
    let (born, sequence) = text.split_once('.')?;
    Some((born.parse().ok()?, sequence.parse().ok()?))
}

/// Version that a table holds under [`KEY`].
fn held_version(table: &TopicTable) -> Option<RecordVersion> {
    table.get(KEY).and_then(version_of)
}

/// Table that has applied these records in this order.
fn table_of(records: &[TopicRecord]) -> TopicTable {
    let mut table = TopicTable::default();
    for record in records {
        table.apply_record(record.clone(), version_of);
        table.advance_end_offset(record.offset + 1);
    }
    table
}

/// A heartbeat that is carried out after a later one brought a leaving replica back into use.
#[test]
fn apply_record_late_write_changes_nothing() {
    let mut table = table_of(&[record(4, Some((9, 7)))]);
    assert!(!table.apply_record(record(5, Some((9, 6))), version_of));
    assert_eq!(held_version(&table), Some((9, 7)));
    // The store's newest record is an older one, so a process that starts has to be told.
    assert!(table.has_kept_records());
    assert!(table.apply_record(record(6, Some((9, 8))), version_of));
    assert!(!table.has_kept_records());
}

/// Guards against a replica whose records no longer count, as another writer has stated a later
/// start under its id before it was known that the record names no replica to use.
#[test]
fn restate_versions_version_of_other_writer_dropped() {
    let mut table = table_of(&[record(4, Some((9, 7))), record(5, Some((12, 1)))]);
    let is_other = |record: &TopicRecord| version_of(record) == Some((12, 1));
    let version_of = |record: &_| version_of(record).filter(|_| !is_other(record));
    assert!(!table.apply_record(record(6, Some((9, 8))), version_of));
    table.restate_versions(version_of);
    assert!(!table.apply_record(record(7, Some((9, 6))), version_of));
    assert!(table.apply_record(record(8, Some((9, 8))), version_of));
    assert_eq!(held_version(&table), Some((9, 8)));
}

#[test]
fn apply_record_restart_counts_anew() {
    let mut table = table_of(&[record(4, Some((9, 7)))]);
    assert!(table.apply_record(record(5, Some((10, 1))), version_of));
    assert!(!table.apply_record(record(6, Some((9, 8))), version_of));
    assert_eq!(held_version(&table), Some((10, 1)));
}

/// Without the time of the start, a restart can't be told from a late write, and a replica
/// that has restarted must not stay out of use.
#[test]
fn apply_record_unknown_incarnation_offset_decides() {
    let mut table = table_of(&[record(4, Some((0, 7)))]);
    assert!(table.apply_record(record(5, Some((0, 1))), version_of));
    assert!(table.apply_record(record(6, Some((9, 1))), version_of));
    assert!(table.apply_record(record(7, Some((0, 2))), version_of));
}

/// A late write brought a removed replica back.
#[test]
fn apply_record_removed_stays_removed() {
    let mut table = table_of(&[record(4, Some((9, 7))), record(5, None)]);
    assert!(!table.apply_record(record(6, Some((9, 6))), version_of));
    table.apply_record(record(7, None), version_of);
    assert!(!table.apply_record(record(8, Some((9, 5))), version_of));
    assert_eq!(table.live_records().count(), 0);
    // A replica whose record has expired comes back with the same number or a higher one.
    assert!(table.apply_record(record(9, Some((9, 7))), version_of));
    assert_eq!(held_version(&table), Some((9, 7)));
}

/// A removal is known before the write that it removed.
#[test]
fn apply_record_removed_before_known() {
    let mut table = table_of(&[record(4, Some((9, 6))), record(6, None)]);
    assert!(!table.apply_record(record(5, Some((9, 7))), version_of));
    assert_eq!(table.live_records().count(), 0);
    assert!(!table.apply_record(record(7, Some((9, 6))), version_of));
}

/// A record that can't be decoded states no version; the ones before it still count.
#[test]
fn apply_record_undecodable_keeps_order() {
    let mut undecodable = record(5, Some((9, 8)));
    undecodable.value = Some(b"{".to_vec());
    let mut table = table_of(&[record(4, Some((9, 7))), undecodable]);
    assert!(!table.apply_record(record(6, Some((9, 6))), version_of));
    assert!(table.apply_record(record(7, Some((9, 8))), version_of));
}

/// A peer that is behind listed a replica that had been removed before the own listing.
#[test]
fn apply_listing_behind_own_brings_nothing_back() {
    let mut table = TopicTable::default();
    table.apply_listing(Vec::new(), 20, false, version_of);
    let changes = table.apply_listing(vec![record(8, Some((9, 7)))], 12, false, version_of);
    assert_eq!(changes.changed, Vec::<String>::new());
    assert_eq!(table.live_records().count(), 0);
    // A listing of the same age or a newer one counts.
    table.apply_listing(vec![record(8, Some((9, 7)))], 20, false, version_of);
    assert_eq!(table.live_records().count(), 1);
}

/// A write of the model, at its place in the log.
type Write = Option<RecordVersion>;

/// The store's log, the replica that writes to it, and entries that read it and each other.
struct Model {
    log: Vec<Write>,
    version: RecordVersion,
    // Writes that were not answered, with the times at which they are carried out.
    late: Vec<(u64, RecordVersion)>,
    now_ms: u64,
    entries: Vec<TopicTable>,
}

impl Model {
    /// What a reader of the whole log holds: the newest write by the writer's order, unless it
    /// was removed after it.
    fn expected(&self) -> Option<RecordVersion> {
        let log = self.log.iter().enumerate();
        let removed = log.clone().filter(|(_, write)| write.is_none());
        let removed_at = removed.map(|(at, _)| at).max();
        let writes = log.filter_map(|(at, write)| Some(((*write)?, at)));
        let (version, at) = writes.max()?;
        (Some(at) > removed_at).then_some(version)
    }

    /// An entry reads the records that it lacks.
    fn follow(&mut self, entry: usize) {
        let table = &mut self.entries[entry];
        for at in table.end_offset()..self.log.len() as u64 {
            table.apply_record(record(at, self.log[at as usize]), version_of);
        }
        table.advance_end_offset(self.log.len() as u64);
    }

    /// An entry lists the store.
    fn list(&mut self, entry: usize) {
        let end_offset = self.log.len() as u64;
        let newest = self.log.last().copied().flatten();
        let newest = newest.map(|version| record(end_offset - 1, Some(version)));
        let listing = newest.into_iter().collect();
        self.entries[entry].apply_listing(listing, end_offset, false, version_of);
    }

    /// An entry lists another one, which may be behind.
    fn gossip(&mut self, from: usize, to: usize) {
        let records: Vec<TopicRecord> = self.entries[from].live_records().cloned().collect();
        let end_offset = self.entries[from].end_offset();
        if from != to {
            self.entries[to].apply_listing(records, end_offset, false, version_of);
        }
    }

    /// Some time passes, and writes are carried out that are due.
    fn pass(&mut self, time_ms: u64) {
        self.now_ms += time_ms;
        let now_ms = self.now_ms;
        let due = self.late.extract_if(.., |(due_ms, _)| *due_ms <= now_ms);
        self.log.extend(due.map(|(_, version)| Some(version)));
    }

    /// One random step.
    fn step(&mut self, random: &mut Unstructured<'_>) -> arbitrary::Result<()> {
        let count = self.entries.len();
        let entry = random.choose_index(count)?;
        match random.int_in_range(0..=11)? {
            0 | 1 => {
                self.version.1 += 1;
                self.log.push(Some(self.version));
            }
            2 | 3 => {
                self.version.1 += 1;
                let late_ms = random.int_in_range(1_000..=6_000)?;
                self.late.push((self.now_ms + late_ms, self.version));
            }
            // A write that was answered late is also carried out twice.
            4 => self.late.push((self.now_ms + 1_000, self.version)),
            5 => self.version = (self.version.0 + 1, 1),
            6 => self.log.push(None),
            7 => self.list(entry),
            8 => {
                let from = random.choose_index(count)?;
                self.gossip(from, entry);
            }
            9 => self.follow(entry),
            _ => self.pass(random.int_in_range(200..=2_000)?),
        }
        Ok(())
    }
}

/// Whatever is written late, removed, listed and passed on: no entry goes back to an older
/// version, and one that has read the whole log holds the newest one that was not removed.
#[test]
fn topic_table_late_writes_model() {
    arbtest::arbtest(|random| {
        let mut model = Model {
            log: Vec::new(),
            version: (1, 0),
            late: Vec::new(),
            now_ms: 0,
            entries: (0..3).map(|_| TopicTable::default()).collect(),
        };
        let mut reader = TopicTable::default();
        let mut newest = vec![None; model.entries.len()];
        for _ in 0..random.int_in_range(1..=80)? {
            model.step(random)?;
            for (entry, table) in model.entries.iter().enumerate() {
                let held = held_version(table);
                assert!(held.is_none() || held >= newest[entry], "entry {entry}");
                newest[entry] = newest[entry].max(held);
            }
            std::mem::swap(&mut reader, &mut model.entries[0]);
            model.follow(0);
            std::mem::swap(&mut reader, &mut model.entries[0]);
            assert_eq!(held_version(&reader), model.expected());
        }
        model.pass(6_000);
        model.version.1 += 1;
        model.log.push(Some(model.version));
        for entry in 0..model.entries.len() {
            model.list(entry);
            assert_eq!(held_version(&model.entries[entry]), Some(model.version));
            assert!(!model.entries[entry].has_kept_records());
        }
        Ok(())
    });
}
