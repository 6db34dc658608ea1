use super::CallOutcome;
use super::EpochCounter;
use super::Nonce;
use super::Permit;
use super::RefusalReason;
use super::UnknownReason;
use crate::weights::Digest;

/// Limits of a permit table.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct PermitLimits {
    /// Length of an epoch, in milliseconds.
    pub epoch_ms: u64,
    /// Number of epochs remembered, the current one included.
    pub retained_epochs: u64,
    /// Largest number of permits remembered in one epoch.
    pub max_epoch_permits: usize,
    /// Bytes of stored answers from which an epoch records no further permits.
    pub max_epoch_bytes: usize,
    /// Largest answer stored, in bytes.
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

/// How an endpoint treats a call that arrives with a permit.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CallDecision {
    /// The permit is new; the call is recorded as running and must now be run.
    Run,
    /// The call is running already; the caller waits for its outcome.
    Join,
    /// The call has ended.
    Ended(CallOutcome),
    /// The call has not run and never will.
    Refused {
        /// Why it was refused.
        reason: RefusalReason,
        /// Suggested wait before a retry with a fresh permit, in milliseconds.
        retry_after_ms: Option<u64>,
    },
    /// This process cannot know what became of the permit.
    Unknown(UnknownReason),
}

/// What an endpoint knows of the call under a permit.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum PermitStatus {
    /// The call has not run and never will.
    NotRun(RefusalReason),
    /// The call is running.
    Running,
    /// The call has ended.
    Ended(CallOutcome),
    /// This process cannot know what became of the permit.
    Unknown(UnknownReason),
}

/// State of the call under a permit; the digest is that of the request with which the permit
/// was first used.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
enum CallState {
    Running(Digest),
    Ended(Digest, CallOutcome),
    /// Refused; the nonce will not run.
    Tombstone(RefusalReason),
}

/// A permit that the table remembers.
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
    // Bytes of the stored answers.
    answer_bytes: usize,
    // Set when the epoch is full, and never reset: every nonce that is not listed
    // then counts as refused, which records these refusals without using memory.
    is_closed: bool,
}

/// Permits that have run, are running or were refused on this endpoint, by epoch.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct PermitTable {
    incarnation: u64,
    limits: PermitLimits,
    counter: EpochCounter,
    // Ascending by number.
    epochs: Vec<Epoch>,
}

impl PermitTable {
    /// Empty table for a process of the given incarnation.
    pub fn new(incarnation: u64, limits: PermitLimits, now_ms: u64) -> Self {
        Self {
            incarnation,
            counter: EpochCounter::new(limits.epoch_ms, limits.retained_epochs, now_ms),
            limits,
            epochs: Vec::new(),
        }
    }

    /// Current epoch, which new permits name.
    pub fn epoch(&self) -> u64 {
        self.counter.current()
    }

    /// Number of permits remembered.
    pub fn len(&self) -> usize {
        self.epochs.iter().map(|epoch| epoch.permits.len()).sum()
    }

    /// Whether no permit is remembered.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Advances to the epoch of `now_ms` and drops the epochs that are no longer remembered.
    pub fn advance_epoch(&mut self, now_ms: u64) {
        if self.counter.advance(now_ms) {
            let oldest = self.counter.oldest();
            self.epochs.retain(|epoch| epoch.number >= oldest);
        }
    }

    /// Decides on a call that may start here; `request` is the digest of its request.
    pub fn begin_call(&mut self, permit: &Permit, request: Digest, now_ms: u64) -> CallDecision {
        self.decide(permit, request, None, now_ms)
    }

    /// Decides on a call that must not start here: refuses it unless its permit is known.
    pub fn refuse_call(
        &mut self,
        permit: &Permit,
        request: Digest,
        reason: RefusalReason,
        now_ms: u64,
    ) -> CallDecision {
        self.decide(permit, request, Some(reason), now_ms)
    }

    /// Records the outcome of a running call.
    ///
    /// Further outcomes of the same call are ignored, and an answer above the limit
    /// is replaced by [`UnknownReason::AnswerDropped`].
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

    /// Status of a permit; one that is not known is refused for `reason` from now on.
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

    /// Decides on a call; a permit that is not known runs, or is refused for `refusal`.
    fn decide(
        &mut self,
        permit: &Permit,
        request: Digest,
        refusal: Option<RefusalReason>,
        now_ms: u64,
    ) -> CallDecision {
        let limits = self.limits.clone();
        let next_epoch_in_ms = self.counter.next_epoch_in_ms(now_ms);
        let epoch = match self.open_epoch(permit, now_ms) {
            Ok(epoch) => epoch,
            Err(reason) => return CallDecision::Unknown(reason),
        };
        match epoch.position(permit.nonce) {
            Ok(at) => epoch.permits[at].decision_for(request),
            Err(_) if epoch.is_full(&limits) => CallDecision::Refused {
                reason: RefusalReason::PermitsFull,
                retry_after_ms: Some(next_epoch_in_ms),
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

    /// The epoch that a permit names, if the permit is of this incarnation and the epoch has a
    /// record.
    fn find_epoch(&mut self, permit: &Permit) -> Option<&mut Epoch> {
        if permit.incarnation != self.incarnation {
            return None;
        }
        let at = self.epoch_position(permit.epoch).ok()?;
        self.epochs.get_mut(at)
    }

    /// The epoch that a permit names, created if it has no record yet.
    ///
    /// # Errors
    ///
    /// Why this process cannot know the permit: it names another incarnation, or an
    /// epoch that is not remembered.
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

    /// Index of an epoch, or the index at which it belongs.
    fn epoch_position(&self, number: u64) -> Result<usize, usize> {
        self.epochs
            .binary_search_by_key(&number, |epoch| epoch.number)
    }
}

impl CallDecision {
    /// A refusal with the usual wait of its reason.
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
            is_closed: false,
        }
    }

    /// Index of a nonce, or the index at which it belongs.
    fn position(&self, nonce: Nonce) -> Result<usize, usize> {
        self.permits
            .binary_search_by_key(&nonce, |permit| permit.nonce)
    }

    /// Whether no further nonce may be recorded; closes the epoch if so.
    fn is_full(&mut self, limits: &PermitLimits) -> bool {
        self.is_closed |= self.permits.len() >= limits.max_epoch_permits;
        self.is_closed |= self.answer_bytes >= limits.max_epoch_bytes;
        self.is_closed
    }

    fn insert(&mut self, at: usize, nonce: Nonce, state: CallState) {
        self.permits.insert(at, TrackedPermit { nonce, state });
    }
}

impl TrackedPermit {
    /// Decision on a further send of a known permit, with `request` as its request.
    fn decision_for(&self, request: Digest) -> CallDecision {
        match &self.state {
            CallState::Running(first) if *first == request => CallDecision::Join,
            CallState::Ended(first, outcome) if *first == request => {
                CallDecision::Ended(outcome.clone())
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
            CallState::Ended(_, outcome) => PermitStatus::Ended(outcome.clone()),
            CallState::Tombstone(reason) => PermitStatus::NotRun(*reason),
        }
    }
}
