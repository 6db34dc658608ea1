use crate::fixture::answer;
use bergamotfork::calls::CallOutcome;
use bergamotfork::calls::RefusalReason;
use bergamotfork::calls::Reply;
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
    ArrivedUnknown(UnknownReason),
    AskedUnknown(UnknownReason),
    Closed(RefusalReason),
}

impl Told {
    pub fn reply(self) -> Reply {
        match self {
            Self::Answer => Reply::Ended(answer()),
            Self::NotRun(reason) => Reply::Ended(CallOutcome::not_run(reason)),
            Self::ArrivedUnknown(reason) => Reply::ArrivedUnknown(reason),
            Self::AskedUnknown(reason) => Reply::AskedUnknown(reason),
            Self::Closed(reason) => Reply::NeverLeft(reason),
        }
    }
}
