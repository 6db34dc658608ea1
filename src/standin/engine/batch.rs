use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;

use tokio::sync::oneshot;

/// The decode slots of an engine and the requests that wait for one.
#[derive(Debug)]
pub(super) struct Batch {
    slots: u32,
    state: Mutex<BatchState>,
}

#[derive(Debug, Default)]
struct BatchState {
    running: u32,
    arrivals: u64,
    /// Sorted, next to run last.
    waiting: Vec<Waiter>,
}

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

    /// Asks for a slot, which arrives by the receiver.
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

    pub(super) fn running(&self) -> u32 {
        self.lock().running
    }

    pub(super) fn queued(&self) -> u32 {
        self.lock().waiting.len() as u32
    }

    pub(super) fn slots(&self) -> u32 {
        self.slots
    }

    fn grant_free_slots(self: &Arc<Self>) {
        while let Some(waiter) = self.pop_next_waiter() {
            // A refused grant comes back and frees its slot when dropped.
            let _ = waiter.grant.send(Slot(self.clone()));
        }
    }

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

/// A decode slot, freed when dropped.
#[derive(Debug)]
pub(super) struct Slot(Arc<Batch>);

impl Drop for Slot {
    fn drop(&mut self) {
        self.0.lock().running -= 1;
        self.0.grant_free_slots();
    }
}
