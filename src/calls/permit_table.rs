use super::CallOutcome;
use super::EpochCounter;
use super::Nonce;
use super::Permit;
use super::RefusalReason;
use super::UnknownReason;
use crate::weights::Digest;

/// Bounds of a permit table.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct PermitLimits {
    /// Length of an epoch.
    pub epoch_ms: u64,
    /// Epochs remembered, the current one included.
    pub retained_epochs: u64,
    /// Permits remembered in one epoch.
    pub max_epoch_permits: usize,
    /// Bytes of answers kept in one epoch before it takes no further permits.
    pub max_epoch_bytes: usize,
    /// Largest answer kept.
    pub max_answer_bytes: usize,
}

impl Default for PermitLimits {
    fn default() -> Self {
        Self {
            epoch_ms: 60_000,
            retained_epochs: 4,
            max_epoch_permits: 16_384,
            max_epoch_bytes: 4 << 20,
            max_answer_bytes: 256 << 10,
        }
    }
}

/// What the table says to a call that arrives.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CallDecision {
    /// Nothing is known of the permit; the call is now recorded as running and must be run.
    Run,
    /// The call is running; wait for its outcome.
    Join,
    /// The call has ended.
    Done(CallOutcome),
    /// The call is not run and never will be.
    Refused {
        /// Why.
        reason: RefusalReason,
        /// When to come back with a fresh permit.
        retry_after_ms: Option<u64>,
    },
    /// This process cannot know what became of the permit.
    Unknown(UnknownReason),
}

/// What the table says to a question about a permit.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum PermitStatus {
    /// The call has not run and never will.
    NotRun(RefusalReason),
    /// The call is running.
    Running,
    /// The call has ended.
    Done(CallOutcome),
    /// This process cannot know what became of the permit.
    Unknown(UnknownReason),
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
enum CallState {
    Running(Digest),
    Ended(Digest, CallOutcome),
    Tombstone(RefusalReason),
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct TrackedPermit {
    nonce: Nonce,
    state: CallState,
}

/// Permits of one epoch, ascending by nonce.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct Epoch {
    number: u64,
    permits: Vec<TrackedPermit>,
    answer_bytes: usize,
    // A full epoch stays closed: every nonce it has not seen counts as refused,
    // which records those refusals without memory.
    closed: bool,
}

/// Remembers, per epoch, which permits ran, run or were refused on this endpoint.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct PermitTable {
    incarnation: u64,
    limits: PermitLimits,
    counter: EpochCounter,
    epochs: Vec<Epoch>,
}

impl PermitTable {
    /// Empty table of the process `incarnation`.
    pub fn new(incarnation: u64, limits: PermitLimits, now_ms: u64) -> Self {
        Self {
            incarnation,
            counter: EpochCounter::new(limits.epoch_ms, limits.retained_epochs, now_ms),
            limits,
            epochs: Vec::new(),
        }
    }

    /// Epoch that new permits should name.
    pub fn epoch(&self) -> u64 {
        self.counter.current()
    }

    /// Permits remembered.
    pub fn len(&self) -> usize {
        self.epochs.iter().map(|epoch| epoch.permits.len()).sum()
    }

    /// Whether no permit is remembered.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Moves on to the epoch of `now_ms` and drops the epochs past remembering.
    pub fn advance_epoch(&mut self, now_ms: u64) {
        if self.counter.advance(now_ms) {
            let oldest = self.counter.oldest();
            self.epochs.retain(|epoch| epoch.number >= oldest);
        }
    }

    /// Takes in a call whose request digests to `request`.
    pub fn begin_call(&mut self, permit: &Permit, request: Digest, now_ms: u64) -> CallDecision {
        self.decide(permit, request, None, now_ms)
    }

    /// Refuses a call before it is passed on, unless it is known already.
    pub fn refuse_call(
        &mut self,
        permit: &Permit,
        request: Digest,
        reason: RefusalReason,
        now_ms: u64,
    ) -> CallDecision {
        self.decide(permit, request, Some(reason), now_ms)
    }

    /// Records the outcome of a running call; later outcomes of the same call are ignored.
    pub fn finish_call(&mut self, permit: &Permit, outcome: CallOutcome) {
        let max_answer_bytes = self.limits.max_answer_bytes;
        let Some(epoch) = self.find_epoch(permit) else {
            return;
        };
        let Ok(at) = epoch.position(permit.nonce) else {
            return;
        };
        let CallState::Running(request) = epoch.permits[at].state else {
            return;
        };
        let stored = if outcome.body_bytes() > max_answer_bytes {
            CallOutcome::unknown(UnknownReason::AnswerDropped)
        } else {
            outcome
        };
        epoch.answer_bytes += stored.body_bytes();
        epoch.permits[at].state = CallState::Ended(request, stored);
    }

