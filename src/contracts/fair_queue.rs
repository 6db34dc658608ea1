use std::collections::VecDeque;

use crate::contracts::BranchKey;
use crate::contracts::BranchShare;
use crate::contracts::QueueRefusal;
use crate::contracts::WaitEstimator;

/// Virtual time that one token costs a branch of weight 1.
const VIRTUAL_TIME_PER_TOKEN: u64 = 1 << 20;

/// Shortest time after which a refused caller is asked back.
const MIN_RETRY_AFTER_MS: u64 = 100;

/// Weight of the latest request in the average use, as a divisor.
const SMOOTHING_DIVISOR: u64 = 16;

/// Margin over the estimated wait, in percent, so that few requests expire while they wait.
const WAIT_MARGIN_PERCENT: u64 = 200;

/// Bounds of a fair queue.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct QueueLimits {
    /// Requests that run at a time.
    pub slots: u32,
    /// Slots of these that only branches below their share may take.
    pub reserved_slots: u32,
    /// Requests of one branch that wait.
    pub max_waiting_per_branch: usize,
    /// Requests that wait in all.
    pub max_waiting: usize,
}

/// A request that waits for a slot.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct QueuedRequest<T> {
    /// Branch the request belongs to.
    pub branch: BranchKey,
    /// Tokens it is expected to cost.
    pub cost_tokens: u64,
    /// Time by which its answer must be whole.
    pub deadline_ms: u64,
    /// The request.
    pub item: T,
}

/// What became of a request that asked for a slot.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum PushOutcome<T> {
    /// It waits.
    Queued,
    /// It is refused, which is final.
    Refused {
        item: T,
        reason: QueueRefusal,
        retry_after_ms: u64,
    },
}

/// What a request that ran has used.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct FinishedRequest {
    /// Branch the request belongs to.
    pub branch: BranchKey,
    /// Tokens it was expected to cost.
    pub cost_tokens: u64,
    /// Tokens it did cost.
    pub used_tokens: u64,
    /// Time it held a slot; `None` when it broke off and teaches nothing.
    pub held_ms: Option<u64>,
}

/// What the queue gives out next.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum PopOutcome<T> {
    /// The request runs now and holds a slot until [`FairQueue::finish`].
    Run(QueuedRequest<T>),
    /// The request cannot be whole by its deadline; it holds no slot and the refusal is final.
    Expired {
        request: QueuedRequest<T>,
        reason: QueueRefusal,
        retry_after_ms: u64,
    },
    /// No request can run now.
    Nothing,
}

/// Weighted fair queue over branches in front of the slots of an engine.
///
/// Each branch has a virtual time that advances by cost over weight with every
/// request it runs; the waiting branch with the least virtual time goes next. All
/// start alike when none waits, so idle shares are usable by the others and are given
/// back at once, without debt. A branch that comes back is ahead of those that wait
/// by no more than one turn of its share of the slots. The cost is the part of their
/// estimates that requests have used before; it is final when a request starts.
#[derive(Debug)]
pub struct FairQueue<T> {
    limits: QueueLimits,
    /// Arena of branches, indexed by [`BranchKey`].
    queues: Vec<BranchQueue<T>>,
    /// Keys sorted by the name of the branch.
    by_name: Vec<BranchKey>,
    waiting: usize,
    running: u32,
    wait_estimator: WaitEstimator,
    usage: UsageRatio,
    /// Virtual time of a request at weight 1, averaged.
    mean_charged_time: u64,
}

#[derive(Debug)]
struct BranchQueue<T> {
    share: BranchShare,
    virtual_time: u64,
    waiting: VecDeque<QueuedRequest<T>>,
    waiting_tokens: u64,
    running: u32,
    usage: UsageRatio,
}

/// Part of their estimated cost that requests use, averaged; unknown at first.
#[derive(Debug, Clone, Copy, Default)]
struct UsageRatio {
    permille: Option<u64>,
}

