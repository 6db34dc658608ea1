use crate::fixture::answer;
use bergamotfork::calls::CallOutcome;
use bergamotfork::calls::RefusalReason;
use bergamotfork::calls::SendResult;
use bergamotfork::calls::UnknownReason;

/// Number of a handler that no longer waits; its messages may still arrive.
pub const CLOSED_HANDLER: usize = usize::MAX;

#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Message {
    Send { entry: usize, send_no: u32 },
    Call { handler: usize },
    Query { handler: usize },
    Reply { handler: usize, reply: ReplyKind },
}

/// Short form of a reply on its way.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum ReplyKind {
    Answer,
    NotRun(RefusalReason),
    DispatchUnknown(UnknownReason),
    QueryUnknown(UnknownReason),
    NotSent(RefusalReason),
}

impl ReplyKind {
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
