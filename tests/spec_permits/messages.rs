use crate::fixture::answer;
use bergamotfork::calls::CallOutcome;
use bergamotfork::calls::RefusalReason;
use bergamotfork::calls::SendResult;
use bergamotfork::calls::UnknownReason;

/// Number of a handler that no longer waits; its messages may still arrive.
pub const GONE: usize = usize::MAX;

#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Message {
    Send { entry: usize, send_no: u32 },
    Call { handler: usize },
    Ask { handler: usize },
    Reply { handler: usize, answer: Told },
}

/// Short form of a reply on its way.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Told {
    Answer,
    NotRun(RefusalReason),
    DispatchUnknown(UnknownReason),
    QueryUnknown(UnknownReason),
    Closed(RefusalReason),
}

impl Told {
    pub fn reply(self) -> SendResult {
        match self {
            Self::Answer => SendResult::Ended(answer()),
            Self::NotRun(reason) => SendResult::Ended(CallOutcome::not_run(reason)),
            Self::DispatchUnknown(reason) => SendResult::DispatchUnknown(reason),
            Self::QueryUnknown(reason) => SendResult::QueryUnknown(reason),
            Self::Closed(reason) => SendResult::NotSent(reason),
        }
    }
}
