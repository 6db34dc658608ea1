use serde::Deserialize;
use serde::Serialize;

use crate::clients::FencingNumber;
use crate::weights::Digest;

/// Order to load the weights of a model version.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct LoadOrder {
    /// Fencing number of the order.
    pub order: FencingNumber,
    /// Name of the model.
    pub model: String,
    /// Name of the version.
    pub version: String,
    /// Digest of the version's manifest.
    pub manifest: Digest,
    /// Digest of all bytes of the weights. An engine that compares it before it takes what it
    /// read never replaces loaded weights by a cut read.
    pub whole: Digest,
    /// Digest of the base model's manifest, when the weights are an adapter.
    pub base: Option<Digest>,
    /// URL that the engine reads the weights from.
    pub source_url: String,
}

/// Response of the engine when it has loaded weights.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct LoadAnswer {
    /// Digest of all bytes that the engine read.
    pub whole: Digest,
}

/// Order to unload weights.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct UnloadOrder {
    /// Fencing number of the order.
    pub order: FencingNumber,
    /// Digest of the weights' manifest.
    pub manifest: Digest,
}

/// Phases of generation that an engine runs.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum EngineRole {
    /// Prefill and decode.
    Both,
    /// Prefill only.
    Prefill,
    /// Decode only.
    Decode,
}

/// Order to change the engine's role.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct RoleOrder {
    /// Fencing number of the order.
    pub order: FencingNumber,
    /// Role to take.
    pub role: EngineRole,
}

/// Weights that an engine has loaded.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadedWeights {
    /// Name of the model.
    pub model: String,
    /// Name of the version.
    pub version: String,
    /// Digest of the version's manifest.
    pub manifest: Digest,
    /// Digest of all bytes that the engine read.
    pub whole: Digest,
}

/// State of an engine.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct EngineState {
    /// Weights that are loaded.
    pub loaded: Vec<LoadedWeights>,
    /// Highest fencing number that the engine has received.
    pub highest_order: Option<FencingNumber>,
    /// Requests that run.
    pub running: u32,
    /// Requests that wait to run.
    pub queued: u32,
    /// Prompt blocks in the prefix cache.
    pub cached_blocks: u32,
    /// Token streams started since the engine started.
    #[serde(default)]
    pub started: u64,
    /// Prompt blocks looked up in the prefix cache.
    #[serde(default)]
    pub prompt_blocks: u64,
    /// Prompt blocks found in the prefix cache.
    #[serde(default)]
    pub hit_blocks: u64,
    /// Role of the engine.
    pub role: EngineRole,
}

/// Order to generate tokens; unlike the other orders it has no fencing number.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct GenerateOrder {
    /// Identifies the request; repeated in the end of the stream.
    pub request_id: String,
    /// Name of the model.
    pub model: String,
    /// Digest of the manifest of the weights to use.
    pub manifest: Digest,
    /// Text to continue.
    pub prompt: String,
    /// Most tokens to generate.
    pub max_tokens: u32,
    /// Seed of the sampling.
    pub seed: u64,
    /// Priority; requests with a higher one run first.
    pub priority: u8,
    /// Index of the first token to send; the tokens before it were sent earlier.
    pub resume_from: u32,
    /// Time left for the complete answer, in milliseconds.
    pub deadline_ms: u64,
}

/// Order to stop a token stream.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct CancelOrder {
    /// Request whose stream is stopped.
    pub request_id: String,
}

/// Why an engine refused an order or ended a stream early.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum EngineErrorCode {
    /// The engine has received an order with a higher fencing number.
    StaleOrder,
    /// The requested weights are not loaded.
    NotLoaded,
    /// The base model of an adapter is not loaded.
    BaseNotLoaded,
    /// The weights could not be read from their source.
    SourceFailed,
    /// The bytes read from the source do not have the digest of the order.
    WrongContent,
    /// The stream was cancelled.
    Cancelled,
    /// The deadline passed.
    DeadlinePassed,
    /// A code that this version of the program does not know.
    #[serde(other)]
    Other,
}

impl EngineErrorCode {
    /// Name of the code in metrics and messages, as serialised.
    pub fn name(self) -> &'static str {
        match self {
            Self::StaleOrder => "stale_order",
            Self::NotLoaded => "not_loaded",
            Self::BaseNotLoaded => "base_not_loaded",
            Self::SourceFailed => "source_failed",
            Self::WrongContent => "wrong_content",
            Self::Cancelled => "cancelled",
            Self::DeadlinePassed => "deadline_passed",
            Self::Other => "other",
        }
    }
}

/// Body of a refused order.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct EngineRefusal {
    /// Why the order was refused.
    pub code: EngineErrorCode,
    /// Highest fencing number that the engine has received, when the order was stale.
    pub highest: Option<FencingNumber>,
}

/// Event of a token stream, sent as one line of JSON.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "kind", rename_all = "snake_case")]
pub enum StreamEvent {
    /// The next token; its index counts from the start of the answer.
    Token { index: u32, text: String },
    /// Heartbeat while no token is ready; shows that the connection works.
    Beat,
    /// The answer is complete.
    End {
        /// Request that the stream answers.
        request_id: String,
        /// Index after the last token.
        tokens: u32,
        /// Digest of the manifest of the weights that were used.
        manifest: Digest,
        /// Digest of all bytes of the weights that were used.
        whole: Digest,
    },
    /// The stream ended early.
    Error {
        /// Why it ended.
        code: EngineErrorCode,
        /// Explanation for people.
        message: String,
    },
}

impl StreamEvent {
    /// Encodes the event as a line of JSON with its newline.
    pub fn to_line(&self) -> Vec<u8> {
        let mut line = serde_json::to_vec(self).expect("all fields of an event can be serialised");
        line.push(b'\n');
        line
    }
}
