use std::fmt;

/// Why bytes of the log are not a record of the document.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum DocumentError {
    /// The record holds no bytes.
    Empty,
    /// The record was written in a format this program does not know.
    UnknownVersion {
        /// Version byte of the record.
        version: u8,
    },
    /// The bytes after the version do not decode.
    Undecodable {
        /// What the decoder said.
        reason: String,
    },
    /// An id, team or section name is empty, too long or holds control characters or brackets.
    InvalidIdentifier {
        /// Which field.
        field: &'static str,
        /// Its value.
        value: String,
    },
    /// A body holds a section header.
    HeaderInBody {
        /// The offending line.
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
            Self::UnknownVersion { version } => write!(f, "record version {version} is unknown"),
            Self::Undecodable { reason } => write!(f, "the record does not decode: {reason}"),
            Self::InvalidIdentifier { field, value } => {
                write!(f, "{value:?} is not a valid {field}")
            }
            Self::HeaderInBody { line } => {
                write!(f, "a body cannot hold the section header {line:?}")
            }
            Self::CorruptCheckpoint { as_of } => {
                write!(
                    f,
                    "the checkpoint of offset {as_of} does not match its digest"
                )
            }
        }
    }
}

impl std::error::Error for DocumentError {}
