/// Time after its start for which an entry waits for the heartbeats of others that start
/// at the same moment, in ms: one heartbeat interval and the spread of their starts.
const DISCOVERY_MS: u64 = 400;

/// Time by which the entry of the second rank waits for the first, in ms: that of a
/// listing over a link of a few Mbit/s, and of the heartbeat that announces it.
const STAGGER_MS: u64 = 1_000;

/// Rank from which on all entries wait equally long.
const MAX_RANK: usize = 4;

/// Decides when an entry that lacks the listing of a topic reads it from the store.
///
/// After a restart of all hosts every entry lacks it. A listing can be large, and the
/// reads of all entries of a failure domain share a link with the requests of clients. So
/// the first by rank reads, and sends the records on to the others. Each further rank
/// waits twice as long as the one before: a read over a slow link would never end if the
/// others joined it one after the other.
#[derive(Debug, Clone, Copy)]
pub struct ListingTurn {
    since_ms: u64,
}

impl ListingTurn {
    /// Turn of an entry that has just started; times count from its start.
    pub fn at_start() -> Self {
        Self {
            since_ms: DISCOVERY_MS,
        }
    }

    /// Turn of an entry that may read again from `since_ms` on.
    pub fn since(since_ms: u64) -> Self {
        Self { since_ms }
    }

    /// Whether the entry of this rank reads the listing now; 0 is the first.
    pub fn has_come(self, rank: usize, now_ms: u64) -> bool {
        let stagger_ms = (STAGGER_MS << rank.min(MAX_RANK)) - STAGGER_MS;
        now_ms >= self.since_ms + stagger_ms
    }
}
