use std::fmt;

/// Reason why the bytes of a log record are not a valid record of the document.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum DocumentError {
    /// The record is empty.
    Empty,
    /// The version byte is not one that this program supports.
    UnknownVersion {
        /// Version byte of the record.
        version: u8,
    },
    /// The bytes after the version byte do not decode.
    Undecodable {
        /// Message of the decoder.
        reason: String,
    },
    /// An id, team or section name is empty, too long or holds control characters or brackets.
    InvalidIdentifier {
        /// Name of the field.
        field: &'static str,
        /// Value of the field.
        value: String,
    },
    /// A body contains a section header.
    HeaderInBody {
        /// Line with the section header.
        line: String,
    },
    /// A checkpoint's digest does not match its contents.
    CorruptCheckpoint {
        /// Offset of the checkpoint.
        as_of: u64,
    },
}

impl fmt::Display for DocumentError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Empty => write!(f, "the record is empty"),
            Self::UnknownVersion { version } => {
                write!(f, "record version {version} is not supported")
            }
            Self::Undecodable { reason } => write!(f, "the record cannot be decoded: {reason}"),
            Self::InvalidIdentifier { field, value } => {
                write!(f, "{value:?} is not a valid {field}")
            }
            Self::HeaderInBody { line } => {
                write!(f, "a body must not contain the section header {line:?}")
            }
            Self::CorruptCheckpoint { as_of } => {
                write!(
                    f,
                    "the checkpoint at offset {as_of} does not match its digest"
                )
            }
        }
    }
}

impl std::error::Error for DocumentError {}
