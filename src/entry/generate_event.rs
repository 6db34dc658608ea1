use serde::Serialize;

use crate::entry::ApiError;
use crate::weights::Digest;

/// One line of the token stream that is sent to a caller.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
#[serde(tag = "kind", rename_all = "snake_case")]
pub(super) enum GenerateEvent {
    /// The next token.
    Token { index: u32, text: String },
    /// Heartbeat: the connection is alive.
    Beat,
    /// The answer is complete.
    End {
        request_id: String,
        tokens: u32,
        manifest: Digest,
        whole: Digest,
    },
    /// The answer ends here and is incomplete.
    Error {
        request_id: String,
        code: &'static str,
        message: String,
        retry_after_ms: Option<u64>,
    },
}

impl GenerateEvent {
    /// The event that ends the stream of a request with an error.
    pub(super) fn error(request_id: &str, error: &ApiError) -> Self {
        let retry_after_ms = match error {
            ApiError::Retryable { retry_after_ms, .. } => Some(*retry_after_ms),
            ApiError::Plain { .. } | ApiError::Detailed { .. } => None,
        };
        Self::Error {
            request_id: request_id.to_owned(),
            code: error.code().name(),
            message: error.message().to_owned(),
            retry_after_ms,
        }
    }

    /// The event as one line with its newline.
    pub(super) fn to_line(&self) -> Vec<u8> {
        let mut line = serde_json::to_vec(self).expect("events have no failing fields");
        line.push(b'\n');
        line
    }
}