impl UsageRatio {
    fn update(&mut self, work: &FinishedRequest) {
        let used_tokens = work.used_tokens.min(work.cost_tokens);
        let latest = used_tokens * 1000 / work.cost_tokens.max(1);
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
    /// Empty queue with `limits`.
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

    /// Requests that run.
    pub fn running(&self) -> u32 {
        self.running
    }

    /// Requests that wait.
    pub fn waiting(&self) -> usize {
        self.waiting
    }

    /// Adds a branch or changes its share.
    pub fn set_share(&mut self, share: BranchShare) -> BranchKey {
        let key = self.ensure_branch(&share.branch);
        self.queues[key.index()].share = share;
        key
    }

    /// Key of a branch, which is added when it is new.
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
                    share: BranchShare::without_contract(name),
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

    /// Queues a request, or refuses it at once when it could not be served in time.
    pub fn push(&mut self, request: QueuedRequest<T>, now_ms: u64) -> PushOutcome<T> {
        let wait_ms = self.estimated_wait_ms(request.branch);
        let service_ms = self.estimated_service_ms(request.cost_tokens);
        let ready_ms = now_ms + wait_ms * WAIT_MARGIN_PERCENT / 100 + service_ms;
        let queue = &self.queues[request.branch.index()];
        let reason = if request.deadline_ms <= now_ms {
            QueueRefusal::DeadlinePassed
        } else if ready_ms > request.deadline_ms {
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

    /// The next request to run, or one that is given up.
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
        let next = queue.waiting.pop_front().expect("the queue has a request");
        queue.waiting_tokens -= next.cost_tokens;
        queue.running += 1;
        let usage_permille = queue.usage.permille.or(self.usage.permille);
        let charged_time = (next.cost_tokens * usage_permille.unwrap_or(1000)).max(1)
            * VIRTUAL_TIME_PER_TOKEN
            / 1000;
        queue.virtual_time += charged_time / queue.weight();
        self.mean_charged_time =
            (self.mean_charged_time * (SMOOTHING_DIVISOR - 1) + charged_time) / SMOOTHING_DIVISOR;
        self.waiting -= 1;
        self.running += 1;
        PopOutcome::Run(next)
    }

    /// Frees the slot of a request and learns from what it used.
    pub fn finish(&mut self, work: FinishedRequest) {
        let queue = &mut self.queues[work.branch.index()];
        queue.running -= 1;
        self.running -= 1;
        if let Some(held_ms) = work.held_ms {
            queue.usage.update(&work);
            self.usage.update(&work);
            self.wait_estimator
                .record_finished(work.cost_tokens, held_ms);
        }
    }

    /// Takes back the waiting requests that `matches` names, such as those of a gone caller.
    pub fn withdraw_matching(&mut self, matches: impl Fn(&T) -> bool) -> Vec<QueuedRequest<T>> {
        let mut taken = Vec::new();
        for queue in 0..self.queues.len() {
            for at in (0..self.queues[queue].waiting.len()).rev() {
                if matches(&self.queues[queue].waiting[at].item) {
                    taken.push(self.remove_waiting(queue, at));
                }
            }
        }
        taken
    }

    /// Time a new request of `branch` would wait for a slot.
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

    /// Latest time at which a request can start and still be whole by its deadline.
    pub fn latest_start_ms(&self, request: &QueuedRequest<T>) -> u64 {
        let service_ms = self.estimated_service_ms(request.cost_tokens);
        request.deadline_ms.saturating_sub(service_ms)
    }

    /// Time a request would run; an idle engine is tried whatever was learned of it.
    fn estimated_service_ms(&self, cost_tokens: u64) -> u64 {
        match self.running {
            0 => 0,
            _ => self.wait_estimator.service_ms(cost_tokens),
        }
    }

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

    /// Starts all branches alike, as nothing waits that could be overtaken.
    fn reset_virtual_times(&mut self) {
        let start = self.slot_cycle_time();
        for queue in &mut self.queues {
            queue.virtual_time = start;
        }
    }

    /// Virtual time in which every branch turns its share of the slots over once.
    fn slot_cycle_time(&self) -> u64 {
        let total_weight: u64 = self.queues.iter().map(BranchQueue::weight).sum();
        u64::from(self.limits.slots) * self.mean_charged_time / total_weight.max(1)
    }

    fn min_waiting_virtual_time(&self) -> u64 {
        let waiting = self.queues.iter().filter(|queue| !queue.waiting.is_empty());
        waiting.map(|queue| queue.virtual_time).min().unwrap_or(0)
    }

    /// The waiting branch with the least virtual time among those below their burst share.
    fn next_branch(&self) -> Option<BranchKey> {
        if self.running >= self.limits.slots - self.limits.reserved_slots.min(self.limits.slots) {
            let total_weight = self.queues.iter().map(BranchQueue::weight).sum();
            return self.min_virtual_time_branch(|queue| self.is_below_share(queue, total_weight));
        }
        let below = self.min_virtual_time_branch(|queue| !self.is_over_burst(queue));
        below.or_else(|| self.min_virtual_time_branch(|_| true))
    }

    fn is_below_share(&self, queue: &BranchQueue<T>, total_weight: u64) -> bool {
        let share = u64::from(self.limits.slots) * queue.weight();
        u64::from(queue.running + 1) * total_weight <= share
    }

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

    fn is_over_burst(&self, queue: &BranchQueue<T>) -> bool {
        let allowed = self.limits.slots * queue.share.burst_percent.max(1);
        (queue.running + 1) * 100 > allowed.max(100)
    }

    fn take_expired(&mut self, now_ms: u64) -> Option<QueuedRequest<T>> {
        for queue in 0..self.queues.len() {
            let waiting = &self.queues[queue].waiting;
            let expired = |request| self.latest_start_ms(request) < now_ms;
            if let Some(at) = waiting.iter().position(expired) {
                return Some(self.remove_waiting(queue, at));
            }
        }
        None
    }

    fn remove_waiting(&mut self, queue: usize, at: usize) -> QueuedRequest<T> {
        let queue = &mut self.queues[queue];
        let request = queue.waiting.remove(at).expect("the index is in range");
        queue.waiting_tokens -= request.cost_tokens;
        self.waiting -= 1;
        request
    }
}
