//! Bounds the bodies of requests that an HTTP server holds.
//!
//! Load: many peers that send large bodies, or stop in the middle of them. Room is taken before
//! a body is kept and returned when its request has its answer. Large bodies can't take the
//! last quarter, so that small requests always have a share of their own.

use std::sync::Arc;

use crate::weights::MemoryBudget;
use crate::weights::Reservation;

/// Largest body that may take the room reserved for small ones, in bytes.
const MAX_SMALL_BODY_BYTES: u64 = 16 * 1024;

/// Bytes in which the room of a body without an announced length grows.
const GROWTH_BYTES: u64 = 16 * 1024;

/// Copies of a body that its request holds: as it arrives, decoded, and as it is sent on.
const COPIES: u64 = 3;

/// Room for the bodies of all requests of a server.
#[derive(Debug, Clone)]
pub struct RequestMemory {
    all: Arc<MemoryBudget>,
    large: Arc<MemoryBudget>,
}

impl RequestMemory {
    /// Room of `limit_bytes`.
    pub fn new(limit_bytes: u64) -> Self {
        Self {
            all: MemoryBudget::new(limit_bytes),
            large: MemoryBudget::new(limit_bytes / 4 * 3),
        }
    }

    /// Room for one body, which is empty at first.
    pub fn begin_body(&self) -> HeldBody {
        HeldBody {
            memory: self.clone(),
            held_bytes: 0,
            reservations: Vec::new(),
        }
    }
}

/// Room that the body of one request takes; dropping it returns the room.
#[derive(Debug)]
pub struct HeldBody {
    memory: RequestMemory,
    held_bytes: u64,
    reservations: Vec<Reservation>,
}

impl HeldBody {
    /// Takes room for a body of which `bytes` arrive or have arrived; returns whether there is
    /// any.
    pub fn admit(&mut self, bytes: u64) -> bool {
        if bytes <= self.held_bytes {
            return true;
        }
        let held_bytes = bytes.next_multiple_of(GROWTH_BYTES);
        let added_bytes = (held_bytes - self.held_bytes) * COPIES;
        let Some(reservation) = self.memory.all.reserve(added_bytes) else {
            return false;
        };
        if held_bytes > MAX_SMALL_BODY_BYTES {
            let Some(large) = self.memory.large.reserve(added_bytes) else {
                return false;
            };
            self.reservations.push(large);
        }
        self.reservations.push(reservation);
        self.held_bytes = held_bytes;
        true
    }
}
