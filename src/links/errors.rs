use std::fmt;

/// Why a request to another process got no usable response.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum LinkError {
    /// The request was not sent completely, as no connection was made, its URL is invalid
    /// or its deadline has passed.
    NotSent(String),
    /// The connection failed after the request may have been sent.
    Broken(String),
    /// No complete response within the timeout.
    Timeout {
        /// Timeout, in milliseconds.
        timeout_ms: u64,
    },
    /// The other process responded with an error status.
    Status {
        /// HTTP status code.
        status: u16,
        /// Wait before a retry that the response suggests, in milliseconds.
        retry_after_ms: Option<u64>,
        /// Body of the response.
        body: String,
    },
    /// A message could not be encoded or decoded.
    Malformed(String),
}

impl LinkError {
    /// Whether the request certainly did not reach the other process.
    pub fn is_not_sent(&self) -> bool {
        matches!(self, Self::NotSent(_))
    }
}

impl fmt::Display for LinkError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::NotSent(cause) => write!(f, "the request was not sent: {cause}"),
            Self::Broken(cause) => write!(f, "the connection failed: {cause}"),
            Self::Timeout { timeout_ms } => write!(f, "no response within {timeout_ms} ms"),
            Self::Status { status, body, .. } => {
                write!(f, "the response has status {status}: {body}")
            }
            Self::Malformed(cause) => {
                write!(f, "the message cannot be encoded or decoded: {cause}")
            }
        }
    }
}

impl std::error::Error for LinkError {}
