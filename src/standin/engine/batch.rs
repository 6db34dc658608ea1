use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;

use tokio::sync::oneshot;

/// Fixed number of decode slots, granted by priority, highest first, then by arrival.
#[derive(Debug)]
pub(super) struct Batch {
    slots: u32,
    state: Mutex<BatchState>,
}

/// Granted slots and waiting requests, behind the lock of the batch.
#[derive(Debug, Default)]
struct BatchState {
    running: u32,
    /// Requests for a slot so far; numbers them in order of arrival.
    arrivals: u64,
    /// Sorted by rank; the request to be granted next is the last.
    waiting: Vec<Waiter>,
}

/// A request that waits for a slot.
#[derive(Debug)]
struct Waiter {
    priority: u8,
    arrival: u64,
    grant: oneshot::Sender<Slot>,
}

impl Batch {
    pub(super) fn new(slots: u32) -> Arc<Self> {
        Arc::new(Self {
            slots,
            state: Mutex::default(),
        })
    }

    /// Queues a request for a slot; the receiver resolves when the slot is granted.
    ///
    /// Dropping the receiver withdraws the request.
    pub(super) fn request_slot(self: &Arc<Self>, priority: u8) -> oneshot::Receiver<Slot> {
        let (grant, granted) = oneshot::channel();
        let mut state = self.lock();
        state.arrivals += 1;
        let arrival = state.arrivals;
        let rank_of = |other: &Waiter| (other.priority, u64::MAX - other.arrival);
        let rank = (priority, u64::MAX - arrival);
        let at = state.waiting.partition_point(|other| rank_of(other) < rank);
        let waiter = Waiter {
            priority,
            arrival,
            grant,
        };
        state.waiting.insert(at, waiter);
        drop(state);
        self.grant_free_slots();
        granted
    }

    /// Number of granted slots.
    pub(super) fn running(&self) -> u32 {
        self.lock().running
    }

    /// Number of requests that wait for a slot.
    pub(super) fn queued(&self) -> u32 {
        self.lock().waiting.len() as u32
    }

    /// Total number of slots.
    pub(super) fn slots(&self) -> u32 {
        self.slots
    }

    /// Grants free slots until none is left or nobody waits.
    fn grant_free_slots(self: &Arc<Self>) {
        while let Some(waiter) = self.pop_next_waiter() {
            // If the receiver was dropped, `send` returns the slot and dropping it frees it.
            let _ = waiter.grant.send(Slot(self.clone()));
        }
    }

    /// Removes the next waiter and counts it as running; `None` when no slot is free.
    fn pop_next_waiter(&self) -> Option<Waiter> {
        let mut state = self.lock();
        state.waiting.retain(|waiter| !waiter.grant.is_closed());
        if state.running == self.slots {
            return None;
        }
        let waiter = state.waiting.pop()?;
        state.running += 1;
        Some(waiter)
    }

    fn lock(&self) -> MutexGuard<'_, BatchState> {
        self.state.lock().expect("no holder of the lock panics")
    }
}

/// A granted decode slot; dropping it frees the slot.
#[derive(Debug)]
pub(super) struct Slot(Arc<Batch>);

impl Drop for Slot {
    fn drop(&mut self) {
        self.0.lock().running -= 1;
        self.0.grant_free_slots();
    }
}
