use serde::Deserialize;
use serde::Serialize;

use super::RefusalReason;
use super::StoredAnswer;
use super::UnknownReason;

/// Final outcome of a call, as reported to its caller.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum CallOutcome {
    /// The service's complete answer.
    Answer(StoredAnswer),
    /// The call was not run, and never will be under this permit.
    NotRun {
        /// Why it was not run.
        reason: RefusalReason,
        /// Suggested wait before a retry with a fresh permit, in milliseconds.
        retry_after_ms: Option<u64>,
    },
    /// The call may have run.
    Unknown {
        /// Why it is not known.
        reason: UnknownReason,
        /// Suggested wait before the same permit is sent again, in milliseconds.
        retry_after_ms: Option<u64>,
    },
}

impl CallOutcome {
    /// A call that was not run for `reason`, with the usual wait of the reason.
    pub fn not_run(reason: RefusalReason) -> Self {
        Self::NotRun {
            reason,
            retry_after_ms: reason.retry_after_ms(),
        }
    }

    /// A call that may have run, with the usual wait of the reason.
    pub fn unknown(reason: UnknownReason) -> Self {
        Self::Unknown {
            reason,
            retry_after_ms: reason.retry_after_ms(),
        }
    }

    /// Code for callers and metrics; part of the interface.
    pub fn code(&self) -> &'static str {
        match self {
            Self::Answer(_) => "answer",
            Self::NotRun { reason, .. } => reason.code(),
            Self::Unknown { reason, .. } => reason.code(),
        }
    }

    /// Suggested wait before a retry, in milliseconds; `None` if a retry is not suggested.
    pub fn retry_after_ms(&self) -> Option<u64> {
        match self {
            Self::Answer(_) => None,
            Self::NotRun { retry_after_ms, .. } | Self::Unknown { retry_after_ms, .. } => {
                *retry_after_ms
            }
        }
    }

    /// Size of the stored body, in bytes; 0 for an outcome without an answer.
    pub fn body_bytes(&self) -> usize {
        match self {
            Self::Answer(answer) => answer.body.len(),
            Self::NotRun { .. } | Self::Unknown { .. } => 0,
        }
    }
}
