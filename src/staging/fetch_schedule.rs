/// Decides when an endpoint process fetches the records of a topic from an entry.
///
/// All endpoint processes learn of new records at the same moment. What they need
/// at once is part of the heartbeats, so each waits for a random time before it
/// fetches the records, from the first entry that then reports newer ones.
#[derive(Debug, Default)]
pub struct FetchSchedule {
    not_before_ms: Option<u64>,
    is_running: bool,
}

impl FetchSchedule {
    /// Returns whether to start a fetch now that an entry has newer records.
    ///
    /// The first call after a fetch sets the start to `delay_ms` from `now_ms`;
    /// later calls don't change it. After `true` the fetch counts as running until
    /// [`FetchSchedule::finish`].
    pub fn try_start(&mut self, now_ms: u64, delay_ms: u64) -> bool {
        if self.is_running {
            return false;
        }
        if now_ms < *self.not_before_ms.get_or_insert(now_ms + delay_ms) {
            return false;
        }
        self.is_running = true;
        true
    }

    /// Records that the running fetch has ended.
    pub fn finish(&mut self) {
        *self = Self::default();
    }
}
