use std::rc::Rc;

use crate::http1::BodyLimit;
use crate::http1::Http1Error;
use crate::http1::ReceiveRoom;
use crate::http1::arriving_request::ArrivingRequest;
use crate::http1::connection_end::MAX_READ_AHEAD_BYTES;
use crate::http1::memory_budget::MemoryBudget;
use crate::http1::memory_budget::RoomUse;
use crate::http1::receive_buffer::most_unread_bytes;

/// Largest body of a request that may take the room reserved for small ones, in bytes.
const MAX_SMALL_BODY_BYTES: usize = 16 * 1024;

/// Bytes in which the room of a body without an announced length grows.
const GROWTH_BYTES: usize = 16 * 1024;

/// Copies of a head that its request holds: as it arrived, the values decoded from it, and
/// encoded for a replica.
const HEAD_COPIES: usize = 3;

/// What is added to a head for a replica, in bytes.
const ADDED_HEAD_BYTES: usize = 1024;

/// First bytes of an answer, which are held without asking for room.
pub const FREE_ANSWER_BYTES: usize = 16 * 1024;

/// Room that one request takes, from its head to its end; dropping it returns the room.
#[derive(Debug)]
pub struct HeldRequest {
    budget: MemoryBudget,
    is_widened: bool,
    request: Rc<ArrivingRequest>,
    head_bytes: usize,
    body_bytes: usize,
    under_way_bytes: usize,
    announced_bytes: usize,
    max_body_bytes: usize,
}

impl HeldRequest {
    /// Room for a request that begins to arrive, which is empty at first.
    pub fn new(budget: &MemoryBudget) -> Self {
        Self {
            budget: budget.clone(),
            is_widened: false,
            request: budget.begin_arrival(),
            head_bytes: 0,
            body_bytes: 0,
            under_way_bytes: 0,
            announced_bytes: 0,
            max_body_bytes: 0,
        }
    }

    /// The same on a connection of a client, whose receive buffer is enlarged for a large body.
    pub fn of_client(budget: &MemoryBudget) -> Self {
        let mut held = Self::new(budget);
        held.is_widened = true;
        held
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
        // A buffer that grows has up to as much space as content.
        self.head_bytes = 2 * bytes;
        self.count()
    }

    /// Takes room for a complete head of `bytes`.
    ///
    /// # Errors
    ///
    /// [`Http1Error::NoMemory`].
    pub fn end_head(&mut self, bytes: usize) -> Result<(), Http1Error> {
        self.head_bytes = HEAD_COPIES * bytes + ADDED_HEAD_BYTES;
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

    /// Takes room for what a request that has arrived whole takes while it is at a replica: the
    /// requests that follow it, the receive buffer of the replica's connection and the first
    /// bytes of the answer, and `decoded_bytes` of what was decoded from its head.
    ///
    /// # Errors
    ///
    /// [`Http1Error::NoMemory`].
    pub fn begin_forwarding(&mut self, decoded_bytes: usize) -> Result<(), Http1Error> {
        let unread_bytes = most_unread_bytes(self.budget.receive_buffer_bytes());
        // A small body is copied behind its head.
        let copied_bytes = self.body_bytes.min(MAX_SMALL_BODY_BYTES);
        self.under_way_bytes =
            MAX_READ_AHEAD_BYTES + unread_bytes + FREE_ANSWER_BYTES + copied_bytes + decoded_bytes;
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
        let to = self.head_bytes + self.body_bytes + self.under_way_bytes;
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

    fn take_receive_room(&self) -> Option<ReceiveRoom> {
        self.is_widened
            .then(|| self.budget.take_receive_room())
            .flatten()
    }
}

impl Drop for HeldRequest {
    fn drop(&mut self) {
        self.budget.end_arrival(&self.request);
        self.budget.release(self.request.counted_bytes());
    }
}
