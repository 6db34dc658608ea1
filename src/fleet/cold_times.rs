/// Times by which a replica is cold, and of the last send of this process to it.
#[derive(Debug, Clone)]
pub struct ColdTimes {
    // Time at which it last came into use; None if it has been in use all the while.
    returned_ms: Option<u64>,
    // Time at which it last became cold.
    since_ms: u64,
    // Time up to which its record says that it is cold.
    stated_until_ms: u64,
    last_sent_ms: Option<u64>,
}

impl ColdTimes {
    /// Times of a replica that comes into use, and whose record says that it stays cold for
    /// `remaining_ms`.
    pub fn new(remaining_ms: u64, now_ms: u64) -> Self {
        Self {
            returned_ms: Some(now_ms),
            since_ms: now_ms,
            stated_until_ms: now_ms.saturating_add(remaining_ms),
            last_sent_ms: None,
        }
    }

    /// Keeps the last send to an earlier incarnation, or before its record was removed.
    pub fn keep_last_send(&mut self, earlier: &Self) {
        self.last_sent_ms = earlier.last_sent_ms;
    }

    /// Records that the replica comes into use again, and may have started anew.
    pub fn record_return(&mut self, now_ms: u64) {
        self.returned_ms = Some(now_ms);
        self.since_ms = now_ms;
    }

    /// Records that the replica was in use before this process knew it.
    pub fn record_earlier_use(&mut self) {
        self.returned_ms = None;
    }

    /// Records a record that says that the replica stays cold for `remaining_ms`.
    pub fn record_remaining(&mut self, remaining_ms: u64, now_ms: u64) {
        if remaining_ms > 0 && now_ms >= self.stated_until_ms {
            self.since_ms = now_ms;
        }
        self.stated_until_ms = now_ms.saturating_add(remaining_ms);
    }

    /// Records a send, whether the replica is cold or not.
    pub fn record_send(&mut self, now_ms: u64) {
        self.last_sent_ms = Some(now_ms);
    }

    /// Whether the replica is cold, if it is for `start_ms` after it comes into use.
    pub fn is_cold(&self, start_ms: u64, now_ms: u64) -> bool {
        let is_starting = |returned_ms: u64| now_ms < returned_ms.saturating_add(start_ms);
        now_ms < self.stated_until_ms || self.returned_ms.is_some_and(is_starting)
    }

    /// Time at which it last became cold, in ms.
    pub fn since_ms(&self) -> u64 {
        self.since_ms
    }

    /// Time of the last send to it, in ms.
    pub fn last_sent_ms(&self) -> Option<u64> {
        self.last_sent_ms
    }
}
