use serde::Deserialize;
use serde::Serialize;

use crate::document::Checkpoint;
use crate::document::DocumentError;
use crate::document::Edit;

/// Format version, the first byte of every record.
const RECORD_VERSION: u8 = 1;

/// Record of the configuration stream in the platform's log.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum LogRecord {
    /// A proposed edit; its place in the log decides whether it is accepted.
    Edit(Edit),
    /// The state at an offset, from which readers of a trimmed log can start.
    Checkpoint(Checkpoint),
}

impl LogRecord {
    /// Encodes the record as the format version and MessagePack.
    pub fn encode(&self) -> Vec<u8> {
        let mut bytes = vec![RECORD_VERSION];
        rmp_serde::encode::write_named(&mut bytes, self)
            .expect("records hold only strings, numbers and digests");
        bytes
    }

    /// Decodes a record and checks its structure.
    ///
    /// # Errors
    ///
    /// Returns [`DocumentError`] for bytes that every reader must skip.
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
