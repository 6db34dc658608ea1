//! One budget for what a process holds on behalf of others: heads and bodies that arrive,
//! requests that are under way, and answers that their readers have not taken yet.
//!
//! Load: many peers that send large messages, or stop in the middle of them. Room is taken
//! before the bytes are read. Large requests can't take the last quarter of the budget, and
//! answers not the last eighth, so that small requests always have a share of their own. Where
//! there is no room, messages that have stopped growing are closed, the longest silent first;
//! a request that has arrived whole is never closed for another one.

use std::cell::Cell;
use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

use tokio::time::Instant;

use crate::http1::Http1Error;
use crate::http1::arriving_request::ArrivingRequest;
use crate::http1::listener_load::ListenerLoad;
use crate::http1::receive_buffer::RECEIVE_BUFFER_BYTES;

/// Memory that a process needs for itself: its code, tables, buffered log lines and pieces of
/// weights. On a small host it is a third of the memory.
const OWN_BYTES: usize = 32 * 1024 * 1024;

/// Share of the rest that is given out, in fifths: an allocator keeps freed memory between
/// blocks that are in use.
const GIVEN_FIFTHS: usize = 4;

/// Share that the connections of clients may take at most of what is left beside the process and
/// its other listeners, in fifths.
const CONNECTION_FIFTHS: usize = 3;

/// Time without growth from which a message is closed for another one.
const STALL_TIME: Duration = Duration::from_secs(1);

/// What room is taken for. The order is that of the shares.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RoomUse {
    /// A larger receive buffer, which speeds up a message that would arrive without it.
    ReceiveBuffer,
    /// A request with a large body.
    LargeRequest,
    /// An answer.
    Answer,
    /// A request without a large body.
    SmallRequest,
}

impl RoomUse {
    /// Eighths of the budget that may be in use once room is taken for it.
    fn eighths(self) -> usize {
        match self {
            Self::ReceiveBuffer => 4,
            Self::LargeRequest => 6,
            Self::Answer => 7,
            Self::SmallRequest => 8,
        }
    }
}

/// Budget of a process; clones share it.
#[derive(Debug, Clone)]
pub struct MemoryBudget {
    shared: Rc<SharedBudget>,
}

#[derive(Debug)]
struct SharedBudget {
    // None without a limit.
    memory_bytes: Option<usize>,
    // What is given out of it, None without a limit.
    max_bytes: Cell<Option<usize>>,
    receive_buffer_bytes: u32,
    held_bytes: Cell<usize>,
    arriving: RefCell<Vec<Rc<ArrivingRequest>>>,
}

impl MemoryBudget {
    /// Budget of a process that may take `memory_bytes`, None without a limit, and has these
    /// listeners.
    pub fn of_process(memory_bytes: Option<usize>, listeners: &[ListenerLoad]) -> Self {
        let buffer_sizes = listeners.iter().map(|load| load.receive_buffer_bytes);
        let shared = SharedBudget {
            memory_bytes,
            max_bytes: Cell::default(),
            receive_buffer_bytes: buffer_sizes.max().unwrap_or(RECEIVE_BUFFER_BYTES),
            held_bytes: Cell::default(),
            arriving: RefCell::default(),
        };
        let budget = Self {
            shared: Rc::new(shared),
        };
        budget.set_listeners(listeners);
        budget
    }

    /// Sets what the listeners of the process take at most.
    pub fn set_listeners(&self, listeners: &[ListenerLoad]) {
        let max_bytes = self.shared.memory_bytes.map(|memory_bytes| {
            let rest = rest_bytes(memory_bytes, listeners);
            // However little memory there is, some requests are served.
            (rest / 5 * GIVEN_FIFTHS).max(memory_bytes / 8)
        });
        self.shared.max_bytes.set(max_bytes);
    }

    /// Largest number of connections of a listener with receive buffers of this size for which
    /// a process with `memory_bytes` and the listeners `others` has memory: the rest is left for
    /// messages.
    pub fn affordable_connections(
        memory_bytes: usize,
        receive_buffer_bytes: u32,
        others: &[ListenerLoad],
    ) -> usize {
        let share_bytes = rest_bytes(memory_bytes, others) / 5 * CONNECTION_FIFTHS;
        ListenerLoad::connections_within(share_bytes, receive_buffer_bytes)
    }

