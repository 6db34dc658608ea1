use serde::Deserialize;
use serde::Serialize;

use crate::clients::FencingNumber;
use crate::weights::Digest;

/// Order to load weights, which the engine reads from `source_url`.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct LoadOrder {
    pub order: FencingNumber,
    pub model: String,
    pub version: String,
    pub manifest: Digest,
    /// Manifest of the base model when this is an adapter.
    pub base: Option<Digest>,
    pub source_url: String,
}

/// What the engine loaded.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct LoadAnswer {
    /// Digest of all bytes that were read.
    pub whole: Digest,
}

/// Order to drop weights.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct UnloadOrder {
    pub order: FencingNumber,
    pub manifest: Digest,
}

/// Part of the work an engine takes.
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

/// Order to change role.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct RoleOrder {
    pub order: FencingNumber,
    pub role: EngineRole,
}

/// Weights an engine holds.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadedWeights {
    pub model: String,
    pub version: String,
    pub manifest: Digest,
    pub whole: Digest,
}

/// State of an engine.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct EngineState {
    pub loaded: Vec<LoadedWeights>,
    /// Highest order number the engine has seen.
    pub highest_order: Option<FencingNumber>,
    pub running: u32,
    pub queued: u32,
    pub cached_blocks: u32,
    /// Streams that were started.
    #[serde(default)]
    pub started: u64,
    /// Prompt blocks looked up in the cache.
    #[serde(default)]
    pub prompt_blocks: u64,
    /// Prompt blocks found there.
    #[serde(default)]
    pub hit_blocks: u64,
    pub role: EngineRole,
}

/// One request for tokens.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct GenerateOrder {
    pub request_id: String,
    pub model: String,
    pub manifest: Digest,
    pub prompt: String,
    pub max_tokens: u32,
    pub seed: u64,
    /// Higher goes first.
    pub priority: u8,
    /// Index of the first token wanted.
    pub resume_from: u32,
    /// Time left for the whole answer.
    pub deadline_ms: u64,
}

/// Order to stop a stream.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct CancelOrder {
    pub request_id: String,
}

/// Why an engine refused an order or broke a stream off.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum EngineErrorCode {
    /// A later order has been seen.
    StaleOrder,
    /// The weights asked for are not loaded.
    NotLoaded,
    /// The base model of an adapter is not loaded.
    BaseNotLoaded,
    /// The weights could not be read from their source.
    SourceFailed,
    /// The stream was cancelled.
    Cancelled,
    /// The deadline passed.
    DeadlinePassed,
    /// A reason this program does not know.
    #[serde(other)]
    Other,
}

impl EngineErrorCode {
    /// Name in metrics and answers.
    pub fn name(self) -> &'static str {
        match self {
            Self::StaleOrder => "stale_order",
            Self::NotLoaded => "not_loaded",
            Self::BaseNotLoaded => "base_not_loaded",
            Self::SourceFailed => "source_failed",
            Self::Cancelled => "cancelled",
            Self::DeadlinePassed => "deadline_passed",
            Self::Other => "other",
        }
    }
}

/// Body of a refused order.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct EngineRefusal {
    pub code: EngineErrorCode,
    /// Highest order seen, when the order was stale.
    pub highest: Option<FencingNumber>,
}

/// One line of a token stream.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "kind", rename_all = "snake_case")]
pub enum StreamEvent {
    /// The next token.
    Token { index: u32, text: String },
    /// Nothing to say yet; the connection is alive.
    Beat,
    /// The answer is whole.
    End {
        request_id: String,
        /// Index after the last token.
        tokens: u32,
        manifest: Digest,
        whole: Digest,
    },
    /// The stream broke off.
    Error {
        code: EngineErrorCode,
        message: String,
    },
}

impl StreamEvent {
    /// The event as one line with its newline.
    pub fn to_line(&self) -> Vec<u8> {
        let mut line = serde_json::to_vec(self).expect("stream events have no failing fields");
        line.push(b'\n');
        line
    }
}
