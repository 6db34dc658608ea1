/// A protective rule, which an exploration can omit.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Rule {
    /// A status query for a nonce that is not known records a refusal.
    Tombstone,
    /// Only the first send may be reported as not run for a past incarnation.
    FirstSendOnly,
    /// The caller ignores answers to all sends but the latest.
    LatestSendOnly,
    /// The outcome depends on the number of dispatches when the answer is given.
    CountAtAnswer,
    /// The table refuses permits of other incarnations.
    CheckedIncarnation,
    /// The table refuses permits of dropped epochs.
    CheckedEpoch,
    /// An entry counts dispatches only of permits that its process issued.
    OwnPermitsOnly,
    /// The HTTP client does not resend a dispatch by itself.
    SingleDelivery,
    /// A status query that reaches a new process does not show where the call went.
    SeparateQueryResult,
    /// An entry that reported "not run" does not dispatch the permit again.
    ClosedAfterNotRun,
}

/// Largest number of events of each kind in an exploration.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct Bounds {
    /// Sends of the permit by its caller.
    pub sends: u32,
    /// Restarts, and starts of a new epoch.
    pub restarts: u32,
    /// Duplicated messages.
    pub duplicates: u32,
    /// Status queries.
    pub queries: u32,
}
