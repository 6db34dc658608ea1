use std::fmt;

use serde::Deserialize;
use serde::Serialize;

/// Why an edit has no valid meaning: section, key and reason.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SectionFault {
    /// Section the edit is for.
    pub section: String,
    /// Key at fault, unless the section as a whole is.
    pub key: Option<String>,
    /// What is wrong.
    pub reason: FaultReason,
}

/// What is wrong with a section or one of its values.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum FaultReason {
    /// The edit breaks the structure of the document.
    Structure(String),
    /// A section that does not exist cannot be deleted.
    Absent,
    /// The section name has no known kind.
    UnknownKind,
    /// The name after the kind is missing or holds other than letters, digits, `.`, `_`, `-`.
    InvalidLabel,
    /// The body is not INI.
    NotIni(String),
    /// The key is not one of these.
    UnknownKey {
        /// Keys of this kind of section.
        known: Vec<String>,
    },
    /// The key stands more than once.
    RepeatedKey,
    /// The key is required.
    MissingKey,
    /// The value has another form than this.
    InvalidValue {
        /// The value given.
        value: String,
        /// What is allowed.
        allowed: String,
    },
    /// The value names a section that does not exist.
    Dangling {
        /// Section that is named.
        section: String,
    },
    /// The shares of all branches together pass 100 percent.
    SharesExceed {
        /// Sum with this edit.
        sum_percent: u32,
    },
    /// The section is too large.
    SectionTooLarge {
        /// Size of the body.
        size_bytes: usize,
        /// Largest body.
        max_bytes: usize,
    },
    /// The document would hold too many sections.
    TooManySections {
        /// Largest number of sections.
        max: usize,
    },
    /// The document would be too large.
    DocumentTooLarge {
        /// Size with this edit.
        size_bytes: usize,
        /// Largest document.
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
            Self::NotIni(reason) => write!(f, "the body is not INI: {reason}"),
            Self::UnknownKey { known } => write!(f, "unknown key; known: {}", known.join(", ")),
            Self::RepeatedKey => write!(f, "the key stands more than once"),
            Self::MissingKey => write!(f, "the key is required"),
            Self::InvalidValue { value, allowed } => {
                write!(f, "{value:?} is not {allowed}")
            }
            Self::Dangling { section } => write!(f, "there is no section [{section}]"),
            Self::SharesExceed { sum_percent } => write!(
                f,
                "the shares of all branches add up to {sum_percent} percent, more than 100"
            ),
            Self::SectionTooLarge {
                size_bytes,
                max_bytes,
            } => write!(f, "the body has {size_bytes} bytes, more than {max_bytes}"),
            Self::TooManySections { max } => {
                write!(f, "the document holds {max} sections, the most it can")
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
