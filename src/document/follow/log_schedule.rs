/// Number of entries, by rank, that always read the log.
pub const PERMANENT_LOG_READERS: usize = 3;

/// Time without confirmation after which the next entry by rank reads the log too, in ms.
const TAKEOVER_DELAY_MS: u64 = 3_000;

/// Additional time for each further rank, in ms.
const TAKEOVER_STEP_MS: u64 = 1_000;

/// Divisor of the log's retention: rank 0 publishes a checkpoint after this part of it.
const CHECKPOINT_DIVISOR: u64 = 8;

/// Divisor of the log's retention: each further rank waits this part of it longer.
const CHECKPOINT_STEP_DIVISOR: u64 = 64;

/// Number of ranks that publish checkpoints; the last does so just before a quarter of
/// the retention.
const CHECKPOINT_RANKS: usize = 8;

/// Entry that may read the log, and its location.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LogReader<'a> {
    /// Name of the entry.
    pub name: &'a str,
    /// Region of the entry.
    pub region: &'a str,
    /// Failure domain within the region.
    pub domain: &'a str,
}

/// Returns the rank of the entry `name` among `entries`, alternating between failure
/// domains; the number of entries if it is not among them.
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

/// Sort key of an entry: its index within the failure domain, then its name.
fn rank_key<'a>(entry: &LogReader<'a>, entries: &[LogReader<'_>]) -> (usize, &'a str) {
    let index_in_domain = entries
        .iter()
        .filter(|other| (other.region, other.domain) == (entry.region, entry.domain))
        .filter(|other| other.name < entry.name)
        .count();
    (index_in_domain, entry.name)
}

/// Decides when an entry reads the log and publishes checkpoints.
#[derive(Debug, Clone, Copy)]
pub struct LogSchedule {
    /// Rank of the entry; see [`log_rank`].
    pub rank: usize,
    /// Time for which the log keeps a record, in ms.
    pub retention_ms: u64,
}

impl LogSchedule {
    /// Whether to read the log when the head was last confirmed `unconfirmed_ms` ago.
    pub fn reads_log(&self, unconfirmed_ms: u64) -> bool {
        let Some(steps) = self.rank.checked_sub(PERMANENT_LOG_READERS) else {
            return true;
        };
        unconfirmed_ms >= TAKEOVER_DELAY_MS + steps as u64 * TAKEOVER_STEP_MS
    }

    /// Whether to publish a checkpoint when the last one was observed `unobserved_ms` ago.
    pub fn publishes_checkpoint(&self, unobserved_ms: u64) -> bool {
        if self.rank >= CHECKPOINT_RANKS {
            return false;
        }
        let step_ms = self.retention_ms / CHECKPOINT_STEP_DIVISOR;
        unobserved_ms >= self.retention_ms / CHECKPOINT_DIVISOR + self.rank as u64 * step_ms
    }
}
