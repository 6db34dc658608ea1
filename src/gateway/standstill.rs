/// Time for which a process must have stood still for heartbeats that waited meanwhile to be too
/// old for the directory, in ms: with the longest time after which a silent entry counts as
/// failed (3.6 s), a dead entry is otherwise named for less than 7 s.
const MIN_STANDSTILL_MS: u64 = 3_000;

/// Time in which the datagrams that waited are read, in ms.
const DRAIN_MS: u64 = 300;

/// Time after which every entry that runs has sent a further heartbeat, in ms: the longest
/// interval of 1 s, and its way.
const HEARTBEAT_WAIT_MS: u64 = 1_200;

/// When this process last went on after it had stood still.
///
/// What it then reads from its socket may have been sent long ago, and shows no entry to be
/// alive.
#[derive(Debug, Default)]
pub struct Standstill {
    ran_ms: u64,
    resumed_ms: Option<u64>,
}

impl Standstill {
    /// Records that the process runs at `now_ms`. To be called at least once a second, and before
    /// anything that may have waited is used.
    pub fn record_run(&mut self, now_ms: u64) {
        if now_ms.saturating_sub(self.ran_ms) >= MIN_STANDSTILL_MS {
            self.resumed_ms = Some(now_ms);
        }
        self.ran_ms = now_ms;
    }

    /// Time from which on received heartbeats show that an entry is alive, in ms.
    pub fn heartbeats_count_from_ms(&self) -> u64 {
        self.resumed_ms
            .map_or(0, |resumed_ms| resumed_ms + DRAIN_MS)
    }

    /// Time until the entries that run have shown that, in ms.
    pub fn wait_ms(&self, now_ms: u64) -> u64 {
        self.resumed_ms.map_or(0, |resumed_ms| {
            (resumed_ms + DRAIN_MS + HEARTBEAT_WAIT_MS).saturating_sub(now_ms)
        })
    }
}
