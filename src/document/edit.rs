use serde::Deserialize;
use serde::Serialize;

use crate::document::DocumentError;
use crate::weights::Digest;

/// Largest length of an edit id or a team name, in bytes.
const MAX_ID_BYTES: usize = 64;

/// Largest length of a section name, in bytes.
const MAX_SECTION_NAME_BYTES: usize = 128;

/// Change of one section by one team.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Edit {
    /// Id chosen by the editor; a retry uses the same id.
    pub edit_id: String,
    /// Team that makes the edit.
    pub team: String,
    /// Full section name, such as `model chat`.
    pub section: String,
    /// Revision of the section that the edit is based on; 0 if the section never existed.
    pub base_revision: u64,
    /// New body as INI lines `key = value`; `None` deletes the section.
    pub body: Option<String>,
}

impl Edit {
    /// Checks the structure that every reader of the log relies on.
    ///
    /// # Errors
    ///
    /// Returns [`DocumentError`] when an id, a name or the body cannot be part of a document.
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

    /// Computes a digest over all fields, which distinguishes a retry from another edit
    /// with the same id.
    pub fn fingerprint(&self) -> Digest {
        let fields = (
            &self.edit_id,
            &self.team,
            &self.section,
            self.base_revision,
            &self.body,
        );
        let bytes = rmp_serde::to_vec(&fields).expect("strings and numbers always encode");
        Digest::of_bytes(&bytes)
    }
}

/// Checks the length and the characters of an id or a name.
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
