use serde::Deserialize;
use serde::Serialize;

use crate::weights::Digest;

/// A request for tokens, from an entry to an endpoint.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct GenerateCall {
    /// Name of the request, echoed in its answer.
    pub request_id: String,
    /// Branch that asks.
    pub branch: String,
    /// Name of the model.
    pub model: String,
    /// Manifest of the only version that may answer.
    pub manifest: Digest,
    /// Text to continue.
    pub prompt: String,
    /// Most tokens wanted.
    pub max_tokens: u32,
    /// Seed of the sampling.
    pub seed: u64,
    /// Higher goes first.
    pub priority: u8,
    /// Time left for the whole answer.
    pub deadline_ms: u64,
}
