use serde::Deserialize;
use serde::Serialize;

use crate::document::EditOutcome;
use crate::weights::Digest;

/// A decided edit, remembered for retries and for the history.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EditEntry {
    /// The editor's id.
    pub edit_id: String,
    /// Team that edited.
    pub team: String,
    /// Section that was edited.
    pub section: String,
    /// Revision the edit was made from.
    pub base_revision: u64,
    /// Digest over the edit's fields.
    pub fingerprint: Digest,
    /// How it was decided.
    pub outcome: EditOutcome,
}
