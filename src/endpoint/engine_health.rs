use std::sync::Mutex;
use std::sync::MutexGuard;

use crate::calls::SuspectSlot;
use crate::weights::Digest;

/// Crashes of the engine of an endpoint, and the slot for crash suspects.
#[derive(Debug, Default)]
pub(super) struct EngineHealth {
    inner: Mutex<Inner>,
}

/// Content of [`EngineHealth`], behind its lock.
#[derive(Debug, Default)]
struct Inner {
    /// Number of crashes so far.
    crash_count: u32,
    /// Whether the engine has crashed and sent no token since.
    is_down: bool,
    /// Slot in which one crash suspect at a time may run.
    suspect_slot: SuspectSlot,
}

impl EngineHealth {
    /// Records that the engine sent a token.
    pub(super) fn record_up(&self) {
        self.lock().is_down = false;
    }

    /// Records a broken stream of a crashed engine and returns the number of the crash.
    ///
    /// Streams that the same crash broke get the same number.
    pub(super) fn record_crash(&self) -> u32 {
        let mut inner = self.lock();
        if !inner.is_down {
            inner.is_down = true;
            inner.crash_count += 1;
        }
        inner.crash_count
    }

    /// Takes the slot for crash suspects until the guard is dropped; `None` if another
    /// request holds it.
    pub(super) fn acquire_suspect_slot(&self, fingerprint: Digest) -> Option<SuspectGuard<'_>> {
        let acquired = self.lock().suspect_slot.try_acquire(fingerprint);
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

/// Holds the slot for crash suspects for one request.
#[derive(Debug)]
pub(super) struct SuspectGuard<'a> {
    health: &'a EngineHealth,
    fingerprint: Digest,
}

impl Drop for SuspectGuard<'_> {
    fn drop(&mut self) {
        self.health.lock().suspect_slot.release(self.fingerprint);
    }
}
