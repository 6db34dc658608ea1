use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;

use tokio::sync::oneshot;

/// The decode slots of an engine and the requests that wait for one.
#[derive(Debug)]
pub(super) struct Batch {
    slots: u32,
    inner: Mutex<Inner>,
}

#[derive(Debug, Default)]
struct Inner {
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
            inner: Mutex::default(),
        })
    }

    /// Asks for a slot, which arrives by the receiver.
    pub(super) fn ask(self: &Arc<Self>, priority: u8) -> oneshot::Receiver<Slot> {
        let (grant, granted) = oneshot::channel();
        let mut inner = self.lock();
        inner.arrivals += 1;
        let arrival = inner.arrivals;
        let before = |other: &Waiter| (other.priority, u64::MAX - other.arrival);
        let rank = (priority, u64::MAX - arrival);
        let at = inner.waiting.partition_point(|other| before(other) < rank);
        let waiter = Waiter {
            priority,
            arrival,
            grant,
        };
        inner.waiting.insert(at, waiter);
        drop(inner);
        self.fill();
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

    fn fill(self: &Arc<Self>) {
        while let Some(waiter) = self.take_next() {
            // A refused grant comes back and frees its slot when dropped.
            let _ = waiter.grant.send(Slot(self.clone()));
        }
    }

    fn take_next(&self) -> Option<Waiter> {
        let mut inner = self.lock();
        inner.waiting.retain(|waiter| !waiter.grant.is_closed());
        if inner.running == self.slots {
            return None;
        }
        let waiter = inner.waiting.pop()?;
        inner.running += 1;
        Some(waiter)
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().expect("no holder of the lock panics")
    }
}

/// A decode slot, freed when dropped.
#[derive(Debug)]
pub(super) struct Slot(Arc<Batch>);

impl Drop for Slot {
    fn drop(&mut self) {
        self.0.lock().running -= 1;
        self.0.fill();
    }
}
