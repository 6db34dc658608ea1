use std::collections::VecDeque;
use std::sync::Arc;

use crate::document::Checkpoint;
use crate::document::CheckpointOutcome;
use crate::document::Document;
use crate::document::Edit;
use crate::document::EditEntry;
use crate::document::EditOutcome;
use crate::document::LogRecord;
use crate::document::RecordOutcome;
use crate::document::Section;
use crate::document::checkpoint::state_digest;
use crate::document::past_digests::PastDigests;
use crate::weights::Digest;

/// Number of decided edits kept, to answer retries.
pub const MAX_EDIT_ENTRIES: usize = 4_096;

/// State after applying every record of the log before an offset.
#[derive(Debug, Clone)]
pub struct Fold {
    head: u64,
    document: Arc<Document>,
    // Decided edits, ascending by offset.
    edits: VecDeque<EditEntry>,
    // Ids of the edits in `edits` with their offsets in the log, ascending by id.
    offset_by_id: Vec<(String, u64)>,
    digest: Digest,
    past_digests: PastDigests,
}

impl Fold {
    /// Creates the state before the first record.
    pub fn new() -> Self {
        let document = Document::default();
        let digest = state_digest(0, &document, &[]);
        let mut past_digests = PastDigests::default();
        past_digests.push(0, digest);
        Self {
            head: 0,
            document: Arc::new(document),
            edits: VecDeque::new(),
            offset_by_id: Vec::new(),
            digest,
            past_digests,
        }
    }

    /// Applies the record at `offset`; changes nothing unless `offset` is the head.
    pub fn apply_record(&mut self, offset: u64, bytes: &[u8]) -> RecordOutcome {
        if offset < self.head {
            return RecordOutcome::AlreadyApplied;
        }
        if offset > self.head {
            return RecordOutcome::Gap { wanted: self.head };
        }
        let outcome = match LogRecord::decode(bytes) {
            Ok(LogRecord::Edit(edit)) => self.apply_edit(offset, edit),
            Ok(LogRecord::Checkpoint(checkpoint)) => self.verify_checkpoint(&checkpoint),
            Err(error) => RecordOutcome::Skipped(error),
        };
        self.advance_to(offset + 1);
        outcome
    }

    /// Returns the offset of the next record to apply.
    pub fn head(&self) -> u64 {
        self.head
    }

    /// Returns the digest of the state at the head.
    pub fn digest(&self) -> Digest {
        self.digest
    }

    /// Returns the document at the head.
    pub fn document(&self) -> &Document {
        &self.document
    }

    /// Returns a shared reference to the document at the head.
    pub fn shared_document(&self) -> Arc<Document> {
        Arc::clone(&self.document)
    }

    /// Returns the outcome of the edit with the id `edit_id`, if it is still kept.
    pub fn edit_outcome(&self, edit_id: &str) -> Option<&EditOutcome> {
        self.edit_entry(edit_id).map(|entry| &entry.outcome)
    }

    /// Returns the decided edit with the id `edit_id`, if it is still kept.
    pub fn edit_entry(&self, edit_id: &str) -> Option<&EditEntry> {
        let index = self.index_of_id(edit_id).ok()?;
        let offset = self.offset_by_id[index].1;
        let index = self
            .edits
            .binary_search_by_key(&offset, |entry| entry.outcome.offset());
        index.ok().map(|index| &self.edits[index])
    }

    /// Iterates over the decided edits that are kept, oldest first.
    pub fn history(&self) -> impl DoubleEndedIterator<Item = &EditEntry> {
        self.edits.iter()
    }

    /// Returns the digest that this fold had at `offset`, if it is still kept.
    pub fn digest_at(&self, offset: u64) -> Option<Digest> {
        self.past_digests.digest_at(offset)
    }

    /// Creates a checkpoint of the state at the head.
    pub fn checkpoint(&self) -> Checkpoint {
        let edits: Vec<EditEntry> = self.edits.iter().cloned().collect();
        Checkpoint::new(self.head, &self.document, &edits)
    }

