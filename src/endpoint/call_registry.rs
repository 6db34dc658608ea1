use std::collections::VecDeque;
use std::sync::Mutex;
use std::sync::MutexGuard;

use futures_util::FutureExt;
use futures_util::future::BoxFuture;
use futures_util::future::Shared;

use crate::calls::Nonce;
use crate::calls::PauseDetector;
use crate::calls::SuspectSlot;

/// Interval of the housekeeping of calls, in milliseconds.
pub(super) const TICK_INTERVAL_MS: u64 = 100;

/// Future that completes when a call has ended.
pub(super) type CallEnd = Shared<BoxFuture<'static, ()>>;

/// Running calls to the plain service of this endpoint, and the crashes of the service.
#[derive(Debug)]
pub struct CallRegistry {
    inner: Mutex<Inner>,
    pauses: PauseDetector,
}

/// Content of [`CallRegistry`], behind its lock.
#[derive(Debug, Default)]
struct Inner {
    /// Calls with a permit, ascending by nonce.
    running: Vec<(Nonce, CallEnd)>,
    /// Number of running idempotent calls.
    idempotent_count: usize,
    /// Slot in which one crash suspect at a time may run.
    suspect_slot: SuspectSlot,
    /// Number of crashes of the service so far.
    crash_count: u32,
    /// Whether the service has crashed and not answered since.
    is_down: bool,
}

impl CallRegistry {
    /// Registry without calls.
    pub fn new(now_ms: u64) -> Self {
        Self {
            inner: Mutex::default(),
            pauses: PauseDetector::new(TICK_INTERVAL_MS, now_ms),
        }
    }

    /// Detector of pauses of the process.
    pub fn pauses(&self) -> &PauseDetector {
        &self.pauses
    }

    /// Number of running calls.
    pub fn running_count(&self) -> usize {
        let inner = self.lock();
        inner.running.len() + inner.idempotent_count
    }

    /// Adds a call with a permit, which runs in a task of its own.
    pub(super) fn add_running(&self, nonce: Nonce, task: BoxFuture<'static, ()>) {
        let running = &mut self.lock().running;
        if let Err(at) = running.binary_search_by_key(&nonce, |(known, _)| *known) {
            running.insert(at, (nonce, task.shared()));
        }
    }

    /// Removes a call with a permit that has ended.
    pub(super) fn remove_running(&self, nonce: Nonce) {
        self.lock().running.retain(|(known, _)| *known != nonce);
    }

    /// Future that completes when the call has ended; `None` if it is not running.
    pub(super) fn call_end(&self, nonce: Nonce) -> Option<CallEnd> {
        let inner = self.lock();
        let found = inner
            .running
            .binary_search_by_key(&nonce, |(known, _)| *known);
        found.ok().map(|at| inner.running[at].1.clone())
    }

    /// Counts an idempotent call until the guard is dropped.
    pub(super) fn count_idempotent(&self) -> IdempotentCallGuard<'_> {
        self.lock().idempotent_count += 1;
        IdempotentCallGuard { registry: self }
    }

    /// Calls `change` with the slot for crash suspects.
    pub(super) fn with_suspect_slot<T>(&self, change: impl FnOnce(&mut SuspectSlot) -> T) -> T {
        change(&mut self.lock().suspect_slot)
    }

    /// Records that the service answers.
    pub(super) fn record_service_up(&self) {
        self.lock().is_down = false;
    }

    /// Records a broken call of a crashed service and returns the number of the crash.
    ///
    /// Calls that the same crash broke get the same number.
    pub(super) fn record_service_crash(&self) -> u32 {
        let mut inner = self.lock();
        if !inner.is_down {
            inner.is_down = true;
            inner.crash_count += 1;
        }
        inner.crash_count
    }

    /// Waits until no call with a permit is running.
    pub(super) async fn wait_until_drained(&self) {
        let mut waiting: VecDeque<CallEnd> = self.call_ends();
        while let Some(end) = waiting.pop_front() {
            end.await;
            if waiting.is_empty() {
                waiting = self.call_ends();
            }
        }
    }

    /// Ends of all running calls with a permit.
    fn call_ends(&self) -> VecDeque<CallEnd> {
        let inner = self.lock();
        inner.running.iter().map(|(_, end)| end.clone()).collect()
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().expect("no holder of the registry panics")
    }
}

/// Counts an idempotent call while it runs.
#[derive(Debug)]
pub(super) struct IdempotentCallGuard<'a> {
    registry: &'a CallRegistry,
}

impl Drop for IdempotentCallGuard<'_> {
    fn drop(&mut self) {
        self.registry.lock().idempotent_count -= 1;
    }
}
