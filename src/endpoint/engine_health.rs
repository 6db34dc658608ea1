use std::sync::Mutex;
use std::sync::MutexGuard;

use crate::calls::SuspectSlot;
use crate::weights::Digest;

/// What an endpoint knows of its engine's crashes, and the slot for suspects of them.
#[derive(Debug, Default)]
pub(super) struct EngineHealth {
    inner: Mutex<Inner>,
}

#[derive(Debug, Default)]
struct Inner {
    crashes: u32,
    is_down: bool,
    suspects: SuspectSlot,
}

impl EngineHealth {
    /// Notes that the engine made a token.
    pub(super) fn is_up(&self) {
        self.lock().is_down = false;
    }

    /// Notes that the engine crashed; streams that one crash broke get one number.
    pub(super) fn crashed(&self) -> u32 {
        let mut inner = self.lock();
        if !inner.is_down {
            inner.is_down = true;
            inner.crashes += 1;
        }
        inner.crashes
    }

    /// Takes the slot for suspects until the guard is dropped.
    pub(super) fn enter(&self, request: Digest) -> Option<SuspectGuard<'_>> {
        let entered = self.lock().suspects.try_acquire(request);
        entered.then_some(SuspectGuard {
            watch: self,
            request,
        })
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().expect("no holder of the watch panics")
    }
}

/// The slot for suspects, held by one request.
#[derive(Debug)]
pub(super) struct SuspectGuard<'a> {
    watch: &'a EngineHealth,
    request: Digest,
}

impl Drop for SuspectGuard<'_> {
    fn drop(&mut self) {
        self.watch.lock().suspects.release(self.request);
    }
}
