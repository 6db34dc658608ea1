use std::collections::VecDeque;

use crate::contracts::BranchKey;
use crate::contracts::BranchShare;
use crate::contracts::QueueRefusal;
use crate::contracts::WaitEstimator;

/// Virtual time that one token adds to a branch of weight 1.
const VIRTUAL_TIME_PER_TOKEN: u64 = 1 << 20;

/// Most tokens for which a branch is charged at once: more than any engine generates for one
/// request, and few enough that virtual times stay in range for 2^23 requests.
const MAX_CHARGED_TOKENS: u64 = 1 << 20;

/// Shortest time after which a refused caller should retry, in ms.
const MIN_RETRY_AFTER_MS: u64 = 100;

/// The latest request has a weight of one divided by this in the moving averages.
const SMOOTHING_DIVISOR: u64 = 16;

/// Factor on the estimated wait, in percent, so that few requests expire while they wait.
const WAIT_MARGIN_PERCENT: u64 = 200;

/// Limits of a fair queue.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct QueueLimits {
    /// Requests that run concurrently.
    pub slots: u32,
    /// Slots of these that only branches below their share by weight may take.
    pub reserved_slots: u32,
    /// Largest number of requests of one branch that wait.
    pub max_waiting_per_branch: usize,
    /// Largest number of requests of all branches that wait.
    pub max_waiting: usize,
}

/// A request that waits for a slot.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct QueuedRequest<T> {
    /// Branch the request belongs to.
    pub branch: BranchKey,
    /// Tokens that the request is expected to cost.
    pub cost_tokens: u64,
    /// Monotonic time by which the answer must be complete, in ms.
    pub deadline_ms: u64,
    /// The caller's value for the request.
    pub item: T,
}

/// Result of [`FairQueue::push`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum PushOutcome<T> {
    /// The request waits for a slot.
    Queued,
    /// The request is refused; the refusal is final.
    Refused {
        /// The caller's value for the request.
        item: T,
        /// Why the request is refused.
        reason: QueueRefusal,
        /// Time after which the caller should retry, in ms.
        retry_after_ms: u64,
    },
}

/// Estimated and actual usage of a request that ran, for [`FairQueue::finish`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct FinishedRequest {
    /// Branch the request belongs to.
    pub branch: BranchKey,
    /// Tokens that the request was expected to cost.
    pub cost_tokens: u64,
    /// Tokens that the request used.
    pub used_tokens: u64,
    /// Time for which it held a slot, in ms; `None` when it ended early, so that its usage is
    /// left out of the averages.
    pub held_ms: Option<u64>,
}

/// Result of [`FairQueue::pop`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum PopOutcome<T> {
    /// The request runs now and holds a slot until [`FairQueue::finish`].
    Run(QueuedRequest<T>),
    /// The request can't be complete by its deadline; it holds no slot and the refusal is
    /// final.
    Expired {
        /// The request, which was removed from the queue.
        request: QueuedRequest<T>,
        /// Why the request is refused.
        reason: QueueRefusal,
        /// Time after which the caller should retry, in ms.
        retry_after_ms: u64,
    },
    /// No request can run now.
    Nothing,
}

/// Weighted fair queue over branches in front of the slots of an engine.
///
/// Each branch has a virtual time that advances by cost over weight with every request
/// that it starts; of the branches with waiting requests, the one with the smallest
/// virtual time goes next. When no request waits, the virtual times of all branches are
/// reset to the same value: a branch may use the idle shares of others without being
/// charged for them later, and the others get their shares back at once. A branch that
/// starts to wait again is ahead of the waiting ones by at most the virtual time in which
/// as many requests start as there are slots. The cost of a request is its estimate times
/// the part of the estimates that earlier requests used; it is charged when the request
/// starts and not corrected afterwards.
#[derive(Debug)]
pub struct FairQueue<T> {
    limits: QueueLimits,
    /// Queues of the branches, indexed by [`BranchKey`].
    queues: Vec<BranchQueue<T>>,
    /// Keys of the branches, sorted by name.
    by_name: Vec<BranchKey>,
    waiting: usize,
    running: u32,
    wait_estimator: WaitEstimator,
    usage: UsageRatio,
    /// Moving average of the virtual time that a request adds at weight 1.
    mean_charged_time: u64,
}

