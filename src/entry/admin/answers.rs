use serde::Deserialize;
use serde::Serialize;

use crate::document::EditEntry;
use crate::document::KeyChange;
use crate::document::Section;
use crate::document::SectionFault;
use crate::weights::Digest;

/// A section without its body.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct SectionHead {
    /// Name of the section, with its kind.
    pub name: String,
    /// Team that made the last accepted edit.
    pub team: String,
    /// Current revision, the base of the next edit.
    pub revision: u64,
}

/// Answer of `GET /v1/config`.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct DocumentAnswer {
    /// Offset of the next log record that this entry will apply.
    pub offset: u64,
    /// Digest of the configuration at that offset.
    pub digest: Digest,
    /// `confirmed`, or why the configuration of this entry is not confirmed.
    pub admission: String,
    /// Time since the offset was confirmed to be the end of the log, in milliseconds.
    pub confirmed_age_ms: Option<u64>,
    /// Sections of the document, by name.
    pub sections: Vec<SectionHead>,
    /// The complete document in INI syntax.
    pub document: String,
    /// Descriptions of the parts that have no effect.
    pub inert: Vec<String>,
}

/// Answer of `GET /v1/config/sections/NAME`.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct SectionAnswer {
    /// Offset of the next log record that this entry will apply.
    pub offset: u64,
    /// Base of the next edit; the revision of the deletion if the section was deleted.
    pub revision: u64,
    /// The section; `None` if it does not exist.
    pub section: Option<Section>,
}

/// Answer of `GET /v1/config/history`.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct HistoryAnswer {
    /// Accepted and conflicting edits, the latest first.
    pub edits: Vec<EditEntry>,
}

/// Answer of `POST /v1/config/sections/NAME/diff`.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct DiffAnswer {
    /// Base revision that the edit would have.
    pub revision: u64,
    /// Changes of single keys that the edit would make.
    pub changes: Vec<KeyChange>,
    /// Faults for which the edit would be refused.
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
    /// New body of the section, as INI lines `key = value`.
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

/// Answer of `PUT` and `DELETE` when the edit was accepted.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct AcceptedAnswer {
    /// Id of the edit.
    pub edit_id: String,
    /// Offset of the edit in the log.
    pub offset: u64,
    /// New revision of the section.
    pub revision: u64,
}

/// Details of the error `conflict`.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct ConflictDetails {
    /// Id of the edit.
    pub edit_id: String,
    /// Offset of the edit in the log; `None` if it was not appended.
    pub offset: Option<u64>,
    /// Current revision of the section, the base of the next edit.
    pub revision: u64,
    /// The current section; `None` if it was deleted.
    pub winner: Option<Section>,
}

/// Answer of `GET /v1/config/wait`.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct InForceAnswer {
    /// Revision that was waited for.
    pub revision: u64,
    /// Number of processes known to this entry, itself included, leaving ones excluded.
    pub processes: usize,
    /// Number of those processes on which the revision is in force.
    pub in_force: usize,
    /// Names of the processes on which it is not in force.
    pub lacking: Vec<String>,
}
