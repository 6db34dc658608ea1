use std::fmt;
use std::io;

/// Why a message could not be read or written.
#[derive(Debug)]
pub enum Http1Error {
    /// The peer closed before a message began.
    Closed,
    /// The peer closed or reset in the middle of a message.
    IncompleteMessage,
    /// The bytes are no message of the protocol.
    Malformed(&'static str),
    /// The head is larger than allowed.
    HeadTooLarge,
    /// The body is larger than allowed.
    BodyTooLarge,
    /// The time allowed has passed.
    TimedOut,
    /// The connection could not be opened.
    NotConnected(io::Error),
    /// Reading or writing failed.
    Io(io::Error),
}

impl Http1Error {
    /// Short stable name for logs and metrics.
    pub fn label(&self) -> &'static str {
        match self {
            Self::Closed => "closed",
            Self::IncompleteMessage => "broken_off",
            Self::Malformed(_) => "malformed",
            Self::HeadTooLarge => "head_too_large",
            Self::BodyTooLarge => "body_too_large",
            Self::TimedOut => "timed_out",
            Self::NotConnected(_) => "not_connected",
            Self::Io(_) => "io",
        }
    }
}

impl fmt::Display for Http1Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Closed => f.write_str("the peer closed the connection"),
            Self::IncompleteMessage => f.write_str("the peer broke off in the middle of a message"),
            Self::Malformed(what) => write!(f, "not a valid HTTP/1.1 message: {what}"),
            Self::HeadTooLarge => f.write_str("the head exceeds the limit"),
            Self::BodyTooLarge => f.write_str("the body exceeds the limit"),
            Self::TimedOut => f.write_str("timed out"),
            Self::NotConnected(error) => write!(f, "cannot connect: {error}"),
            Self::Io(error) => write!(f, "connection failed: {error}"),
        }
    }
}

impl std::error::Error for Http1Error {}

impl From<io::Error> for Http1Error {
    fn from(error: io::Error) -> Self {
        Self::Io(error)
    }
}
