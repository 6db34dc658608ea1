use serde::Deserialize;
use serde::Serialize;

/// One section of the document.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Section {
    /// Kind and name, such as `model chat`.
    pub name: String,
    /// Team that made the last accepted edit.
    pub team: String,
    /// Offset of the last accepted edit plus one.
    pub revision: u64,
    /// INI lines `key = value`.
    pub body: String,
}

impl Section {
    /// Kind of the section, the first word of its name.
    pub fn kind(&self) -> &str {
        self.name.split(' ').next().unwrap_or_default()
    }

    /// Name without the kind.
    pub fn label(&self) -> &str {
        self.name.split_once(' ').map_or("", |(_, label)| label)
    }
}

/// A deleted section; its revision keeps late edits from being accepted.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Tombstone {
    /// Name of the deleted section.
    pub name: String,
    /// Offset of the deletion plus one.
    pub revision: u64,
}
