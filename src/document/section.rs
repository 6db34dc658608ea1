use serde::Deserialize;
use serde::Serialize;

/// Section of the document.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Section {
    /// Full name: the kind and the label, such as `model chat`.
    pub name: String,
    /// Team that made the last accepted edit.
    pub team: String,
    /// Offset of the last accepted edit plus one.
    pub revision: u64,
    /// Body of INI lines `key = value`.
    pub body: String,
}

impl Section {
    /// Returns the kind of the section, the first word of its name.
    pub fn kind(&self) -> &str {
        self.name.split(' ').next().unwrap_or_default()
    }

    /// Returns the name without the kind.
    pub fn label(&self) -> &str {
        self.name.split_once(' ').map_or("", |(_, label)| label)
    }
}

/// Marker of a deleted section; its revision makes late edits conflict.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Tombstone {
    /// Name of the deleted section.
    pub name: String,
    /// Offset of the deletion plus one.
    pub revision: u64,
}
