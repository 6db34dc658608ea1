use serde::Deserialize;
use serde::Serialize;

use crate::document::DocumentError;
use crate::weights::Digest;

/// Longest edit id and team name in bytes.
const MAX_ID_BYTES: usize = 64;

/// Longest section name in bytes.
const MAX_SECTION_NAME_BYTES: usize = 128;

/// One team's change of one section.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Edit {
    /// Chosen by the editor; a retry uses the same id.
    pub edit_id: String,
    /// Team that edits.
    pub team: String,
    /// Full section name, such as `model chat`.
    pub section: String,
    /// Revision of the section the edit was made from; 0 if it never existed.
    pub base_revision: u64,
    /// INI lines `key = value`; `None` deletes the section.
    pub body: Option<String>,
}

impl Edit {
    /// Checks the structure every reader of the log relies on.
    ///
    /// # Errors
    ///
    /// Returns [`DocumentError`] when an id or the body cannot be part of a document.
    pub fn check_structure(&self) -> Result<(), DocumentError> {
        check_identifier("edit id", &self.edit_id, MAX_ID_BYTES)?;
        check_identifier("team", &self.team, MAX_ID_BYTES)?;
        check_identifier("section", &self.section, MAX_SECTION_NAME_BYTES)?;
        let body = self.body.as_deref().unwrap_or_default();
        match body.lines().find(|line| line.trim_start().starts_with('[')) {
            Some(line) => Err(DocumentError::HeaderInBody {
                line: line.to_owned(),
            }),
            None => Ok(()),
        }
    }

    /// Digest over all fields; tells a retry from a reused edit id.
    pub fn fingerprint(&self) -> Digest {
        let fields = (
            &self.edit_id,
            &self.team,
            &self.section,
            self.base_revision,
            &self.body,
        );
        let bytes = rmp_serde::to_vec(&fields).expect("strings and numbers always encode");
        Digest::of(&bytes)
    }
}

fn check_identifier(
    field: &'static str,
    value: &str,
    max_bytes: usize,
) -> Result<(), DocumentError> {
    let printable = value
        .chars()
        .all(|c| !c.is_control() && c != '[' && c != ']');
    if value.is_empty() || value.len() > max_bytes || !printable || value.trim() != value {
        return Err(DocumentError::InvalidIdentifier {
            field,
            value: value.to_owned(),
        });
    }
    Ok(())
}