/// Waiting requests of one branch, with its share and virtual time.
#[derive(Debug)]
struct BranchQueue<T> {
    share: BranchShare,
    virtual_time: u64,
    waiting: VecDeque<QueuedRequest<T>>,
    waiting_tokens: u64,
    running: u32,
    usage: UsageRatio,
}

/// Moving average of the part of their estimated cost that requests use; `None` before
/// the first has finished.
#[derive(Debug, Clone, Copy, Default)]
struct UsageRatio {
    permille: Option<u64>,
}

impl UsageRatio {
    fn update(&mut self, finished: &FinishedRequest) {
        let used_tokens = finished.used_tokens.min(finished.cost_tokens);
        let latest = used_tokens * 1000 / finished.cost_tokens.max(1);
        let average = |known| (known * (SMOOTHING_DIVISOR - 1) + latest) / SMOOTHING_DIVISOR;
        self.permille = Some(self.permille.map_or(latest, average));
    }
}

impl<T> BranchQueue<T> {
    fn weight(&self) -> u64 {
        u64::from(self.share.weight.max(1))
    }

    fn is_active(&self) -> bool {
        self.running > 0 || !self.waiting.is_empty()
    }
}

impl<T> FairQueue<T> {
    /// Empty queue with these limits.
    pub fn new(limits: QueueLimits) -> Self {
        Self {
            limits,
            queues: Vec::new(),
            by_name: Vec::new(),
            waiting: 0,
            running: 0,
            wait_estimator: WaitEstimator::new(limits.slots),
            usage: UsageRatio::default(),
            mean_charged_time: 0,
        }
    }

    /// Number of requests that run.
    pub fn running(&self) -> u32 {
        self.running
    }

    /// Number of requests that wait.
    pub fn waiting(&self) -> usize {
        self.waiting
    }

    /// Adds a branch or changes its share.
    pub fn set_share(&mut self, share: BranchShare) -> BranchKey {
        let key = self.ensure_branch(&share.branch);
        self.queues[key.index()].share = share;
        key
    }

    /// Key of the branch `name`; a new branch is added without a guaranteed share.
    pub fn ensure_branch(&mut self, name: &str) -> BranchKey {
        let queues = &self.queues;
        let found = self
            .by_name
            .binary_search_by(|key| queues[key.index()].share.branch.as_str().cmp(name));
        match found {
            Ok(at) => self.by_name[at],
            Err(at) => {
                let key = BranchKey(self.queues.len() as u32);
                self.queues.push(BranchQueue {
                    share: BranchShare::unconfigured(name),
                    virtual_time: 0,
                    waiting: VecDeque::new(),
                    waiting_tokens: 0,
                    running: 0,
                    usage: UsageRatio::default(),
                });
                self.by_name.insert(at, key);
                key
            }
        }
    }

    /// Queues a request, or refuses it when a limit is reached or its deadline can't be met.
    pub fn push(&mut self, request: QueuedRequest<T>, now_ms: u64) -> PushOutcome<T> {
        let wait_ms = self.estimated_wait_ms(request.branch);
        let service_ms = self.estimated_service_ms(request.cost_tokens);
        let complete_ms = now_ms + wait_ms * WAIT_MARGIN_PERCENT / 100 + service_ms;
        let queue = &self.queues[request.branch.index()];
        let reason = if request.deadline_ms <= now_ms {
            QueueRefusal::DeadlinePassed
        } else if complete_ms > request.deadline_ms {
            QueueRefusal::DeadlineTooNear
        } else if queue.waiting.len() >= self.limits.max_waiting_per_branch {
            QueueRefusal::BranchQueueFull
        } else if self.waiting >= self.limits.max_waiting {
            QueueRefusal::QueueFull
        } else {
            self.enqueue(request);
            return PushOutcome::Queued;
        };
        PushOutcome::Refused {
            item: request.item,
            reason,
            retry_after_ms: wait_ms.max(MIN_RETRY_AFTER_MS),
        }
    }

