use serde::Deserialize;
use serde::Serialize;

use crate::calls::Permit;

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

/// The service's whole answer, from an endpoint to an entry.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct ServiceReply {
    /// Name of the request it answers.
    pub request_id: String,
    /// JSON body of the answer.
    pub body: String,
}
