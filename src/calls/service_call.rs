use serde::Deserialize;
use serde::Serialize;

use super::CallOutcome;
use super::Permit;
use super::RefusalReason;
use super::UnknownReason;

/// Byte sent as a heartbeat until the answer is ready.
///
/// It is nil in MessagePack; no answer starts with this byte.
pub const HEARTBEAT_BYTE: u8 = 0xc0;

/// A call of a service other than a model, from an entry to an endpoint.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct ServiceCall {
    /// Identifies the request; repeated in its answer.
    pub request_id: String,
    /// Branch that calls.
    pub branch: String,
    /// Name of the service.
    pub service: String,
    /// Path of the call within the service.
    pub path: String,
    /// JSON body of the call.
    pub body: String,
    /// Permit; present if the call must not run twice.
    pub permit: Option<Permit>,
    /// Time left for the answer, in milliseconds.
    pub deadline_ms: u64,
}

impl ServiceCall {
    /// Service and path, which the fingerprint covers together with the body.
    pub fn target(&self) -> String {
        format!("{}/{}", self.service, self.path)
    }
}

/// Query for the status of a permit, from an entry to an endpoint.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct PermitStatusQuery {
    /// Identifies the query; repeated in its answer.
    pub request_id: String,
    /// Permit that is queried.
    pub permit: Permit,
    /// Reason with which the permit is refused if its call has not arrived.
    pub reason: RefusalReason,
}

/// What an endpoint reports on a call.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum CallReport {
    /// The call ended with this outcome.
    Ended(CallOutcome),
    /// The call or query reached a process that cannot know the permit; nothing was run there.
    NotHere(UnknownReason),
}

/// Answer of an endpoint to a call or a status query.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct ServiceReply {
    /// Identifier of the request or query that is answered.
    pub request_id: String,
    /// Report on the call.
    pub told: CallReport,
}