    /// Size of the receive buffer of a connection of clients, in bytes.
    pub fn receive_buffer_bytes(&self) -> u32 {
        self.shared.receive_buffer_bytes
    }

    /// Takes room if there is any without closing requests; returns whether there was.
    pub(super) fn try_take(&self, bytes: usize, room_use: RoomUse) -> bool {
        let has_room = self.has_room(bytes, room_use);
        if has_room {
            let held_bytes = self.shared.held_bytes.get() + bytes;
            self.shared.held_bytes.set(held_bytes);
        }
        has_room
    }

    /// Whether there is a limit.
    pub fn is_limited(&self) -> bool {
        self.shared.memory_bytes.is_some()
    }

    /// Bytes held now.
    pub fn held_bytes(&self) -> usize {
        self.shared.held_bytes.get()
    }

    /// Adds a request that begins to arrive.
    pub(super) fn begin_arrival(&self) -> Rc<ArrivingRequest> {
        let request = Rc::new(ArrivingRequest::new(Instant::now()));
        self.shared.arriving.borrow_mut().push(request.clone());
        request
    }

    /// Ends the arrival of a request, whether it has arrived whole or not.
    pub(super) fn end_arrival(&self, request: &Rc<ArrivingRequest>) {
        let mut arriving = self.shared.arriving.borrow_mut();
        arriving.retain(|other| !Rc::ptr_eq(other, request));
    }

    /// Changes room of `from` bytes to `to` bytes; closes requests that have stopped growing if
    /// that is needed.
    ///
    /// # Errors
    ///
    /// [`Http1Error::NoMemory`] when there is no room; then `from` bytes stay taken.
    pub fn change(&self, from: usize, to: usize, room_use: RoomUse) -> Result<(), Http1Error> {
        if to > from && !self.has_room(to - from, room_use) {
            self.close_stalled(to - from, room_use);
            if !self.has_room(to - from, room_use) {
                return Err(Http1Error::NoMemory);
            }
        }
        let held_bytes = self.shared.held_bytes.get() - from + to;
        self.shared.held_bytes.set(held_bytes);
        Ok(())
    }

    /// Returns room of `bytes`.
    pub fn release(&self, bytes: usize) {
        let held_bytes = self.shared.held_bytes.get() - bytes;
        self.shared.held_bytes.set(held_bytes);
    }

    fn has_room(&self, bytes: usize, room_use: RoomUse) -> bool {
        self.shared.max_bytes.get().is_none_or(|max_bytes| {
            let limit = max_bytes / 8 * room_use.eighths();
            self.shared.held_bytes.get().saturating_add(bytes) <= limit
        })
    }

    /// Closes requests that have stopped growing until there is room, the longest silent first.
    fn close_stalled(&self, bytes: usize, room_use: RoomUse) {
        let arriving = self.shared.arriving.borrow();
        let now = Instant::now();
        let mut stalled: Vec<&Rc<ArrivingRequest>> = arriving
            .iter()
            .filter(|request| request.silence(now) >= STALL_TIME && request.counted_bytes() > 0)
            .collect();
        stalled.sort_unstable_by_key(|request| std::cmp::Reverse(request.silence(now)));
        for request in stalled {
            if self.has_room(bytes, room_use) {
                return;
            }
            self.release(request.close());
        }
    }
}

/// Memory that a process with `memory_bytes` has left beside what it needs for itself and what
/// its listeners take at most.
fn rest_bytes(memory_bytes: usize, listeners: &[ListenerLoad]) -> usize {
    let taken = listeners.iter().map(ListenerLoad::most_bytes);
    let own_bytes = OWN_BYTES.min(memory_bytes / 3);
    let taken_bytes = taken.fold(own_bytes, usize::saturating_add);
    memory_bytes.saturating_sub(taken_bytes)
}
