use std::fmt;
use std::io;

/// Why an HTTP/1.1 message could not be read or written.
#[derive(Debug)]
pub enum Http1Error {
    /// The peer closed the connection, or sent nothing in time, before a message began.
    Closed,
    /// The peer closed the connection in the middle of a message.
    IncompleteMessage,
    /// The bytes are not a valid message; names the part that is wrong.
    Malformed(&'static str),
    /// The head exceeds its limit of bytes or header lines.
    HeadTooLarge,
    /// The body exceeds its limit of bytes.
    BodyTooLarge,
    /// The process holds too many bytes of other messages.
    NoMemory,
    /// The message was not read or written by its deadline.
    TimedOut,
    /// The connection could not be opened.
    NotConnected(io::Error),
    /// Reading or writing failed.
    Io(io::Error),
}

impl Http1Error {
    /// Name of the error in logs and metrics; part of the interface.
    pub fn label(&self) -> &'static str {
        match self {
            Self::Closed => "closed",
            Self::IncompleteMessage => "broken_off",
            Self::Malformed(_) => "malformed",
            Self::HeadTooLarge => "head_too_large",
            Self::BodyTooLarge => "body_too_large",
            Self::NoMemory => "no_memory",
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
            Self::IncompleteMessage => {
                f.write_str("the peer closed the connection in the middle of a message")
            }
            Self::Malformed(part) => write!(f, "not a valid HTTP/1.1 message: {part}"),
            Self::HeadTooLarge => f.write_str("the head of the message exceeds the limit"),
            Self::BodyTooLarge => f.write_str("the body of the message exceeds the limit"),
            Self::NoMemory => f.write_str("the process has no memory left for the message"),
            Self::TimedOut => f.write_str("the message was not read or written in time"),
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
