use std::fmt;

/// Why a call to another process gave no usable answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum LinkError {
    /// No connection was made: the request never left this process.
    NotSent(String),
    /// The connection broke after the request may have left.
    Broken(String),
    /// No answer within the time allowed.
    Timeout {
        /// Time allowed.
        timeout_ms: u64,
    },
    /// The other process answered with an error status.
    Status {
        /// HTTP status code.
        status: u16,
        /// When the other process asks to come back.
        retry_after_ms: Option<u64>,
        /// Body of the answer.
        body: String,
    },
    /// The answer could not be decoded.
    Malformed(String),
}

impl LinkError {
    /// Whether the request certainly never reached the other process.
    pub fn is_not_sent(&self) -> bool {
        matches!(self, Self::NotSent(_))
    }
}

impl fmt::Display for LinkError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::NotSent(cause) => write!(f, "no connection: {cause}"),
            Self::Broken(cause) => write!(f, "connection broke: {cause}"),
            Self::Timeout { timeout_ms } => write!(f, "no answer within {timeout_ms} ms"),
            Self::Status { status, body, .. } => write!(f, "status {status}: {body}"),
            Self::Malformed(cause) => write!(f, "answer cannot be decoded: {cause}"),
        }
    }
}

impl std::error::Error for LinkError {}
