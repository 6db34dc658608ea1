use serde::Deserialize;
use serde::Serialize;

use crate::calls::RunCauses;
use crate::calls::fingerprint;
use crate::weights::Digest;

/// Bytes of a prompt that take about as long as one decoded token: engines process
/// some 64 prompt tokens of 4 bytes in the time for one decoding step.
const PROMPT_BYTES_PER_TOKEN: u64 = 256;

/// Shortest beginning of a prompt that may be the cause of a crash, in bytes.
const MIN_BEGINNING_BYTES: usize = 64;

/// Each longer one has this share of the length more: few for a long prompt.
const BEGINNING_STEP_SHARE: usize = 5;

/// Largest number of beginnings of a prompt that are told apart.
const MAX_BEGINNINGS: usize = 64;

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

    /// What may be the cause if the request crashes an engine: itself, or a beginning of its
    /// prompt that other prompts may have as well.
    pub fn causes(&self) -> RunCauses {
        let prompt = self.prompt.as_bytes();
        let lengths = beginning_lengths().take_while(|length| *length < prompt.len());
        let beginnings = lengths.map(|length| &prompt[..length]);
        RunCauses::new(self.fingerprint(), &self.model, beginnings)
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

/// Lengths of the beginnings of prompts that are told apart, ascending, in bytes.
fn beginning_lengths() -> impl Iterator<Item = usize> {
    let next = |length: &usize| length.checked_add(length / BEGINNING_STEP_SHARE);
    std::iter::successors(Some(MIN_BEGINNING_BYTES), next).take(MAX_BEGINNINGS)
}