    /// Replaces the state by a checkpoint that is ahead of the head; never goes back.
    pub fn apply_checkpoint(&mut self, checkpoint: &Checkpoint) -> CheckpointOutcome {
        if checkpoint.check_digest().is_err() {
            return CheckpointOutcome::Corrupt;
        }
        if checkpoint.as_of <= self.head {
            let known = self.past_digests.digest_at(checkpoint.as_of);
            let differs = known.is_some_and(|digest| digest != checkpoint.digest);
            return if differs {
                CheckpointOutcome::Differs
            } else {
                CheckpointOutcome::NotNewer
            };
        }
        self.document = Arc::new(checkpoint.document());
        self.edits = checkpoint.edits.iter().cloned().collect();
        self.offset_by_id = offsets_by_id(&checkpoint.edits);
        self.head = checkpoint.as_of;
        self.digest = checkpoint.digest;
        self.past_digests.push(self.head, self.digest);
        CheckpointOutcome::Advanced
    }

    /// Accepts the edit if its base revision is current; a repeated id keeps its outcome.
    fn apply_edit(&mut self, offset: u64, edit: Edit) -> RecordOutcome {
        if let Some(outcome) = self.edit_outcome(&edit.edit_id) {
            return RecordOutcome::Repeated(*outcome);
        }
        let current = self.document.revision(&edit.section);
        let accepted = edit.base_revision == current;
        let outcome = if accepted {
            let revision = offset + 1;
            EditOutcome::Accepted { offset, revision }
        } else {
            EditOutcome::Conflict {
                offset,
                revision: current,
            }
        };
        self.store_edit_entry(&edit, outcome);
        if accepted {
            self.change_document(offset + 1, edit);
        }
        RecordOutcome::Decided(outcome)
    }

    /// Applies an accepted edit to the document.
    fn change_document(&mut self, revision: u64, edit: Edit) {
        let document = Arc::make_mut(&mut self.document);
        match edit.body {
            Some(body) => document.insert_section(Section {
                name: edit.section,
                team: edit.team,
                revision,
                body,
            }),
            None => document.delete_section(&edit.section, revision),
        }
    }

    /// Keeps the decided edit, in place of the oldest one if the limit is reached.
    fn store_edit_entry(&mut self, edit: &Edit, outcome: EditOutcome) {
        if self.edits.len() == MAX_EDIT_ENTRIES {
            self.remove_oldest_edit_entry();
        }
        if let Err(index) = self.index_of_id(&edit.edit_id) {
            let id = (edit.edit_id.clone(), outcome.offset());
            self.offset_by_id.insert(index, id);
        }
        self.edits.push_back(EditEntry {
            edit_id: edit.edit_id.clone(),
            team: edit.team.clone(),
            section: edit.section.clone(),
            base_revision: edit.base_revision,
            fingerprint: edit.fingerprint(),
            outcome,
        });
    }

    fn remove_oldest_edit_entry(&mut self) {
        let Some(oldest) = self.edits.pop_front() else {
            return;
        };
        if let Ok(index) = self.index_of_id(&oldest.edit_id) {
            self.offset_by_id.remove(index);
        }
    }

    /// Compares a checkpoint in the log with the digest that this fold had at the same offset.
    fn verify_checkpoint(&self, checkpoint: &Checkpoint) -> RecordOutcome {
        let as_of = checkpoint.as_of;
        match self.past_digests.digest_at(as_of) {
            Some(digest) if digest == checkpoint.digest => {
                RecordOutcome::CheckpointMatches { as_of }
            }
            Some(_) => RecordOutcome::CheckpointDiffers { as_of },
            None => RecordOutcome::CheckpointUnchecked { as_of },
        }
    }

    /// Moves the head and recomputes the digest.
    fn advance_to(&mut self, head: u64) {
        self.head = head;
        self.digest = state_digest(head, &self.document, self.edits.make_contiguous());
        self.past_digests.push(head, self.digest);
    }

    /// Index of `edit_id` in `offset_by_id`, or the index at which to insert it.
    fn index_of_id(&self, edit_id: &str) -> Result<usize, usize> {
        self.offset_by_id
            .binary_search_by(|(id, _)| id.as_str().cmp(edit_id))
    }
}

impl Default for Fold {
    fn default() -> Self {
        Self::new()
    }
}

/// Collects the edit ids with their offsets, ascending by id.
fn offsets_by_id(edits: &[EditEntry]) -> Vec<(String, u64)> {
    let mut offsets: Vec<(String, u64)> = edits
        .iter()
        .map(|entry| (entry.edit_id.clone(), entry.outcome.offset()))
        .collect();
    offsets.sort();
    offsets
}
