use serde::Deserialize;
use serde::Serialize;

use crate::document::EditEntry;
use crate::document::KeyChange;
use crate::document::Section;
use crate::document::SectionFault;
use crate::weights::Digest;

/// One section without its body.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct SectionHead {
    /// Full name.
    pub name: String,
    /// Team that made the last accepted edit.
    pub team: String,
    /// Revision to edit from.
    pub revision: u64,
}

/// Answer of `GET /v1/config`.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct DocumentAnswer {
    /// Next offset of the log.
    pub offset: u64,
    /// Digest of the state there.
    pub digest: Digest,
    /// How this entry stands: `confirmed`, or why not.
    pub admission: String,
    /// Time since the offset was known to be the end of the log.
    pub confirmed_age_ms: Option<u64>,
    /// Sections, by name.
    pub sections: Vec<SectionHead>,
    /// The whole document as INI.
    pub document: String,
    /// Parts that have no effect, as texts.
    pub inert: Vec<String>,
}

/// Answer of `GET /v1/config/sections/NAME`.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct SectionAnswer {
    /// Next offset of the log.
    pub offset: u64,
    /// Revision to edit from; of the deletion if the section is gone.
    pub revision: u64,
    /// The section, unless it does not exist.
    pub section: Option<Section>,
}

/// Answer of `GET /v1/config/history`, latest first.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct HistoryAnswer {
    /// Decided edits.
    pub edits: Vec<EditEntry>,
}

/// Answer of `POST /v1/config/sections/NAME/diff`.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct DiffAnswer {
    /// Revision the change would be made from.
    pub revision: u64,
    /// Keys that would change.
    pub changes: Vec<KeyChange>,
    /// What would be refused.
    pub faults: Vec<SectionFault>,
}

/// Body of `PUT /v1/config/sections/NAME`.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PutBody {
    /// Chosen by the editor; a retry uses the same id.
    pub edit_id: String,
    /// Revision the edit was made from.
    pub base_revision: u64,
    /// INI lines `key = value`.
    pub body: String,
}

/// Body of `DELETE /v1/config/sections/NAME`.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct DeleteBody {
    /// Chosen by the editor; a retry uses the same id.
    pub edit_id: String,
    /// Revision the edit was made from.
    pub base_revision: u64,
}

/// Answer to an accepted edit.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct AcceptedAnswer {
    /// The editor's id.
    pub edit_id: String,
    /// Offset of the edit in the log.
    pub offset: u64,
    /// New revision of the section.
    pub revision: u64,
}

/// Details of a conflict.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct ConflictDetails {
    /// The editor's id.
    pub edit_id: String,
    /// Offset of the edit in the log, unless it was not appended.
    pub offset: Option<u64>,
    /// Revision to edit from now.
    pub revision: u64,
    /// The section as it is now; none if it was deleted.
    pub winner: Option<Section>,
}

/// Answer of `GET /v1/config/wait`.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct InForceAnswer {
    /// Revision that was waited for.
    pub revision: u64,
    /// Processes this entry knows, itself included, leaving ones excluded.
    pub processes: usize,
    /// Processes with the revision in force.
    pub in_force: usize,
    /// Names of those without it.
    pub lacking: Vec<String>,
}
