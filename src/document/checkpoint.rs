use serde::Deserialize;
use serde::Serialize;

use crate::document::Document;
use crate::document::DocumentError;
use crate::document::EditEntry;
use crate::document::Section;
use crate::document::Tombstone;
use crate::weights::Digest;

/// Complete state of a fold at an offset.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Checkpoint {
    /// Offset of the checkpoint; every record before it is applied.
    pub as_of: u64,
    /// Digest of the other fields.
    pub digest: Digest,
    /// Sections, ascending by name.
    pub sections: Vec<Section>,
    /// Deleted sections, ascending by name.
    pub tombstones: Vec<Tombstone>,
    /// Decided edits that are kept, ascending by offset.
    pub edits: Vec<EditEntry>,
}

impl Checkpoint {
    /// Creates a checkpoint and computes its digest.
    pub fn new(as_of: u64, document: &Document, edits: &[EditEntry]) -> Self {
        Self {
            as_of,
            digest: state_digest(as_of, document, edits),
            sections: document.sections().to_vec(),
            tombstones: document.tombstones().to_vec(),
            edits: edits.to_vec(),
        }
    }

    /// Returns the document in the checkpoint.
    pub fn document(&self) -> Document {
        Document::from_parts(self.sections.clone(), self.tombstones.clone())
    }

    /// Checks the digest against the contents.
    ///
    /// # Errors
    ///
    /// Returns [`DocumentError::CorruptCheckpoint`] when they differ.
    pub fn check_digest(&self) -> Result<(), DocumentError> {
        if state_digest(self.as_of, &self.document(), &self.edits) == self.digest {
            return Ok(());
        }
        Err(DocumentError::CorruptCheckpoint { as_of: self.as_of })
    }
}

/// Computes the digest of a fold's state at `as_of`.
pub(super) fn state_digest(as_of: u64, document: &Document, edits: &[EditEntry]) -> Digest {
    let state = (as_of, document.sections(), document.tombstones(), edits);
    let bytes = rmp_serde::to_vec(&state).expect("strings, numbers and digests always encode");
    Digest::of_bytes(&bytes)
}
