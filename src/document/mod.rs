//! The configuration document and the fold that computes it from the log.
//!
//! The document is a set of INI sections, each edited by a team. No writer
//! stores the complete document: every process applies the same records of the
//! platform's log in offset order and so computes the same document. An edit is
//! accepted if its base revision equals the section's revision at the edit's
//! offset. A revision is the offset of the accepted record plus one, so no
//! revision is used twice, even after a section was deleted.
//!
//! The fold checks only the structure of an edit. Its meaning is checked by
//! [`check_edit`] before the edit is appended to the log, so that different
//! versions of the program never disagree about which edits were accepted.

pub mod follow;

mod branch_section;
mod check;
mod checkpoint;
mod checkpoint_outcome;
#[allow(clippy::module_inception)]
mod document;
mod edit;
mod edit_entry;
mod edit_outcome;
mod errors;
mod fold;
mod key_change;
mod log_record;
mod model_section;
mod past_digests;
mod record_outcome;
mod section;
mod section_fault;
mod section_reader;
mod service_section;

pub use branch_section::BranchSection;
pub use check::MAX_DOCUMENT_BYTES;
pub use check::MAX_SECTION_BYTES;
pub use check::MAX_SECTIONS;
pub use check::check_edit;
pub use check::inert_parts;
pub use checkpoint::Checkpoint;
pub use checkpoint_outcome::CheckpointOutcome;
pub use document::Document;
pub use edit::Edit;
pub use edit_entry::EditEntry;
pub use edit_outcome::EditOutcome;
pub use errors::DocumentError;
pub use fold::Fold;
pub use fold::MAX_EDIT_ENTRIES;
pub use key_change::KeyChange;
pub use log_record::LogRecord;
pub use model_section::ModelSection;
pub use record_outcome::RecordOutcome;
pub use section::Section;
pub use section::Tombstone;
pub use section_fault::FaultReason;
pub use section_fault::SectionFault;
pub use service_section::ServiceSection;
