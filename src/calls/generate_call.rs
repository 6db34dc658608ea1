use serde::Deserialize;
use serde::Serialize;

use crate::calls::fingerprint;
use crate::weights::Digest;

/// Bytes of a prompt that take about as long as one decoded token: engines process
/// some 64 prompt tokens of 4 bytes in the time for one decoding step.
const PROMPT_BYTES_PER_TOKEN: u64 = 256;

/// A request for tokens, from an entry to an endpoint.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct GenerateCall {
    /// Identifies the request in every answer to it.
    pub request_id: String,
    /// Branch on whose behalf the request is made.
    pub branch: String,
    /// Name of the model.
    pub model: String,
    /// Digest of the manifest of the only weights with which it may be answered.
    pub manifest: Digest,
    /// Text that the model continues.
    pub prompt: String,
    /// Largest number of tokens wanted.
    pub max_tokens: u32,
    /// Seed of the sampler.
    pub seed: u64,
    /// Priority on the engine; a higher value goes first.
    pub priority: u8,
    /// Index of the first token wanted; above 0 when a broken stream is resumed.
    #[serde(default)]
    pub resume_from: u32,
    /// Time left for the complete answer, in milliseconds.
    pub deadline_ms: u64,
    /// Whether the request is a crash suspect and must run with no other one on the endpoint.
    #[serde(default)]
    pub is_suspect: bool,
}

impl GenerateCall {
    /// Digest of model and prompt; the same when the caller sends the request again.
    pub fn fingerprint(&self) -> Digest {
        fingerprint(&format!("model {}", self.model), self.prompt.as_bytes())
    }

    /// Expected cost of the request, in decoded tokens.
    pub fn cost_tokens(&self) -> u64 {
        let decoded = self.max_tokens.saturating_sub(self.resume_from);
        u64::from(decoded) + self.prompt_tokens()
    }

    /// Cost of processing the prompt, in decoded tokens.
    pub fn prompt_tokens(&self) -> u64 {
        self.prompt.len() as u64 / PROMPT_BYTES_PER_TOKEN + 1
    }
}
