use serde::Deserialize;
use serde::Serialize;

use crate::calls::fingerprint;
use crate::weights::Digest;

/// Bytes of a prompt that cost about as much time as one decoded token: engines read
/// some 64 tokens of 4 bytes in the time in which they make one.
const PROMPT_BYTES_PER_TOKEN: u64 = 256;

/// A request for tokens, from an entry to an endpoint.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct GenerateCall {
    /// Names the request in every answer to it.
    pub request_id: String,
    /// Branch it counts for.
    pub branch: String,
    /// Name of the model.
    pub model: String,
    /// The only weights it may be answered with.
    pub manifest: Digest,
    /// What the model continues.
    pub prompt: String,
    /// Most tokens wanted.
    pub max_tokens: u32,
    /// Seed of the sampling.
    pub seed: u64,
    /// Higher goes first on the engine.
    pub priority: u8,
    /// Index of the first token wanted.
    #[serde(default)]
    pub resume_from: u32,
    /// Time left for the whole answer.
    pub deadline_ms: u64,
    /// Whether the request was near a crash and must run with no other such request.
    #[serde(default)]
    pub is_suspect: bool,
}

impl GenerateCall {
    /// Names the request wherever its caller sends it again.
    pub fn fingerprint(&self) -> Digest {
        fingerprint(&format!("model {}", self.model), self.prompt.as_bytes())
    }

    /// What the request is expected to cost, in decoded tokens.
    pub fn cost_tokens(&self) -> u64 {
        let decoded = self.max_tokens.saturating_sub(self.resume_from);
        u64::from(decoded) + self.prompt_tokens()
    }

    /// What reading the prompt costs, in decoded tokens.
    pub fn prompt_tokens(&self) -> u64 {
        self.prompt.len() as u64 / PROMPT_BYTES_PER_TOKEN + 1
    }
}
