//! The store comes back from an older copy, and offsets are given out again.

use arbtest::arbitrary;
use arbtest::arbitrary::Unstructured;

use bergamotfork::fleet::LogPosition;
use bergamotfork::fleet::RecordVersion;
use bergamotfork::fleet::TopicRecord;
use bergamotfork::fleet::TopicTable;

/// Key of the record whose versions the model follows.
const KEY: &str = "config";

/// A record whose value is its version.
fn record(key: &str, era: u64, offset: u64, version: Option<u64>) -> TopicRecord {
    TopicRecord {
        key: key.to_owned(),
        offset: LogPosition { era, offset }.pack(),
        value: version.map(|version| version.to_string().into_bytes()),
    }
}

/// Version that a record's value states.
fn version_of(record: &TopicRecord) -> Option<RecordVersion> {
    let text = std::str::from_utf8(record.value.as_deref()?).ok()?;
    Some((0, text.parse().ok()?))
}

/// Version that a table holds under [`KEY`]; 0 without one.
fn held_version(table: &TopicTable) -> u64 {
    table
        .get(KEY)
        .and_then(version_of)
        .map_or(0, |version| version.1)
}

#[test]
fn log_position_packed_order() {
    let position = |era, offset| LogPosition { era, offset };
    let all = [
        position(0, 0),
        position(0, 9),
        position(1, 0),
        position(1, 8),
        position(2, 3),
    ];
    assert!(all.windows(2).all(|pair| pair[0].pack() < pair[1].pack()));
    assert!(all.iter().all(|at| LogPosition::unpack(at.pack()) == *at));
    // A process that names no era sends plain offsets.
    assert_eq!(LogPosition::unpack(7), position(0, 7));
}

#[test]
fn apply_listing_older_copy_keeps_newer_version() {
    let mut table = TopicTable::default();
    table.apply_record(record(KEY, 0, 40, Some(7)), version_of);
    let copy = vec![record(KEY, 1, 3, Some(5))];
    let end = LogPosition { era: 1, offset: 4 }.pack();
    let changes = table.apply_listing(copy, end, true, version_of);
    assert_eq!((changes.changed.len(), changes.kept), (0, 1));
    assert_eq!(held_version(&table), 7);
    assert!(table.has_kept_records());
    // Written again at a reused offset.
    assert!(table.apply_record(record(KEY, 1, 5, Some(7)), version_of));
    assert!(!table.has_kept_records());
    assert!(table.apply_record(record(KEY, 1, 6, Some(8)), version_of));
    assert_eq!(held_version(&table), 8);
}

#[test]
fn apply_listing_lost_key_kept_or_deleted() {
    let end = LogPosition { era: 1, offset: 0 }.pack();
    for keeps_lost_records in [true, false] {
        let mut table = TopicTable::default();
        table.apply_record(record("a", 0, 40, Some(7)), version_of);
        let changes = table.apply_listing(Vec::new(), end, keeps_lost_records, version_of);
        let is_live = table.live_records().count() == 1;
        assert_eq!(is_live, keeps_lost_records);
        assert_eq!(changes.changed.is_empty(), keeps_lost_records);
        // Its writer writes it again as it was.
        assert!(table.apply_record(record("a", 1, 2, Some(7)), version_of));
        assert_eq!(table.live_records().count(), 1);
    }
}

#[test]
fn apply_listing_deleted_key_not_resurrected() {
    let mut table = TopicTable::default();
    table.apply_record(record("a", 0, 4, Some(12)), version_of);
    table.apply_record(record("a", 0, 9, None), version_of);
    let end = LogPosition { era: 1, offset: 6 }.pack();
    let copy = vec![record("a", 1, 3, Some(11))];
    table.apply_listing(copy, end, false, version_of);
    assert_eq!(table.live_records().count(), 0);
    assert!(!table.apply_record(record("a", 1, 6, Some(12)), version_of));
    // A later version shows that its writer lives.
    assert!(table.apply_record(record("a", 1, 7, Some(13)), version_of));
    assert_eq!(table.live_records().count(), 1);
}

