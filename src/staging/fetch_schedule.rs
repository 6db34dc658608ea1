/// When an endpoint process reads a topic from an entry.
///
/// All endpoint processes hear of news in the same moment; what they need at
/// once is in the beats, so each lets a random time pass before it asks, and
/// asks whoever has the news by then.
#[derive(Debug, Default)]
pub struct FetchSchedule {
    not_before_ms: Option<u64>,
    is_running: bool,
}

impl FetchSchedule {
    /// Whether a read starts now that an entry has news; it counts as started.
    ///
    /// The first news after a read is waited on for `wait_ms`.
    pub fn try_start(&mut self, now_ms: u64, wait_ms: u64) -> bool {
        if self.is_running {
            return false;
        }
        if now_ms < *self.not_before_ms.get_or_insert(now_ms + wait_ms) {
            return false;
        }
        self.is_running = true;
        true
    }

    /// Notes that the read has ended.
    pub fn finish(&mut self) {
        *self = Self::default();
    }
}
