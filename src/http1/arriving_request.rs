use std::cell::Cell;
use std::time::Duration;

use tokio::sync::Notify;
use tokio::time::Instant;

/// Fewest bytes that count as growth: a peer that sends less within the time after which a
/// request counts as stalled is slower than any link that is in service.
const MIN_GROWTH_BYTES: usize = 1024;

/// Room of a request that has not arrived whole, and whether it still grows.
#[derive(Debug)]
pub struct ArrivingRequest {
    counted_bytes: Cell<usize>,
    grown_at: Cell<Instant>,
    grown_to_bytes: Cell<usize>,
    is_closed: Cell<bool>,
    close_notice: Notify,
}

impl ArrivingRequest {
    pub(super) fn new(now: Instant) -> Self {
        Self {
            counted_bytes: Cell::default(),
            grown_at: Cell::new(now),
            grown_to_bytes: Cell::default(),
            is_closed: Cell::default(),
            close_notice: Notify::new(),
        }
    }

    /// Time since it last grew.
    pub(super) fn silence(&self, now: Instant) -> Duration {
        now.duration_since(self.grown_at.get())
    }

    /// Bytes that it takes of the budget.
    pub(super) fn counted_bytes(&self) -> usize {
        self.counted_bytes.get()
    }

    pub(super) fn set_counted_bytes(&self, bytes: usize) {
        self.counted_bytes.set(bytes);
    }

    /// Records that `bytes` of it have arrived.
    pub(super) fn record_arrived(&self, bytes: usize) {
        if bytes >= self.grown_to_bytes.get() + MIN_GROWTH_BYTES {
            self.grown_to_bytes.set(bytes);
            self.grown_at.set(Instant::now());
        }
    }

    /// Closes it, and returns the bytes that it took of the budget.
    pub(super) fn close(&self) -> usize {
        self.is_closed.set(true);
        self.close_notice.notify_one();
        self.counted_bytes.replace(0)
    }

    pub(super) fn is_closed(&self) -> bool {
        self.is_closed.get()
    }

    /// Waits until it is closed for another request.
    pub async fn closed(&self) {
        self.close_notice.notified().await;
    }
}
