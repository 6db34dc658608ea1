use std::fmt;

use serde::Deserialize;
use serde::Serialize;

/// Reason why the fair queue refuses a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum QueueRefusal {
    /// The branch has as many requests waiting as it may.
    BranchQueueFull,
    /// The endpoint has as many requests waiting as it may.
    QueueFull,
    /// The request is predicted to miss its deadline.
    DeadlineTooNear,
    /// The deadline passed while the request waited.
    DeadlinePassed,
}

impl QueueRefusal {
    /// Stable name in metrics and answers.
    pub fn name(self) -> &'static str {
        match self {
            Self::BranchQueueFull => "branch_queue_full",
            Self::QueueFull => "queue_full",
            Self::DeadlineTooNear => "deadline_too_near",
            Self::DeadlinePassed => "deadline_passed",
        }
    }
}

impl fmt::Display for QueueRefusal {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.name())
    }
}