#[test]
fn apply_record_late_record_of_earlier_era_ignored() {
    let mut table = TopicTable::default();
    table.apply_record(record(KEY, 1, 2, Some(6)), version_of);
    assert!(!table.apply_record(record(KEY, 0, 90, Some(5)), version_of));
    assert_eq!(held_version(&table), 6);
    // What the store has lost meanwhile counts if it is newer.
    assert!(table.apply_record(record(KEY, 0, 95, Some(7)), version_of));
}

#[test]
fn apply_record_same_era_offset_decides() {
    let mut table = TopicTable::default();
    table.apply_record(record(KEY, 1, 2, Some(6)), version_of);
    assert!(table.apply_record(record(KEY, 1, 3, Some(4)), version_of));
    assert_eq!(held_version(&table), 4);
}

/// The store, the copy to which it may go back, and entries that list it and each other.
struct Model {
    era: u64,
    log: Vec<u64>,
    copy: Vec<u64>,
    written: u64,
    entries: Vec<TopicTable>,
}

impl Model {
    fn end_offset(&self) -> u64 {
        let offset = self.log.len() as u64;
        LogPosition {
            era: self.era,
            offset,
        }
        .pack()
    }

    /// An entry lists the store.
    fn list(&mut self, entry: usize) {
        let newest = self.log.iter().enumerate().next_back();
        let listing = newest.map(|(at, version)| record(KEY, self.era, at as u64, Some(*version)));
        let end_offset = self.end_offset();
        self.entries[entry].apply_listing(
            listing.into_iter().collect(),
            end_offset,
            true,
            version_of,
        );
    }

    /// An entry lists another one.
    fn gossip(&mut self, from: usize, to: usize) {
        let sender = &self.entries[from];
        let records: Vec<TopicRecord> = sender.live_records().cloned().collect();
        let end_offset = sender.end_offset();
        if from != to {
            self.entries[to].apply_listing(records, end_offset, true, version_of);
        }
    }

    /// One random step; returns the entry that was restarted, if any.
    fn step(&mut self, random: &mut Unstructured<'_>) -> arbitrary::Result<Option<usize>> {
        let count = self.entries.len();
        match random.int_in_range(0..=9)? {
            0 | 1 => {
                self.written += 1;
                self.log.push(self.written);
            }
            2 => self.copy = self.log.clone(),
            3 => {
                self.log = self.copy.clone();
                self.era += 1;
            }
            4 => {
                let entry = random.choose_index(count)?;
                self.entries[entry] = TopicTable::default();
                return Ok(Some(entry));
            }
            5..=7 => {
                let entry = random.choose_index(count)?;
                self.list(entry);
            }
            _ => {
                let (from, to) = (random.choose_index(count)?, random.choose_index(count)?);
                self.gossip(from, to);
            }
        }
        Ok(None)
    }
}

/// Whatever is written, lost, listed, passed on and restarted: no entry goes back to an
/// older version, and all agree once the operator has written the newest again.
#[test]
fn topic_table_rewinds_model() {
    arbtest::arbtest(|random| {
        let mut model = Model {
            era: 0,
            log: Vec::new(),
            copy: Vec::new(),
            written: 0,
            entries: (0..3).map(|_| TopicTable::default()).collect(),
        };
        for _ in 0..random.int_in_range(1..=60)? {
            let before: Vec<u64> = model.entries.iter().map(held_version).collect();
            let restarted = model.step(random)?;
            for (entry, table) in model.entries.iter().enumerate() {
                let is_older = held_version(table) < before[entry];
                assert!(!is_older || restarted == Some(entry), "entry {entry}");
            }
        }
        model.written += 1;
        model.log.push(model.written);
        for entry in 0..model.entries.len() {
            model.list(entry);
            assert_eq!(held_version(&model.entries[entry]), model.written);
            assert!(!model.entries[entry].has_kept_records());
        }
        Ok(())
    });
}
