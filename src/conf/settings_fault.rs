use std::fmt;
use std::path::PathBuf;

/// One thing wrong in a settings file.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SettingsFault {
    /// The settings file.
    pub file: PathBuf,
    /// Section header without brackets; empty for the file as a whole.
    pub section: String,
    /// Key; empty for the section as a whole.
    pub key: String,
    /// Value found, unless there was none or it is secret.
    pub value: Option<String>,
    /// What is wrong.
    pub problem: String,
    /// What is allowed in its place.
    pub allowed: String,
}

impl fmt::Display for SettingsFault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}:", self.file.display())?;
        if !self.section.is_empty() {
            write!(f, " [{}]", self.section)?;
        }
        if !self.key.is_empty() {
            write!(f, " {}", self.key)?;
        }
        if let Some(value) = &self.value {
            write!(f, " = {value:?}")?;
        }
        write!(f, ": {}; allowed: {}", self.problem, self.allowed)
    }
}
