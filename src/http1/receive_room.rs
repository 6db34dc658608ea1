use crate::http1::MemoryBudget;
use crate::http1::RoomUse;
use crate::http1::receive_buffer::most_unread_bytes;

/// Size of the receive buffer of a connection while a large body arrives, in bytes.
const WIDE_BYTES: u32 = 128 * 1024;

impl MemoryBudget {
    /// Takes room for a larger receive buffer of one connection, unless messages need it.
    pub fn take_receive_room(&self) -> Option<ReceiveRoom> {
        self.try_take(most_unread_bytes(WIDE_BYTES), RoomUse::ReceiveBuffer)
            .then(|| ReceiveRoom {
                budget: self.clone(),
                is_used: true,
            })
    }
}

/// Room for a larger receive buffer of one connection; dropping it returns the room.
#[derive(Debug)]
pub struct ReceiveRoom {
    budget: MemoryBudget,
    is_used: bool,
}

impl ReceiveRoom {
    /// Size of the larger receive buffer.
    pub(super) fn wide_bytes(&self) -> u32 {
        WIDE_BYTES
    }

    /// Records that the buffer is not enlarged any more; returns its usual size.
    pub(super) fn end_use(&mut self) -> u32 {
        self.is_used = false;
        self.budget.receive_buffer_bytes()
    }

    /// Whether the buffer is enlarged.
    pub(super) fn is_used(&self) -> bool {
        self.is_used
    }
}

impl Drop for ReceiveRoom {
    fn drop(&mut self) {
        self.budget.release(most_unread_bytes(WIDE_BYTES));
    }
}
