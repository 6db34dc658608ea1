use std::fmt;
use std::path::PathBuf;

/// Fault in a settings file.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SettingsFault {
    /// Path of the settings file.
    pub file: PathBuf,
    /// Section without brackets; empty when the fault concerns the whole file.
    pub section: String,
    /// Key; empty when the fault concerns the whole section.
    pub key: String,
    /// Value in the file; a placeholder if it is secret.
    pub value: Option<String>,
    /// Description of the fault.
    pub problem: String,
    /// Description of what is allowed instead.
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
