/// Entries that always read the log.
pub const PERMANENT_LOG_READERS: usize = 3;

/// Time without confirmation after which the next entry reads the log too.
const TAKEOVER_DELAY_MS: u64 = 3_000;

/// Further time for each later rank.
const TAKEOVER_STEP_MS: u64 = 1_000;

/// A checkpoint is due after this fraction of the retention.
const CHECKPOINT_FRACTION: u64 = 8;

/// Further fraction of the retention for each later rank.
const CHECKPOINT_STEP_FRACTION: u64 = 64;

/// Ranks that may publish a checkpoint; the last is due at a quarter of the retention.
const CHECKPOINT_RANKS: usize = 8;

/// An entry that may read the log, and where it stands.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LogReader<'a> {
    /// Name of the entry.
    pub name: &'a str,
    /// Region it stands in.
    pub region: &'a str,
    /// Failure domain inside the region.
    pub domain: &'a str,
}

/// Rank of the entry `name` among `entries`, taking failure domains in turn.
pub fn log_rank(name: &str, entries: &[LogReader<'_>]) -> usize {
    let Some(own) = entries.iter().find(|entry| entry.name == name) else {
        return entries.len();
    };
    let own_key = rank_key(own, entries);
    entries
        .iter()
        .filter(|entry| rank_key(entry, entries) < own_key)
        .count()
}

/// Position inside the failure domain, then name.
fn rank_key<'a>(entry: &LogReader<'a>, entries: &[LogReader<'_>]) -> (usize, &'a str) {
    let before = entries
        .iter()
        .filter(|other| (other.region, other.domain) == (entry.region, entry.domain))
        .filter(|other| other.name < entry.name)
        .count();
    (before, entry.name)
}

/// What an entry of some rank does at the log.
#[derive(Debug, Clone, Copy)]
pub struct LogSchedule {
    /// Rank of the entry.
    pub rank: usize,
    /// How long the log keeps a record.
    pub retention_ms: u64,
}

impl LogSchedule {
    /// Whether to read the log, `unconfirmed_ms` after the head was last confirmed.
    pub fn reads_log(&self, unconfirmed_ms: u64) -> bool {
        let Some(later) = self.rank.checked_sub(PERMANENT_LOG_READERS) else {
            return true;
        };
        unconfirmed_ms >= TAKEOVER_DELAY_MS + later as u64 * TAKEOVER_STEP_MS
    }

    /// Whether to publish a checkpoint, `unobserved_ms` after the last one was seen.
    pub fn publishes_checkpoint(&self, unobserved_ms: u64) -> bool {
        if self.rank >= CHECKPOINT_RANKS {
            return false;
        }
        let step_ms = self.retention_ms / CHECKPOINT_STEP_FRACTION;
        unobserved_ms >= self.retention_ms / CHECKPOINT_FRACTION + self.rank as u64 * step_ms
    }
}