    /// Removes and returns a request that can't meet its deadline any more, or else the
    /// next one to run.
    pub fn pop(&mut self, now_ms: u64) -> PopOutcome<T> {
        if let Some(request) = self.take_expired(now_ms) {
            return self.expire(request, now_ms);
        }
        if self.running >= self.limits.slots {
            return PopOutcome::Nothing;
        }
        let Some(key) = self.next_branch() else {
            return PopOutcome::Nothing;
        };
        let queue = &mut self.queues[key.index()];
        let next = queue
            .waiting
            .pop_front()
            .expect("the chosen branch has a waiting request");
        queue.waiting_tokens -= next.cost_tokens;
        queue.running += 1;
        let usage_permille = queue.usage.permille.or(self.usage.permille);
        let charged_tokens = next.cost_tokens.min(MAX_CHARGED_TOKENS);
        let charged_time = (charged_tokens * usage_permille.unwrap_or(1000)).max(1)
            * VIRTUAL_TIME_PER_TOKEN
            / 1000;
        queue.virtual_time = queue
            .virtual_time
            .saturating_add(charged_time / queue.weight());
        self.mean_charged_time =
            (self.mean_charged_time * (SMOOTHING_DIVISOR - 1) + charged_time) / SMOOTHING_DIVISOR;
        self.waiting -= 1;
        self.running += 1;
        PopOutcome::Run(next)
    }

    /// Frees the slot of a request and updates the averages with its usage.
    pub fn finish(&mut self, finished: FinishedRequest) {
        let queue = &mut self.queues[finished.branch.index()];
        queue.running -= 1;
        self.running -= 1;
        if let Some(held_ms) = finished.held_ms {
            queue.usage.update(&finished);
            self.usage.update(&finished);
            self.wait_estimator
                .record_finished(finished.cost_tokens, held_ms);
        }
    }

    /// Removes the waiting requests that match, such as those whose caller disconnected.
    pub fn withdraw_matching(&mut self, matches: impl Fn(&T) -> bool) -> Vec<QueuedRequest<T>> {
        let mut withdrawn = Vec::new();
        for index in 0..self.queues.len() {
            for at in (0..self.queues[index].waiting.len()).rev() {
                if matches(&self.queues[index].waiting[at].item) {
                    withdrawn.push(self.remove_waiting(index, at));
                }
            }
        }
        withdrawn
    }

    /// Estimated time for which a new request of `branch` waits for a slot, in ms.
    pub fn estimated_wait_ms(&self, branch: BranchKey) -> u64 {
        let queue = &self.queues[branch.index()];
        let has_free_slot = self.running < self.limits.slots;
        if has_free_slot && queue.waiting.is_empty() {
            return 0;
        }
        let active = self.queues.iter().filter(|queue| queue.is_active());
        let active_weight: u64 = active.map(BranchQueue::weight).sum();
        let others = match queue.is_active() {
            true => active_weight - queue.weight(),
            false => active_weight,
        };
        let share_percent = queue.weight() * 100 / (others + queue.weight());
        self.wait_estimator
            .wait_ms(queue.waiting_tokens, share_percent)
    }

    /// Latest time at which a request can start and still complete by its deadline.
    pub fn latest_start_ms(&self, request: &QueuedRequest<T>) -> u64 {
        let service_ms = self.estimated_service_ms(request.cost_tokens);
        request.deadline_ms.saturating_sub(service_ms)
    }

    /// Estimated time for which a request runs, in ms; 0 when the engine is idle, so that
    /// it gets requests again after it was slow.
    fn estimated_service_ms(&self, cost_tokens: u64) -> u64 {
        match self.running {
            0 => 0,
            _ => self.wait_estimator.service_ms(cost_tokens),
        }
    }

    /// Outcome for a request that was removed because it can't meet its deadline.
    fn expire(&self, request: QueuedRequest<T>, now_ms: u64) -> PopOutcome<T> {
        let reason = match request.deadline_ms <= now_ms {
            true => QueueRefusal::DeadlinePassed,
            false => QueueRefusal::DeadlineTooNear,
        };
        PopOutcome::Expired {
            retry_after_ms: self
                .estimated_wait_ms(request.branch)
                .max(MIN_RETRY_AFTER_MS),
            reason,
            request,
        }
    }

