use serde::Deserialize;
use serde::Serialize;

use super::CallOutcome;
use super::Permit;
use super::RefusalReason;
use super::UnknownReason;

/// Byte of a heartbeat before an answer; no answer starts with it.
pub const HEARTBEAT_BYTE: u8 = 0xc0;

/// A call of a plain service, from an entry to an endpoint.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct ServiceCall {
    /// Name of the request, echoed in its answer.
    pub request_id: String,
    /// Branch that calls.
    pub branch: String,
    /// Name of the service.
    pub service: String,
    /// Path of the call.
    pub path: String,
    /// JSON body of the call.
    pub body: String,
    /// Permit of a call that may not be repeated.
    pub permit: Option<Permit>,
    /// Time left for the answer.
    pub deadline_ms: u64,
}

impl ServiceCall {
    /// What the call is for, as part of its fingerprint.
    pub fn target(&self) -> String {
        format!("{}/{}", self.service, self.path)
    }
}

/// Asks an endpoint what became of a permit.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct PermitStatusQuery {
    /// Name of the question, echoed in its answer.
    pub request_id: String,
    /// The permit.
    pub permit: Permit,
    /// Why it is refused if the call has not arrived.
    pub reason: RefusalReason,
}

/// What an endpoint says of a call.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum CallReport {
    /// The call has this outcome.
    Ended(CallOutcome),
    /// The call or question met a process that cannot know the permit, and did not run there.
    NotHere(UnknownReason),
}

/// Answer of an endpoint to a call or a question.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct ServiceReply {
    /// Name of the request it answers.
    pub request_id: String,
    /// What it says.
    pub told: CallReport,
}
