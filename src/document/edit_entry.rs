use serde::Deserialize;
use serde::Serialize;

use crate::document::EditOutcome;
use crate::weights::Digest;

/// Decided edit, kept to answer retries and for the history.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EditEntry {
    /// Id chosen by the editor.
    pub edit_id: String,
    /// Team that made the edit.
    pub team: String,
    /// Section that was edited.
    pub section: String,
    /// Revision of the section that the edit was based on.
    pub base_revision: u64,
    /// Digest over all fields of the edit; see `Edit::fingerprint`.
    pub fingerprint: Digest,
    /// Whether the edit was accepted.
    pub outcome: EditOutcome,
}
