use super::CallOutcome;
use super::RefusalReason;
use super::UnknownReason;

/// What an entry learned about one send of a permit.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub enum SendResult {
    /// The endpoint's permit table holds this outcome.
    Ended(CallOutcome),
    /// The dispatch reached a process that cannot know the permit, and was not run there.
    DispatchUnknown(UnknownReason),
    /// The nonce was asked for at a process that cannot know the permit.
    QueryUnknown(UnknownReason),
    /// No byte of the call left this entry.
    NotSent(RefusalReason),
    /// The call left; neither an answer nor a word on the nonce came back.
    Lost(UnknownReason),
}

/// What the entry knows of a send when it answers.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct SendHistory {
    /// The caller's number of this send, from 1.
    pub send_no: u32,
    /// Highest number of a send of the permit seen here.
    pub latest_send_no: u32,
    /// Dispatches of the permit by this entry; `None` where it cannot vouch for the count.
    pub dispatches: Option<u32>,
}

impl SendHistory {
    /// Whether the caller sent the permit once and this entry dispatched it `count` times in all.
    fn is_sole_send(self, count: u32) -> bool {
        self.send_no == 1 && self.latest_send_no == 1 && self.dispatches == Some(count)
    }
}

/// The outcome to tell the caller; "not run" only of a call that never ran and never will.
pub fn determine_outcome(reply: SendResult, facts: SendHistory) -> CallOutcome {
    match reply {
        SendResult::Ended(outcome) => outcome,
        SendResult::DispatchUnknown(reason) if facts.is_sole_send(1) => never_ran(reason),
        SendResult::DispatchUnknown(reason) => CallOutcome::unknown(reason),
        SendResult::QueryUnknown(reason) if facts.is_sole_send(0) => never_ran(reason),
        SendResult::QueryUnknown(reason) => CallOutcome::unknown(reason),
        SendResult::NotSent(reason) if facts.is_sole_send(0) => CallOutcome::not_run(reason),
        SendResult::NotSent(_) => CallOutcome::unknown(UnknownReason::OtherSend),
        SendResult::Lost(reason) => CallOutcome::unknown(reason),
    }
}

fn never_ran(reason: UnknownReason) -> CallOutcome {
    CallOutcome::not_run(match reason {
        UnknownReason::EpochDropped => RefusalReason::PermitExpired,
        _ => RefusalReason::Replaced,
    })
}
