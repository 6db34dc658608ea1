use serde::Deserialize;
use serde::Serialize;

use crate::document::Checkpoint;
use crate::document::DocumentError;
use crate::document::Edit;

/// First byte of every record.
const RECORD_VERSION: u8 = 1;

/// A record of the configuration's stream in the platform's log.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum LogRecord {
    /// A proposed edit; its offset decides whether it is accepted.
    Edit(Edit),
    /// The state up to an offset; a shortcut for readers of a trimmed log.
    Checkpoint(Checkpoint),
}

impl LogRecord {
    /// The record's bytes.
    pub fn encode(&self) -> Vec<u8> {
        let mut bytes = vec![RECORD_VERSION];
        rmp_serde::encode::write_named(&mut bytes, self)
            .expect("records hold only strings, numbers and digests");
        bytes
    }

    /// Reads a record and checks its structure.
    ///
    /// # Errors
    ///
    /// Returns [`DocumentError`] for bytes that no reader may apply.
    pub fn decode(bytes: &[u8]) -> Result<Self, DocumentError> {
        let (&version, rest) = bytes.split_first().ok_or(DocumentError::Empty)?;
        if version != RECORD_VERSION {
            return Err(DocumentError::UnknownVersion { version });
        }
        let record: Self =
            rmp_serde::from_slice(rest).map_err(|error| DocumentError::Undecodable {
                reason: error.to_string(),
            })?;
        match &record {
            Self::Edit(edit) => edit.check_structure()?,
            Self::Checkpoint(checkpoint) => checkpoint.check_digest()?,
        }
        Ok(record)
    }
}
