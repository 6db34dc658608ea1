use std::rc::Rc;

use crate::http1::BodyLimit;
use crate::http1::Http1Error;
use crate::http1::arriving_request::ArrivingRequest;
use crate::http1::memory_budget::MemoryBudget;
use crate::http1::memory_budget::RoomUse;

/// Largest body of a request that may take the room reserved for small ones, in bytes.
const MAX_SMALL_BODY_BYTES: usize = 16 * 1024;

/// Bytes in which the room of a body without an announced length grows.
const GROWTH_BYTES: usize = 16 * 1024;

/// Free space of the buffer into which a head is read, in bytes.
const HEAD_BUFFER_BYTES: usize = 16 * 1024;

/// Room that one request takes, from its head to its end; dropping it returns the room.
#[derive(Debug)]
pub struct HeldRequest {
    budget: MemoryBudget,
    request: Rc<ArrivingRequest>,
    head_bytes: usize,
    body_bytes: usize,
    announced_bytes: usize,
    max_body_bytes: usize,
}

impl HeldRequest {
    /// Room for a request that begins to arrive, which is empty at first.
    pub fn new(budget: &MemoryBudget) -> Self {
        Self {
            budget: budget.clone(),
            request: budget.begin_arrival(),
            head_bytes: 0,
            body_bytes: 0,
            announced_bytes: 0,
            max_body_bytes: 0,
        }
    }

    /// The request while it arrives, to wait until it is closed for another one.
    pub fn arriving(&self) -> Rc<ArrivingRequest> {
        self.request.clone()
    }

    /// Takes room for a head of which `bytes` have arrived.
    ///
    /// # Errors
    ///
    /// [`Http1Error::NoMemory`].
    pub fn admit_head(&mut self, bytes: usize) -> Result<(), Http1Error> {
        self.request.record_arrived(bytes);
        self.head_bytes = bytes + HEAD_BUFFER_BYTES;
        self.count()
    }

    /// Takes room for a complete head of `bytes`: its lines are held twice, as what arrived and
    /// encoded for a replica.
    ///
    /// # Errors
    ///
    /// [`Http1Error::NoMemory`].
    pub fn end_head(&mut self, bytes: usize) -> Result<(), Http1Error> {
        self.head_bytes = 2 * bytes;
        self.count()
    }

    /// Takes room for the body: all of it where its length is announced.
    ///
    /// # Errors
    ///
    /// [`Http1Error::BodyTooLarge`] or [`Http1Error::NoMemory`].
    pub fn begin_body(
        &mut self,
        announced_bytes: Option<u64>,
        max_body_bytes: usize,
    ) -> Result<(), Http1Error> {
        self.max_body_bytes = max_body_bytes;
        let announced_bytes = announced_bytes.unwrap_or_default();
        match usize::try_from(announced_bytes) {
            Ok(bytes) if bytes <= max_body_bytes => self.announced_bytes = bytes,
            Ok(_) | Err(_) => return Err(Http1Error::BodyTooLarge),
        }
        self.body_bytes = self.announced_bytes;
        self.count()
    }

    /// Records that the request has arrived whole: it is not closed for another one any more.
    pub fn finish(&mut self) {
        self.budget.end_arrival(&self.request);
    }

    /// Adapts the room to what the request takes.
    fn count(&self) -> Result<(), Http1Error> {
        if self.request.is_closed() {
            return Err(Http1Error::NoMemory);
        }
        let room_use = if self.body_bytes <= MAX_SMALL_BODY_BYTES {
            RoomUse::SmallRequest
        } else {
            RoomUse::LargeRequest
        };
        let from = self.request.counted_bytes();
        let to = self.head_bytes + self.body_bytes;
        self.budget.change(from, to, room_use)?;
        self.request.set_counted_bytes(to);
        Ok(())
    }
}

impl BodyLimit for HeldRequest {
    fn admit(&mut self, bytes: usize) -> Result<(), Http1Error> {
        if bytes > self.max_body_bytes {
            return Err(Http1Error::BodyTooLarge);
        }
        self.request.record_arrived(self.head_bytes + bytes);
        if bytes > self.body_bytes {
            // The buffer of a body that grows has up to a quarter more space than content.
            self.body_bytes = (bytes + bytes / 4).next_multiple_of(GROWTH_BYTES);
        }
        self.count()
    }

    fn announced_bytes(&self) -> usize {
        self.announced_bytes
    }
}

impl Drop for HeldRequest {
    fn drop(&mut self) {
        self.budget.end_arrival(&self.request);
        self.budget.release(self.request.counted_bytes());
    }
}
