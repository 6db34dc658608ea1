use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Instant;

use tokio::sync::oneshot;

use crate::calls::RefusalReason;
use crate::contracts::BranchShare;
use crate::contracts::FairQueue;
use crate::contracts::FinishedRequest;
use crate::contracts::PopOutcome;
use crate::contracts::PushOutcome;
use crate::contracts::QueueLimits;
use crate::contracts::QueueRefusal;
use crate::contracts::QueuedRequest;
use crate::hosts::Load;

/// Offset that stands for no configuration yet.
const NO_OFFSET: u64 = u64::MAX;

/// A final refusal of the queue.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct GenerateRefusal {
    pub(super) reason: RefusalReason,
    pub(super) retry_after_ms: u64,
}

/// What the queue tells a request that waits.
#[derive(Debug)]
pub(super) enum Grant {
    Run(RunSlot),
    Refused(GenerateRefusal),
}

/// A request's place in the queue.
#[derive(Debug)]
pub(super) struct PendingGrant {
    pub(super) receiver: oneshot::Receiver<Grant>,
    /// Time after which the request is given up.
    pub(super) expiry_ms: u64,
}

/// The fair queue of an endpoint, shared by the requests in it.
#[derive(Debug)]
pub struct GenerateQueue {
    slots: u32,
    started: Instant,
    shares_offset: AtomicU64,
    queue: Mutex<FairQueue<oneshot::Sender<Grant>>>,
}

impl GenerateQueue {
    /// Empty queue with `limits`.
    pub fn new(limits: QueueLimits) -> Arc<Self> {
        Arc::new(Self {
            slots: limits.slots,
            started: Instant::now(),
            shares_offset: AtomicU64::new(NO_OFFSET),
            queue: Mutex::new(FairQueue::new(limits)),
        })
    }

    /// Configuration offset of the shares; `None` before the first.
    pub fn shares_offset(&self) -> Option<u64> {
        match self.shares_offset.load(Ordering::Relaxed) {
            NO_OFFSET => None,
            offset => Some(offset),
        }
    }

    /// Sets the shares of the branches, as of a configuration offset.
    pub fn set_shares(&self, offset: u64, shares: impl IntoIterator<Item = BranchShare>) {
        self.shares_offset.store(offset, Ordering::Relaxed);
        let mut queue = self.lock();
        for share in shares {
            queue.set_share(share);
        }
    }

    /// How busy the endpoint is.
    pub fn load(&self) -> Load {
        let queue = self.lock();
        Load {
            running: queue.running(),
            queued: queue.waiting() as u32,
            slots: self.slots,
        }
    }

    /// Time since the queue was made.
    pub(super) fn now_ms(&self) -> u64 {
        self.started.elapsed().as_millis() as u64
    }

    /// Takes a place for a request that must be whole by `deadline_ms`.
    pub(super) fn enqueue(
        self: &Arc<Self>,
        branch: &str,
        cost_tokens: u64,
        deadline_ms: u64,
    ) -> Result<PendingGrant, GenerateRefusal> {
        let now_ms = self.now_ms();
        let (sender, receiver) = oneshot::channel();
        let mut queue = self.lock();
        let request = QueuedRequest {
            branch: queue.ensure_branch(branch),
            cost_tokens,
            deadline_ms,
            item: sender,
        };
        let expiry_ms = queue.latest_start_ms(&request);
        let pushed = queue.push(request, now_ms);
        drop(queue);
        match pushed {
            PushOutcome::Queued => {
                self.dispatch();
                Ok(PendingGrant {
                    receiver,
                    expiry_ms,
                })
            }
            PushOutcome::Refused {
                reason,
                retry_after_ms,
                ..
            } => Err(GenerateRefusal {
                reason: reason.into(),
                retry_after_ms,
            }),
        }
    }

    /// Hands out free slots and refuses requests that are given up.
    pub(super) fn dispatch(self: &Arc<Self>) {
        while let Some((waiter, grant)) = self.next_grant() {
            // A grant whose request has gone comes back and frees its slot when dropped.
            let _ = waiter.send(grant);
        }
    }

    fn next_grant(self: &Arc<Self>) -> Option<(oneshot::Sender<Grant>, Grant)> {
        let now_ms = self.now_ms();
        let mut queue = self.lock();
        queue.withdraw_matching(oneshot::Sender::is_closed);
        match queue.pop(now_ms) {
            PopOutcome::Nothing => None,
            PopOutcome::Run(request) => {
                let slot = RunSlot {
                    queue: Arc::clone(self),
                    started_ms: now_ms,
                    finished: FinishedRequest {
                        branch: request.branch,
                        cost_tokens: request.cost_tokens,
                        used_tokens: 0,
                        held_ms: None,
                    },
                };
                Some((request.item, Grant::Run(slot)))
            }
            PopOutcome::Expired {
                request,
                reason,
                retry_after_ms,
            } => {
                let refusal = GenerateRefusal {
                    reason: reason.into(),
                    retry_after_ms,
                };
                Some((request.item, Grant::Refused(refusal)))
            }
        }
    }

    fn lock(&self) -> MutexGuard<'_, FairQueue<oneshot::Sender<Grant>>> {
        self.queue.lock().expect("no holder of the queue panics")
    }
}

/// A slot of the engine, freed when dropped.
#[derive(Debug)]
pub(super) struct RunSlot {
    queue: Arc<GenerateQueue>,
    started_ms: u64,
    finished: FinishedRequest,
}

impl RunSlot {
    /// Counts tokens that were made.
    pub(super) fn add_used_tokens(&mut self, tokens: u64) {
        self.finished.used_tokens =
            (self.finished.used_tokens + tokens).min(self.finished.cost_tokens);
    }

    /// Notes that the answer is whole, so that its time is worth learning from.
    pub(super) fn record_completion(&mut self) {
        self.finished.held_ms = Some(self.queue.now_ms() - self.started_ms);
    }
}

impl Drop for RunSlot {
    fn drop(&mut self) {
        self.queue.lock().finish(self.finished);
        self.queue.dispatch();
    }
}

impl From<QueueRefusal> for RefusalReason {
    fn from(refusal: QueueRefusal) -> Self {
        match refusal {
            QueueRefusal::BranchQueueFull => Self::OverShare,
            QueueRefusal::QueueFull | QueueRefusal::DeadlineTooNear => Self::Overloaded,
            QueueRefusal::DeadlinePassed => Self::DeadlinePassed,
        }
    }
}
