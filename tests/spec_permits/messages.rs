use crate::fixture::answer;
use bergamotfork::calls::CallOutcome;
use bergamotfork::calls::RefusalReason;
use bergamotfork::calls::SendResult;
use bergamotfork::calls::UnknownReason;

/// Index of a handler that no longer waits; messages to or from it may still arrive.
pub const CLOSED_HANDLER: usize = usize::MAX;

/// A message that is on its way.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Message {
    /// From the caller to an entry.
    Send { entry: usize, send_no: u32 },
    /// Dispatch from an entry to the endpoint.
    Call { handler: usize },
    /// Status query from an entry to the endpoint.
    Query { handler: usize },
    /// From the endpoint to an entry.
    Reply { handler: usize, reply: ReplyKind },
}

/// Short form of a [`SendResult`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum ReplyKind {
    Answer,
    NotRun(RefusalReason),
    DispatchUnknown(UnknownReason),
    QueryUnknown(UnknownReason),
    NotSent(RefusalReason),
}

impl ReplyKind {
    /// The result that the entry derives from this reply.
    pub fn send_result(self) -> SendResult {
        match self {
            Self::Answer => SendResult::Ended(answer()),
            Self::NotRun(reason) => SendResult::Ended(CallOutcome::not_run(reason)),
            Self::DispatchUnknown(reason) => SendResult::DispatchUnknown(reason),
            Self::QueryUnknown(reason) => SendResult::QueryUnknown(reason),
            Self::NotSent(reason) => SendResult::NotSent(reason),
        }
    }
}