    /// What became of a permit; one that was not seen is refused for `reason` from now on.
    pub fn status_or_refuse(
        &mut self,
        permit: &Permit,
        reason: RefusalReason,
        now_ms: u64,
    ) -> PermitStatus {
        let limits = self.limits.clone();
        let epoch = match self.open_epoch(permit, now_ms) {
            Ok(epoch) => epoch,
            Err(reason) => return PermitStatus::Unknown(reason),
        };
        match epoch.position(permit.nonce) {
            Ok(at) => epoch.permits[at].status(),
            Err(_) if epoch.is_full(&limits) => PermitStatus::NotRun(RefusalReason::PermitsFull),
            Err(at) => {
                epoch.insert(at, permit.nonce, CallState::Tombstone(reason));
                PermitStatus::NotRun(reason)
            }
        }
    }

    fn decide(
        &mut self,
        permit: &Permit,
        request: Digest,
        refusal: Option<RefusalReason>,
        now_ms: u64,
    ) -> CallDecision {
        let limits = self.limits.clone();
        let next_epoch_ms = self.counter.next_epoch_in_ms(now_ms);
        let epoch = match self.open_epoch(permit, now_ms) {
            Ok(epoch) => epoch,
            Err(reason) => return CallDecision::Unknown(reason),
        };
        match epoch.position(permit.nonce) {
            Ok(at) => epoch.permits[at].decision_for(request),
            Err(_) if epoch.is_full(&limits) => CallDecision::Refused {
                reason: RefusalReason::PermitsFull,
                retry_after_ms: Some(next_epoch_ms),
            },
            Err(at) => match refusal {
                None => {
                    epoch.insert(at, permit.nonce, CallState::Running(request));
                    CallDecision::Run
                }
                Some(reason) => {
                    epoch.insert(at, permit.nonce, CallState::Tombstone(reason));
                    CallDecision::refused(reason)
                }
            },
        }
    }

    fn find_epoch(&mut self, permit: &Permit) -> Option<&mut Epoch> {
        if permit.incarnation != self.incarnation {
            return None;
        }
        let at = self.epoch_position(permit.epoch).ok()?;
        self.epochs.get_mut(at)
    }

    /// The epoch a permit names, if this process can vouch for it.
    fn open_epoch(&mut self, permit: &Permit, now_ms: u64) -> Result<&mut Epoch, UnknownReason> {
        self.advance_epoch(now_ms);
        if permit.incarnation != self.incarnation {
            return Err(UnknownReason::PastIncarnation);
        }
        if !self.counter.is_retained(permit.epoch) {
            return Err(UnknownReason::EpochDropped);
        }
        let at = match self.epoch_position(permit.epoch) {
            Ok(at) => at,
            Err(at) => {
                self.epochs.insert(at, Epoch::new(permit.epoch));
                at
            }
        };
        Ok(&mut self.epochs[at])
    }

    fn epoch_position(&self, number: u64) -> Result<usize, usize> {
        self.epochs
            .binary_search_by_key(&number, |epoch| epoch.number)
    }
}

impl CallDecision {
    fn refused(reason: RefusalReason) -> Self {
        Self::Refused {
            reason,
            retry_after_ms: reason.retry_after_ms(),
        }
    }
}

impl Epoch {
    fn new(number: u64) -> Self {
        Self {
            number,
            permits: Vec::new(),
            answer_bytes: 0,
            closed: false,
        }
    }

    fn position(&self, nonce: Nonce) -> Result<usize, usize> {
        self.permits
            .binary_search_by_key(&nonce, |permit| permit.nonce)
    }

    /// Whether no unseen nonce may be recorded any more.
    fn is_full(&mut self, limits: &PermitLimits) -> bool {
        self.closed |= self.permits.len() >= limits.max_epoch_permits;
        self.closed |= self.answer_bytes >= limits.max_epoch_bytes;
        self.closed
    }

    fn insert(&mut self, at: usize, nonce: Nonce, state: CallState) {
        self.permits.insert(at, TrackedPermit { nonce, state });
    }
}

impl TrackedPermit {
    fn decision_for(&self, request: Digest) -> CallDecision {
        match &self.state {
            CallState::Running(first) if *first == request => CallDecision::Join,
            CallState::Ended(first, outcome) if *first == request => {
                CallDecision::Done(outcome.clone())
            }
            CallState::Running(_) | CallState::Ended(..) => {
                CallDecision::refused(RefusalReason::PermitReused)
            }
            CallState::Tombstone(reason) => CallDecision::refused(*reason),
        }
    }

    fn status(&self) -> PermitStatus {
        match &self.state {
            CallState::Running(_) => PermitStatus::Running,
            CallState::Ended(_, outcome) => PermitStatus::Done(outcome.clone()),
            CallState::Tombstone(reason) => PermitStatus::NotRun(*reason),
        }
    }
}
