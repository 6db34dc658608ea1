use super::CallOutcome;
use super::RefusalReason;
use super::UnknownReason;

/// Result of one send of a permit, as far as the entry knows it.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub enum SendResult {
    /// The endpoint reported this outcome from its permit table.
    Ended(CallOutcome),
    /// The dispatch reached a process that cannot know the permit; it was not run there.
    DispatchUnknown(UnknownReason),
    /// A status query reached a process that cannot know the permit.
    QueryUnknown(UnknownReason),
    /// No byte of the call was sent by this entry.
    NotSent(RefusalReason),
    /// No outcome was received, and the call may have been sent.
    Lost(UnknownReason),
}

/// Sends and dispatches of a permit at the time when one of its sends ends.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct PermitHistory {
    /// Number that the caller gave this send, starting at 1.
    pub send_no: u32,
    /// Highest send number of the permit that this entry has received.
    pub latest_send_no: u32,
    /// Dispatches of the permit by this entry; `None` if the number is not known.
    pub dispatches: Option<u32>,
}

impl PermitHistory {
    /// Whether this is the only send of the permit known here, with `count` dispatches in total.
    fn is_sole_send(self, count: u32) -> bool {
        self.send_no == 1 && self.latest_send_no == 1 && self.dispatches == Some(count)
    }
}

/// Determines the outcome to report to the caller.
///
/// A call counts as not run only if it has not run and never will.
pub fn determine_outcome(result: SendResult, history: PermitHistory) -> CallOutcome {
    match result {
        SendResult::Ended(outcome) => outcome,
        SendResult::DispatchUnknown(reason) if history.is_sole_send(1) => never_ran(reason),
        SendResult::DispatchUnknown(reason) => CallOutcome::unknown(reason),
        SendResult::QueryUnknown(reason) if history.is_sole_send(0) => never_ran(reason),
        SendResult::QueryUnknown(reason) => CallOutcome::unknown(reason),
        SendResult::NotSent(reason) if history.is_sole_send(0) => CallOutcome::not_run(reason),
        SendResult::NotSent(_) => CallOutcome::unknown(UnknownReason::OtherSend),
        SendResult::Lost(reason) => CallOutcome::unknown(reason),
    }
}

/// Outcome of a call that did not run and never will, because its permit is no longer valid.
fn never_ran(reason: UnknownReason) -> CallOutcome {
    CallOutcome::not_run(match reason {
        UnknownReason::EpochDropped => RefusalReason::PermitExpired,
        _ => RefusalReason::Replaced,
    })
}
