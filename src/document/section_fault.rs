use std::fmt;

use serde::Deserialize;
use serde::Serialize;

/// Fault of a section or of one of its keys.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SectionFault {
    /// Full name of the section.
    pub section: String,
    /// Key with the fault; `None` if the fault concerns the section as a whole.
    pub key: Option<String>,
    /// Reason of the fault.
    pub reason: FaultReason,
}

/// Reason why a section or one of its values is invalid.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum FaultReason {
    /// The structure of the edit is invalid; holds the error message.
    Structure(String),
    /// The section to delete does not exist.
    Absent,
    /// The first word of the section name is not a known kind.
    UnknownKind,
    /// The label after the kind is missing or has other characters than letters, digits,
    /// `.`, `_` and `-`.
    InvalidLabel,
    /// The body is not valid INI; holds the message of the parser.
    NotIni(String),
    /// The key is not known for this kind of section.
    UnknownKey {
        /// Keys allowed in this kind of section.
        known: Vec<String>,
    },
    /// The key is given more than once.
    RepeatedKey,
    /// A required key is missing.
    MissingKey,
    /// The value is not allowed for the key.
    InvalidValue {
        /// Value in the section.
        value: String,
        /// Description of the allowed values.
        allowed: String,
    },
    /// The value refers to a section that does not exist.
    Dangling {
        /// Full name of the missing section.
        section: String,
    },
    /// The sum of the shares of all branches exceeds 100 percent.
    SharesExceed {
        /// Sum of the shares with this edit, in percent.
        sum_percent: u32,
    },
    /// The body of the section is too large.
    SectionTooLarge {
        /// Size of the body, in bytes.
        size_bytes: usize,
        /// Largest allowed body, in bytes.
        max_bytes: usize,
    },
    /// The document would hold too many sections.
    TooManySections {
        /// Largest allowed number of sections.
        max: usize,
    },
    /// The document would be too large.
    DocumentTooLarge {
        /// Size of the document with this edit, in bytes.
        size_bytes: usize,
        /// Largest allowed document, in bytes.
        max_bytes: usize,
    },
}

impl fmt::Display for SectionFault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "section [{}]", self.section)?;
        if let Some(key) = &self.key {
            write!(f, ", key {key:?}")?;
        }
        write!(f, ": {}", self.reason)
    }
}

impl fmt::Display for FaultReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Structure(reason) => f.write_str(reason),
            Self::Absent => write!(f, "the section does not exist"),
            Self::UnknownKind => write!(f, "the kind is not one of branch, model, service"),
            Self::InvalidLabel => {
                write!(
                    f,
                    "a name of letters, digits, '.', '_' and '-' must follow the kind"
                )
            }
            Self::NotIni(reason) => write!(f, "the body is not valid INI: {reason}"),
            Self::UnknownKey { known } => {
                write!(f, "unknown key; known keys: {}", known.join(", "))
            }
            Self::RepeatedKey => write!(f, "the key is given more than once"),
            Self::MissingKey => write!(f, "the key is required"),
            Self::InvalidValue { value, allowed } => {
                write!(f, "{value:?} is not {allowed}")
            }
            Self::Dangling { section } => write!(f, "section [{section}] does not exist"),
            Self::SharesExceed { sum_percent } => write!(
                f,
                "the shares of all branches add up to {sum_percent} percent, more than 100"
            ),
            Self::SectionTooLarge {
                size_bytes,
                max_bytes,
            } => write!(f, "the body has {size_bytes} bytes, more than {max_bytes}"),
            Self::TooManySections { max } => {
                write!(f, "the document already has {max} sections, the maximum")
            }
            Self::DocumentTooLarge {
                size_bytes,
                max_bytes,
            } => write!(
                f,
                "the document would have {size_bytes} bytes, more than {max_bytes}"
            ),
        }
    }
}

impl std::error::Error for SectionFault {}
