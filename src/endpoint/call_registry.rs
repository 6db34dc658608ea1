use std::collections::VecDeque;
use std::sync::Mutex;
use std::sync::MutexGuard;

use futures_util::FutureExt;
use futures_util::future::BoxFuture;
use futures_util::future::Shared;

use crate::calls::Nonce;
use crate::calls::PauseDetector;
use crate::calls::SuspectSlot;

/// Time between two reconciler of housekeeping.
pub(super) const TICK_INTERVAL_MS: u64 = 100;

/// Ends when a call has ended.
pub(super) type Ended = Shared<BoxFuture<'static, ()>>;

/// Calls of the plain service that run on this endpoint.
#[derive(Debug)]
pub struct CallRegistry {
    inner: Mutex<Inner>,
    pauses: PauseDetector,
}

#[derive(Debug, Default)]
struct Inner {
    // Ascending by nonce.
    running: Vec<(Nonce, Ended)>,
    repeatable: usize,
    suspects: SuspectSlot,
    crashes: u32,
    is_down: bool,
}

impl CallRegistry {
    /// No calls yet.
    pub fn new(now_ms: u64) -> Self {
        Self {
            inner: Mutex::default(),
            pauses: PauseDetector::new(TICK_INTERVAL_MS, now_ms),
        }
    }

    /// Notices pauses of the process.
    pub fn pauses(&self) -> &PauseDetector {
        &self.pauses
    }

    /// Calls that run now.
    pub fn running(&self) -> usize {
        let inner = self.inner();
        inner.running.len() + inner.repeatable
    }

    /// Notes a call with a permit that runs in a task of its own.
    pub(super) fn started(&self, nonce: Nonce, task: BoxFuture<'static, ()>) {
        let running = &mut self.inner().running;
        if let Err(at) = running.binary_search_by_key(&nonce, |(known, _)| *known) {
            running.insert(at, (nonce, task.shared()));
        }
    }

    /// Notes that a call with a permit has ended.
    pub(super) fn ended(&self, nonce: Nonce) {
        self.inner().running.retain(|(known, _)| *known != nonce);
    }

    /// Ends when the call does; `None` if it does not run.
    pub(super) fn end_of(&self, nonce: Nonce) -> Option<Ended> {
        let inner = self.inner();
        let found = inner
            .running
            .binary_search_by_key(&nonce, |(known, _)| *known);
        found.ok().map(|at| inner.running[at].1.clone())
    }

    /// Counts an idempotent call until the guard is dropped.
    pub(super) fn repeatable(&self) -> IdempotentCallGuard<'_> {
        self.inner().repeatable += 1;
        IdempotentCallGuard { desk: self }
    }

    /// The slot for suspects.
    pub(super) fn with_slot<T>(&self, change: impl FnOnce(&mut SuspectSlot) -> T) -> T {
        change(&mut self.inner().suspects)
    }

    /// Notes that the service answers.
    pub(super) fn service_is_up(&self) {
        self.inner().is_down = false;
    }

    /// Notes that the service crashed; calls that one crash broke get one number.
    pub(super) fn service_crashed(&self) -> u32 {
        let mut inner = self.inner();
        if !inner.is_down {
            inner.is_down = true;
            inner.crashes += 1;
        }
        inner.crashes
    }

    /// Ends when no call runs any more.
    pub(super) async fn drained(&self) {
        let mut waiting: VecDeque<Ended> = self.ends();
        while let Some(end) = waiting.pop_front() {
            end.await;
            if waiting.is_empty() {
                waiting = self.ends();
            }
        }
    }

    fn ends(&self) -> VecDeque<Ended> {
        let inner = self.inner();
        inner.running.iter().map(|(_, end)| end.clone()).collect()
    }

    fn inner(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().expect("no holder of the desk panics")
    }
}

/// Counts an idempotent call while it runs.
#[derive(Debug)]
pub(super) struct IdempotentCallGuard<'a> {
    desk: &'a CallRegistry,
}

impl Drop for IdempotentCallGuard<'_> {
    fn drop(&mut self) {
        self.desk.inner().repeatable -= 1;
    }
}
