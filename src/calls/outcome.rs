use serde::Deserialize;
use serde::Serialize;

use super::RefusalReason;
use super::StoredAnswer;
use super::UnknownReason;

/// Final outcome of a call, as told to its caller.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum CallOutcome {
    /// The service's whole answer.
    Answer(StoredAnswer),
    /// The call was not run, and never will be under this permit.
    NotRun {
        /// Why.
        reason: RefusalReason,
        /// When to come back with a fresh permit.
        retry_after_ms: Option<u64>,
    },
    /// The call may have run.
    Unknown {
        /// Why.
        reason: UnknownReason,
        /// When to send the same permit again.
        retry_after_ms: Option<u64>,
    },
}

impl CallOutcome {
    /// Not run for `reason`, with its usual wait.
    pub fn not_run(reason: RefusalReason) -> Self {
        Self::NotRun {
            reason,
            retry_after_ms: reason.retry_after_ms(),
        }
    }

    /// Unknown for `reason`, with its usual wait.
    pub fn unknown(reason: UnknownReason) -> Self {
        Self::Unknown {
            reason,
            retry_after_ms: reason.retry_after_ms(),
        }
    }

    /// Stable code of the outcome, as shown to callers and in metrics.
    pub fn code(&self) -> &'static str {
        match self {
            Self::Answer(_) => "answer",
            Self::NotRun { reason, .. } => reason.code(),
            Self::Unknown { reason, .. } => reason.code(),
        }
    }

    /// When to come back, if coming back makes sense.
    pub fn retry_after_ms(&self) -> Option<u64> {
        match self {
            Self::Answer(_) => None,
            Self::NotRun { retry_after_ms, .. } | Self::Unknown { retry_after_ms, .. } => {
                *retry_after_ms
            }
        }
    }

    /// Bytes that keeping the outcome takes beyond its fixed size.
    pub fn body_bytes(&self) -> usize {
        match self {
            Self::Answer(answer) => answer.body.len(),
            Self::NotRun { .. } | Self::Unknown { .. } => 0,
        }
    }
}