    /// Appends a request to the queue of its branch. A branch that starts to wait gets a
    /// virtual time at most one [`Self::slot_cycle_time`] below the smallest of the waiting
    /// branches.
    fn enqueue(&mut self, request: QueuedRequest<T>) {
        if self.waiting == 0 {
            self.reset_virtual_times();
        }
        let earliest = self
            .min_waiting_virtual_time()
            .saturating_sub(self.slot_cycle_time());
        let queue = &mut self.queues[request.branch.index()];
        if queue.waiting.is_empty() {
            queue.virtual_time = queue.virtual_time.max(earliest);
        }
        queue.waiting_tokens += request.cost_tokens;
        queue.waiting.push_back(request);
        self.waiting += 1;
    }

    /// Gives all branches the same virtual time. No request is waiting, so that none can
    /// be overtaken.
    fn reset_virtual_times(&mut self) {
        let start = self.slot_cycle_time();
        for queue in &mut self.queues {
            queue.virtual_time = start;
        }
    }

    /// Virtual time that passes while as many requests start as there are slots.
    fn slot_cycle_time(&self) -> u64 {
        let total_weight: u64 = self.queues.iter().map(BranchQueue::weight).sum();
        u64::from(self.limits.slots) * self.mean_charged_time / total_weight.max(1)
    }

    /// Smallest virtual time of the branches with waiting requests; 0 without any.
    fn min_waiting_virtual_time(&self) -> u64 {
        let waiting = self.queues.iter().filter(|queue| !queue.waiting.is_empty());
        waiting.map(|queue| queue.virtual_time).min().unwrap_or(0)
    }

    /// Branch of the next request to run: the one with the smallest virtual time among
    /// those below their burst limit, or among all when every waiting branch is above.
    /// Only branches below their share by weight may take a reserved slot.
    fn next_branch(&self) -> Option<BranchKey> {
        if self.running >= self.limits.slots - self.limits.reserved_slots.min(self.limits.slots) {
            let total_weight = self.queues.iter().map(BranchQueue::weight).sum();
            return self.min_virtual_time_branch(|queue| self.is_below_share(queue, total_weight));
        }
        let below_burst = self.min_virtual_time_branch(|queue| !self.is_over_burst(queue));
        below_burst.or_else(|| self.min_virtual_time_branch(|_| true))
    }

    /// Whether one more running request keeps the branch within its share by weight.
    fn is_below_share(&self, queue: &BranchQueue<T>, total_weight: u64) -> bool {
        let share = u64::from(self.limits.slots) * queue.weight();
        u64::from(queue.running + 1) * total_weight <= share
    }

    /// Branch with the smallest virtual time among the waiting ones that are allowed.
    fn min_virtual_time_branch(
        &self,
        allowed: impl Fn(&BranchQueue<T>) -> bool,
    ) -> Option<BranchKey> {
        let queues = self.queues.iter().enumerate();
        queues
            .filter(|(_, queue)| !queue.waiting.is_empty() && allowed(queue))
            .min_by_key(|(_, queue)| queue.virtual_time)
            .map(|(index, _)| BranchKey(index as u32))
    }

    /// Whether one more running request exceeds the branch's burst limit.
    fn is_over_burst(&self, queue: &BranchQueue<T>) -> bool {
        let allowed = self.limits.slots * queue.share.burst_percent.max(1);
        (queue.running + 1) * 100 > allowed.max(100)
    }

    /// Removes a waiting request that can't meet its deadline any more.
    fn take_expired(&mut self, now_ms: u64) -> Option<QueuedRequest<T>> {
        for index in 0..self.queues.len() {
            let waiting = &self.queues[index].waiting;
            let is_expired = |request| self.latest_start_ms(request) < now_ms;
            if let Some(at) = waiting.iter().position(is_expired) {
                return Some(self.remove_waiting(index, at));
            }
        }
        None
    }

    /// Removes the waiting request at position `at` of the branch at `index`.
    fn remove_waiting(&mut self, index: usize, at: usize) -> QueuedRequest<T> {
        let queue = &mut self.queues[index];
        let request = queue.waiting.remove(at).expect("the index is in range");
        queue.waiting_tokens -= request.cost_tokens;
        self.waiting -= 1;
        request
    }
}
