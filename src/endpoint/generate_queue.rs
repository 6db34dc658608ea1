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

/// Value of `shares_offset` before the first configuration.
const NO_OFFSET: u64 = u64::MAX;

/// Final refusal of a request by the queue.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct GenerateRefusal {
    pub(super) reason: RefusalReason,
    /// Suggested wait before a retry, in milliseconds.
    pub(super) retry_after_ms: u64,
}

/// Decision of the queue on a waiting request.
#[derive(Debug)]
pub(super) enum QueueDecision {
    /// The request runs now, in this slot.
    Run(RunSlot),
    /// The request is refused.
    Refused(GenerateRefusal),
}

/// A request that waits in the queue for its decision.
#[derive(Debug)]
pub(super) struct PendingDecision {
    /// Receives the decision of the queue.
    pub(super) receiver: oneshot::Receiver<QueueDecision>,
    /// Time after which the queue refuses the request, in milliseconds of its clock.
    pub(super) expiry_ms: u64,
}

/// Fair queue in front of the engine of an endpoint, shared by its requests.
#[derive(Debug)]
pub struct GenerateQueue {
    slots: u32,
    /// Start of the queue's clock.
    started: Instant,
    /// Configuration offset of the shares, or [`NO_OFFSET`].
    shares_offset: AtomicU64,
    queue: Mutex<FairQueue<oneshot::Sender<QueueDecision>>>,
}

impl GenerateQueue {
    /// Empty queue with the given limits.
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

    /// Sets the shares of the branches from the configuration at `offset`.
    pub fn set_shares(&self, offset: u64, shares: impl IntoIterator<Item = BranchShare>) {
        self.shares_offset.store(offset, Ordering::Relaxed);
        let mut queue = self.lock();
        for share in shares {
            queue.set_share(share);
        }
    }

    /// Number of running and waiting requests and of slots.
    pub fn load(&self) -> Load {
        let queue = self.lock();
        Load {
            running: queue.running(),
            queued: queue.waiting() as u32,
            slots: self.slots,
        }
    }

    /// Time since the queue was created, in milliseconds.
    pub(super) fn now_ms(&self) -> u64 {
        self.started.elapsed().as_millis() as u64
    }

    /// Queues a request whose answer must be complete by `deadline_ms` of the queue's clock.
    pub(super) fn enqueue(
        self: &Arc<Self>,
        branch: &str,
        cost_tokens: u64,
        deadline_ms: u64,
    ) -> Result<PendingDecision, GenerateRefusal> {
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
        let outcome = queue.push(request, now_ms);
        drop(queue);
        match outcome {
            PushOutcome::Queued => {
                self.dispatch();
                Ok(PendingDecision {
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

    /// Grants free slots to waiting requests and refuses those that have expired.
    pub(super) fn dispatch(self: &Arc<Self>) {
        while let Some((sender, decision)) = self.next_decision() {
            // If the request was dropped, `send` returns the decision, which frees the slot
            // when it is dropped.
            let _ = sender.send(decision);
        }
    }

    /// Next decision with its receiver; `None` when no request can run or be refused now.
    fn next_decision(self: &Arc<Self>) -> Option<(oneshot::Sender<QueueDecision>, QueueDecision)> {
        let now_ms = self.now_ms();
        let mut queue = self.lock();
        queue.withdraw_matching(oneshot::Sender::is_closed);
        match queue.pop(now_ms) {
            PopOutcome::Nothing => None,
            PopOutcome::Run(request) => {
                let slot = RunSlot {
                    queue: Arc::clone(self),
                    started_ms: now_ms,
                    usage: FinishedRequest {
                        branch: request.branch,
                        cost_tokens: request.cost_tokens,
                        used_tokens: 0,
                        held_ms: None,
                    },
                };
                Some((request.item, QueueDecision::Run(slot)))
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
                Some((request.item, QueueDecision::Refused(refusal)))
            }
        }
    }

    fn lock(&self) -> MutexGuard<'_, FairQueue<oneshot::Sender<QueueDecision>>> {
        self.queue.lock().expect("no holder of the queue panics")
    }
}

/// Slot of the engine, held by a running request and freed when dropped.
#[derive(Debug)]
pub(super) struct RunSlot {
    queue: Arc<GenerateQueue>,
    started_ms: u64,
    /// Usage of the request, passed to the queue when the slot is freed.
    usage: FinishedRequest,
}

impl RunSlot {
    /// Adds tokens that the request used, up to its estimated cost.
    pub(super) fn add_used_tokens(&mut self, tokens: u64) {
        self.usage.used_tokens = (self.usage.used_tokens + tokens).min(self.usage.cost_tokens);
    }

    /// Records that the answer is complete, so that its duration enters the averages from
    /// which the queue estimates waits.
    pub(super) fn record_completion(&mut self) {
        self.usage.held_ms = Some(self.queue.now_ms() - self.started_ms);
    }
}

impl Drop for RunSlot {
    fn drop(&mut self) {
        self.queue.lock().finish(self.usage);
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
