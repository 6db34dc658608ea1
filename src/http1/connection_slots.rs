//! Bounds the connections of a listener, so that peers which send nothing can't take all
//! descriptors of a process.
//!
//! Load: more connections than the limit. For a new connection the one is closed that has been
//! without a request for the longest time, else the one whose request has been arriving for the
//! longest time. A connection whose request is being handled is never closed for another one.

use std::cell::Cell;
use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

use tokio::sync::Notify;
use tokio::time::Instant;

/// What a connection is doing. The order is that in which connections are closed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum ConnectionStage {
    /// No byte of a request has arrived.
    Idle,
    /// A request is arriving.
    Reading,
    /// A request is being handled or answered.
    Handling,
}

/// Open connections of a listener.
#[derive(Debug, Default)]
pub struct ConnectionSlots {
    open: RefCell<Vec<Rc<SlotState>>>,
    freed: Notify,
}

#[derive(Debug)]
struct SlotState {
    stage: Cell<ConnectionStage>,
    since: Cell<Instant>,
    close_notice: Notify,
}

impl ConnectionSlots {
    /// Number of open connections.
    pub fn count(&self) -> usize {
        self.open.borrow().len()
    }

    /// Adds a connection on which nothing has arrived.
    pub fn add(self: &Rc<Self>) -> ConnectionSlot {
        let state = Rc::new(SlotState {
            stage: Cell::new(ConnectionStage::Idle),
            since: Cell::new(Instant::now()),
            close_notice: Notify::new(),
        });
        self.open.borrow_mut().push(state.clone());
        ConnectionSlot {
            slots: self.clone(),
            state,
        }
    }

    /// Waits until fewer than `max` connections are open; closes others if that is needed.
    pub async fn make_room(&self, max: usize) {
        while self.count() >= max {
            if self.close_one(ConnectionStage::Reading, Duration::ZERO) {
                // The connection ends when its task runs.
                tokio::task::yield_now().await;
            } else {
                self.freed.notified().await;
            }
        }
    }

    /// Closes the connection that has been longest in the first stage up to `last` that has
    /// any, if it has been there for `min_time`; returns whether there was one.
    pub fn close_one(&self, last: ConnectionStage, min_time: Duration) -> bool {
        let mut open = self.open.borrow_mut();
        let chosen = open
            .iter()
            .enumerate()
            .filter(|(_, slot)| slot.stage.get() <= last && slot.since.get().elapsed() >= min_time)
            .min_by_key(|(_, slot)| (slot.stage.get(), slot.since.get()))
            .map(|(at, _)| at);
        let Some(at) = chosen else {
            return false;
        };
        open.remove(at).close_notice.notify_one();
        true
    }
}

/// One open connection; dropping it makes room.
#[derive(Debug)]
pub struct ConnectionSlot {
    slots: Rc<ConnectionSlots>,
    state: Rc<SlotState>,
}

impl ConnectionSlot {
    /// Records what the connection is doing now.
    pub fn enter(&self, stage: ConnectionStage) {
        self.state.stage.set(stage);
        self.state.since.set(Instant::now());
    }

    /// Waits until the connection is closed for another one.
    pub async fn closed(&self) {
        self.state.close_notice.notified().await;
    }
}

impl Drop for ConnectionSlot {
    fn drop(&mut self) {
        let mut open = self.slots.open.borrow_mut();
        open.retain(|other| !Rc::ptr_eq(other, &self.state));
        self.slots.freed.notify_one();
    }
}
