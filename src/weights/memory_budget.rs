use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;

/// Memory that a host may use for weights, in bytes.
#[derive(Debug)]
pub struct MemoryBudget {
    limit_bytes: u64,
    used_bytes: Mutex<u64>,
}

impl MemoryBudget {
    /// Creates a budget of `limit_bytes`, nothing of it reserved.
    pub fn new(limit_bytes: u64) -> Arc<Self> {
        Arc::new(Self {
            limit_bytes,
            used_bytes: Mutex::new(0),
        })
    }

    /// Total budget, in bytes.
    pub fn limit_bytes(&self) -> u64 {
        self.limit_bytes
    }

    /// Bytes that are reserved now.
    pub fn used_bytes(&self) -> u64 {
        *self
            .used_bytes
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// Reserves `bytes` until the reservation is dropped; None when they don't fit.
    pub fn reserve(self: &Arc<Self>, bytes: u64) -> Option<Reservation> {
        let mut used_bytes = self
            .used_bytes
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        let after_bytes = used_bytes.checked_add(bytes)?;
        if after_bytes > self.limit_bytes {
            return None;
        }
        *used_bytes = after_bytes;
        Some(Reservation {
            budget: Arc::clone(self),
            bytes,
        })
    }
}

/// Memory reserved from a [`MemoryBudget`]; released when dropped.
#[derive(Debug)]
pub struct Reservation {
    budget: Arc<MemoryBudget>,
    bytes: u64,
}

impl Drop for Reservation {
    fn drop(&mut self) {
        let mut used_bytes = self
            .budget
            .used_bytes
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        *used_bytes = used_bytes.saturating_sub(self.bytes);
    }
}
