use std::collections::VecDeque;

use crate::contracts::Admission;
use crate::contracts::BranchKey;
use crate::contracts::BranchShare;
use crate::contracts::QueueRefusal;

/// Virtual time that one token costs a branch of weight 1.
const TOKEN_TIME: u64 = 1 << 20;

/// Shortest time after which a refused caller is asked back.
const MIN_RETRY_AFTER_MS: u64 = 100;

/// Weight of the latest request in the average use, as a divisor.
const USED_SMOOTHING: u64 = 16;

/// Margin over the estimated wait, in percent, so that few requests expire while they wait.
const WAIT_MARGIN_PERCENT: u64 = 200;

/// Bounds of a fair queue.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct QueueLimits {
    /// Requests that run at a time.
    pub slots: u32,
    /// Slots of these that only branches below their share may take.
    pub reserved: u32,
    /// Requests of one branch that wait.
    pub branch_waiting: usize,
    /// Requests that wait in all.
    pub waiting: usize,
}

/// A request that waits for a slot.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Waiting<T> {
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
pub enum Pushed<T> {
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
pub struct Finished {
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
pub enum Popped<T> {
    /// The request runs now and holds a slot until [`FairQueue::finish`].
    Run(Waiting<T>),
    /// The request cannot be whole by its deadline; it holds no slot and the refusal is final.
    Expired {
        request: Waiting<T>,
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
    lanes: Vec<Lane<T>>,
    /// Keys sorted by the name of the branch.
    by_name: Vec<BranchKey>,
    waiting: usize,
    running: u32,
    admission: Admission,
    used: UsedPart,
    /// Virtual time of a request at weight 1, averaged.
    mean_charge: u64,
}

#[derive(Debug)]
struct Lane<T> {
    share: BranchShare,
    virtual_time: u64,
    waiting: VecDeque<Waiting<T>>,
    waiting_tokens: u64,
    running: u32,
    used: UsedPart,
}

/// Part of their estimated cost that requests use, averaged; unknown at first.
#[derive(Debug, Clone, Copy, Default)]
struct UsedPart {
    permille: Option<u64>,
}

impl UsedPart {
    fn learn(&mut self, work: &Finished) {
        let used_tokens = work.used_tokens.min(work.cost_tokens);
        let latest = used_tokens * 1000 / work.cost_tokens.max(1);
        let average = |known| (known * (USED_SMOOTHING - 1) + latest) / USED_SMOOTHING;
        self.permille = Some(self.permille.map_or(latest, average));
    }
}

impl<T> Lane<T> {
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
            lanes: Vec::new(),
            by_name: Vec::new(),
            waiting: 0,
            running: 0,
            admission: Admission::new(limits.slots),
            used: UsedPart::default(),
            mean_charge: 0,
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
        let key = self.branch(&share.branch);
        self.lanes[key.index()].share = share;
        key
    }

    /// Key of a branch, which is added when it is new.
    pub fn branch(&mut self, name: &str) -> BranchKey {
        let lanes = &self.lanes;
        let found = self
            .by_name
            .binary_search_by(|key| lanes[key.index()].share.branch.as_str().cmp(name));
        match found {
            Ok(at) => self.by_name[at],
            Err(at) => {
                let key = BranchKey(self.lanes.len() as u32);
                self.lanes.push(Lane {
                    share: BranchShare::unnamed(name),
                    virtual_time: 0,
                    waiting: VecDeque::new(),
                    waiting_tokens: 0,
                    running: 0,
                    used: UsedPart::default(),
                });
                self.by_name.insert(at, key);
                key
            }
        }
    }

    /// Queues a request, or refuses it at once when it could not be served in time.
    pub fn push(&mut self, request: Waiting<T>, now_ms: u64) -> Pushed<T> {
        let wait_ms = self.wait_ms(request.branch);
        let service_ms = self.service_ms(request.cost_tokens);
        let ready_ms = now_ms + wait_ms * WAIT_MARGIN_PERCENT / 100 + service_ms;
        let lane = &self.lanes[request.branch.index()];
        let reason = if request.deadline_ms <= now_ms {
            QueueRefusal::DeadlinePassed
        } else if ready_ms > request.deadline_ms {
            QueueRefusal::DeadlineTooNear
        } else if lane.waiting.len() >= self.limits.branch_waiting {
            QueueRefusal::BranchQueueFull
        } else if self.waiting >= self.limits.waiting {
            QueueRefusal::QueueFull
        } else {
            self.enqueue(request);
            return Pushed::Queued;
        };
        Pushed::Refused {
            item: request.item,
            reason,
            retry_after_ms: wait_ms.max(MIN_RETRY_AFTER_MS),
        }
    }

    /// The next request to run, or one that is given up.
    pub fn pop(&mut self, now_ms: u64) -> Popped<T> {
        if let Some(request) = self.take_expired(now_ms) {
            return self.expire(request, now_ms);
        }
        if self.running >= self.limits.slots {
            return Popped::Nothing;
        }
        let Some(key) = self.next_branch() else {
            return Popped::Nothing;
        };
        let lane = &mut self.lanes[key.index()];
        let next = lane.waiting.pop_front().expect("the lane has a request");
        lane.waiting_tokens -= next.cost_tokens;
        lane.running += 1;
        let used = lane.used.permille.or(self.used.permille);
        let charge = (next.cost_tokens * used.unwrap_or(1000)).max(1) * TOKEN_TIME / 1000;
        lane.virtual_time += charge / lane.weight();
        self.mean_charge = (self.mean_charge * (USED_SMOOTHING - 1) + charge) / USED_SMOOTHING;
        self.waiting -= 1;
        self.running += 1;
        Popped::Run(next)
    }

