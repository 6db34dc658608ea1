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
    pub(super) fn record_up(&self) {
        self.lock().is_down = false;
    }

    /// Notes that the engine crashed; streams that one crash broke get one number.
    pub(super) fn record_crash(&self) -> u32 {
        let mut inner = self.lock();
        if !inner.is_down {
            inner.is_down = true;
            inner.crashes += 1;
        }
        inner.crashes
    }

    /// Takes the slot for suspects until the guard is dropped.
    pub(super) fn acquire_suspect_slot(&self, fingerprint: Digest) -> Option<SuspectGuard<'_>> {
        let acquired = self.lock().suspects.try_acquire(fingerprint);
        acquired.then_some(SuspectGuard {
            health: self,
            fingerprint,
        })
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner
            .lock()
            .expect("no holder of the engine health panics")
    }
}

/// The slot for suspects, held by one request.
#[derive(Debug)]
pub(super) struct SuspectGuard<'a> {
    health: &'a EngineHealth,
    fingerprint: Digest,
}

impl Drop for SuspectGuard<'_> {
    fn drop(&mut self) {
        self.health.lock().suspects.release(self.fingerprint);
    }
}
