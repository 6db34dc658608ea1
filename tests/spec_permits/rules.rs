/// A protective rule that can be taken out.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Rule {
    /// Asking for an unseen nonce records a refusal.
    Tombstone,
    /// Only send 1 may be told "not run" for a past incarnation.
    FirstSendOnly,
    /// The caller ignores answers to earlier sends.
    LatestSendOnly,
    /// Dispatches are counted when the answer is given.
    CountAtAnswer,
    /// The table refuses permits of other incarnations.
    CheckedIncarnation,
    /// The table refuses permits of dropped epochs.
    CheckedEpoch,
    /// An entry vouches only for permits this process issued.
    OwnPermitsOnly,
    /// The HTTP client never resends a dispatch by itself.
    SingleDelivery,
    /// A question that meets a new process says nothing of where the call went.
    SeparateQueryResult,
    /// An entry that told "not run" never dispatches the permit again.
    ClosedAfterNotRun,
}

/// How much may happen in an exploration.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct Bounds {
    /// Sends of the permit by its caller.
    pub sends: u32,
    /// Restarts and turns of the epoch.
    pub restarts: u32,
    /// Messages that arrive twice.
    pub duplicates: u32,
    /// Questions for the nonce.
    pub queries: u32,
}