    /// Frees the slot of a request and learns from what it used.
    pub fn finish(&mut self, work: Finished) {
        let lane = &mut self.lanes[work.branch.index()];
        lane.running -= 1;
        self.running -= 1;
        if let Some(held_ms) = work.held_ms {
            lane.used.learn(&work);
            self.used.learn(&work);
            self.admission.finished(work.cost_tokens, held_ms);
        }
    }

    /// Takes back the waiting requests that `matches` names, such as those of a gone caller.
    pub fn withdraw(&mut self, matches: impl Fn(&T) -> bool) -> Vec<Waiting<T>> {
        let mut taken = Vec::new();
        for lane in 0..self.lanes.len() {
            for at in (0..self.lanes[lane].waiting.len()).rev() {
                if matches(&self.lanes[lane].waiting[at].item) {
                    taken.push(self.take(lane, at));
                }
            }
        }
        taken
    }

    /// Time a new request of `branch` would wait for a slot.
    pub fn wait_ms(&self, branch: BranchKey) -> u64 {
        let lane = &self.lanes[branch.index()];
        let slot_is_free = self.running < self.limits.slots;
        if slot_is_free && lane.waiting.is_empty() {
            return 0;
        }
        let active = self.lanes.iter().filter(|lane| lane.is_active());
        let active_weight: u64 = active.map(Lane::weight).sum();
        let others = match lane.is_active() {
            true => active_weight - lane.weight(),
            false => active_weight,
        };
        let share_percent = lane.weight() * 100 / (others + lane.weight());
        self.admission.wait_ms(lane.waiting_tokens, share_percent)
    }

    /// Latest time at which a request can start and still be whole by its deadline.
    pub fn expiry_ms(&self, request: &Waiting<T>) -> u64 {
        let service_ms = self.service_ms(request.cost_tokens);
        request.deadline_ms.saturating_sub(service_ms)
    }

    /// Time a request would run; an idle engine is tried whatever was learned of it.
    fn service_ms(&self, cost_tokens: u64) -> u64 {
        match self.running {
            0 => 0,
            _ => self.admission.service_ms(cost_tokens),
        }
    }

    fn expire(&self, request: Waiting<T>, now_ms: u64) -> Popped<T> {
        let reason = match request.deadline_ms <= now_ms {
            true => QueueRefusal::DeadlinePassed,
            false => QueueRefusal::DeadlineTooNear,
        };
        Popped::Expired {
            retry_after_ms: self.wait_ms(request.branch).max(MIN_RETRY_AFTER_MS),
            reason,
            request,
        }
    }

    fn enqueue(&mut self, request: Waiting<T>) {
        if self.waiting == 0 {
            self.level();
        }
        let earliest = self.least_waiting_time().saturating_sub(self.slot_turn());
        let lane = &mut self.lanes[request.branch.index()];
        if lane.waiting.is_empty() {
            lane.virtual_time = lane.virtual_time.max(earliest);
        }
        lane.waiting_tokens += request.cost_tokens;
        lane.waiting.push_back(request);
        self.waiting += 1;
    }

    /// Starts all branches alike, as nothing waits that could be overtaken.
    fn level(&mut self) {
        let start = self.slot_turn();
        for lane in &mut self.lanes {
            lane.virtual_time = start;
        }
    }

    /// Virtual time in which every branch turns its share of the slots over once.
    fn slot_turn(&self) -> u64 {
        let total_weight: u64 = self.lanes.iter().map(Lane::weight).sum();
        u64::from(self.limits.slots) * self.mean_charge / total_weight.max(1)
    }

    fn least_waiting_time(&self) -> u64 {
        let waiting = self.lanes.iter().filter(|lane| !lane.waiting.is_empty());
        waiting.map(|lane| lane.virtual_time).min().unwrap_or(0)
    }

    /// The waiting branch with the least virtual time among those below their burst share.
    fn next_branch(&self) -> Option<BranchKey> {
        if self.running >= self.limits.slots - self.limits.reserved.min(self.limits.slots) {
            let total_weight = self.lanes.iter().map(Lane::weight).sum();
            return self.least_virtual_time(|lane| self.is_below_share(lane, total_weight));
        }
        let below = self.least_virtual_time(|lane| !self.is_over_burst(lane));
        below.or_else(|| self.least_virtual_time(|_| true))
    }

    fn is_below_share(&self, lane: &Lane<T>, total_weight: u64) -> bool {
        let share = u64::from(self.limits.slots) * lane.weight();
        u64::from(lane.running + 1) * total_weight <= share
    }

    fn least_virtual_time(&self, allowed: impl Fn(&Lane<T>) -> bool) -> Option<BranchKey> {
        let lanes = self.lanes.iter().enumerate();
        lanes
            .filter(|(_, lane)| !lane.waiting.is_empty() && allowed(lane))
            .min_by_key(|(_, lane)| lane.virtual_time)
            .map(|(index, _)| BranchKey(index as u32))
    }

    fn is_over_burst(&self, lane: &Lane<T>) -> bool {
        let allowed = self.limits.slots * lane.share.burst_percent.max(1);
        (lane.running + 1) * 100 > allowed.max(100)
    }

    fn take_expired(&mut self, now_ms: u64) -> Option<Waiting<T>> {
        for lane in 0..self.lanes.len() {
            let waiting = &self.lanes[lane].waiting;
            let expired = |request| self.expiry_ms(request) < now_ms;
            if let Some(at) = waiting.iter().position(expired) {
                return Some(self.take(lane, at));
            }
        }
        None
    }

    fn take(&mut self, lane: usize, at: usize) -> Waiting<T> {
        let lane = &mut self.lanes[lane];
        let request = lane.waiting.remove(at).expect("the index is in range");
        lane.waiting_tokens -= request.cost_tokens;
        self.waiting -= 1;
        request
    }
}
