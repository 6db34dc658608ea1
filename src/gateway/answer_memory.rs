use std::cell::Cell;
use std::rc::Rc;

use crate::http1::BodyLimit;
use crate::http1::FREE_ANSWER_BYTES;
use crate::http1::Http1Error;
use crate::http1::MemoryBudget;
use crate::http1::ReceiveRoom;
use crate::http1::RoomUse;

/// Bytes of all answers together that are held beyond their free bytes where the settings state
/// no memory: a quarter of the memory of an entry's host, as a buffer that grows may be twice as
/// large as its content.
const MAX_HELD_BYTES: usize = 64 * 1024 * 1024;

/// Memory of a process for answers of replicas that it can't pass on yet: plain answers
/// until they are complete, and events of streams.
#[derive(Debug, Clone)]
pub struct AnswerMemory {
    budget: MemoryBudget,
    held_bytes: Rc<Cell<usize>>,
}

impl AnswerMemory {
    /// Memory that is taken from `budget`.
    pub fn new(budget: MemoryBudget) -> Self {
        Self {
            budget,
            held_bytes: Rc::default(),
        }
    }

    /// Budget from which it is taken.
    pub fn budget(&self) -> &MemoryBudget {
        &self.budget
    }

    /// Bytes held now, without the free bytes of each answer.
    pub fn held_bytes(&self) -> usize {
        self.held_bytes.get()
    }

    /// Room for one answer of at most `max_bytes`, which is empty at first.
    pub fn hold_answer(&self, max_bytes: usize) -> HeldAnswer {
        HeldAnswer {
            memory: self.clone(),
            counted_bytes: 0,
            max_bytes,
        }
    }
}

/// Room that one answer takes; dropping it returns the room.
#[derive(Debug)]
pub struct HeldAnswer {
    memory: AnswerMemory,
    counted_bytes: usize,
    max_bytes: usize,
}

impl HeldAnswer {
    /// Size of the receive buffer of the connection on which the answer arrives, in bytes.
    pub fn receive_buffer_bytes(&self) -> u32 {
        self.memory.budget.receive_buffer_bytes()
    }
}

impl BodyLimit for HeldAnswer {
    fn admit(&mut self, bytes: usize) -> Result<(), Http1Error> {
        if bytes > self.max_bytes {
            return Err(Http1Error::BodyTooLarge);
        }
        let counted_bytes = bytes.saturating_sub(FREE_ANSWER_BYTES);
        let others_bytes = self.memory.held_bytes.get() - self.counted_bytes;
        let is_over = others_bytes + counted_bytes > MAX_HELD_BYTES;
        if counted_bytes > self.counted_bytes && is_over && !self.memory.budget.is_limited() {
            return Err(Http1Error::NoMemory);
        }
        let budget = &self.memory.budget;
        budget.change(self.counted_bytes, counted_bytes, RoomUse::Answer)?;
        self.memory.held_bytes.set(others_bytes + counted_bytes);
        self.counted_bytes = counted_bytes;
        Ok(())
    }

    fn take_receive_room(&self) -> Option<ReceiveRoom> {
        self.memory.budget.take_receive_room()
    }
}

impl Drop for HeldAnswer {
    fn drop(&mut self) {
        let held_bytes = self.memory.held_bytes.get() - self.counted_bytes;
        self.memory.held_bytes.set(held_bytes);
        self.memory.budget.release(self.counted_bytes);
    }
}
