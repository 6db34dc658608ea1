use std::cell::Cell;
use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

use tokio::sync::OnceCell;
use tokio::time::Instant;

use crate::weights::PieceManifest;

/// Cell of a piece that is read once, even if several requests wait for it.
pub(super) type PieceCell = Rc<OnceCell<Rc<Vec<u8>>>>;

/// The cached pieces of one version of weights.
#[derive(Debug)]
pub(super) struct CachedVersion {
    pub(super) model: String,
    pub(super) version: u64,
    pub(super) manifest: OnceCell<RefCell<Rc<PieceManifest>>>,
    pub(super) pieces: RefCell<Vec<PieceCell>>,
    pub(super) last_used: RefCell<Instant>,
    /// Whether a task reads the share of this entry ahead.
    pub(super) is_read_ahead: Cell<bool>,
    /// Monotonic time at which all entries were found to have it, in ms.
    pub(super) complete_ms: Cell<Option<i64>>,
}

impl CachedVersion {
    /// Whether a piece is cached.
    pub(super) fn has_piece(&self, index: u32) -> bool {
        let pieces = self.pieces.borrow();
        pieces
            .get(index as usize)
            .is_some_and(|piece| piece.initialized())
    }

    /// Time since another process last asked for it.
    pub(super) fn unused_for(&self) -> Duration {
        self.last_used.borrow().elapsed()
    }
}
