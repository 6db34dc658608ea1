use std::rc::Rc;

use crate::model::ENTRIES;
use crate::model::Log;
use crate::model::SECTION;
use crate::rules::Rules;
use bergamotfork::document::Checkpoint;
use bergamotfork::document::Edit;
use bergamotfork::document::Fold;
use bergamotfork::document::LogRecord;
use bergamotfork::document::follow::ConfigUpdate;
use bergamotfork::document::follow::EncodedRecord;
use bergamotfork::document::follow::Follower;
use bergamotfork::document::follow::LogPage;

/// Sort key of a node that does not depend on the names of the entries.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct NodeSortKey {
    head: u64,
    digest: [u8; 32],
    admits: bool,
    answered: u32,
}

/// Entry process, which runs the `Follower` of the program.
#[derive(Debug, Clone)]
pub struct Node {
    follower: Rc<Follower>,
    // Bit set of the entries that answered since the start; part of the state's key.
    answered: u8,
    // Bit set of the entries whose current process had started when the head was last known
    // to be the end of the log.
    confirmed_after: u8,
}

/// Time at which every process starts, in ms.
const START_MS: u64 = 5;

/// Time of every message, in ms.
const NOW_MS: u64 = 10;

/// Age of a confirmation from after the start of the querying process, in ms.
const AGE_AFTER_START_MS: u64 = 1;

/// Age of a confirmation from before the start of the querying process, in ms.
const AGE_BEFORE_START_MS: u64 = 9;

/// Bit set of all entries.
const ALL: u8 = (1 << ENTRIES) - 1;

impl Node {
    /// Creates a node that just started.
    pub fn fresh() -> Self {
        Self {
            follower: Rc::new(Follower::new(START_MS)),
            answered: 0,
            confirmed_after: 0,
        }
    }

    /// Creates a node that has read the empty log and admits work.
    pub fn confirmed() -> Self {
        let mut node = Self::fresh();
        node.read(&Log::default(), Rules::ALL);
        node
    }

    pub fn fold(&self) -> &Fold {
        self.follower.fold()
    }

    pub fn admits(&self) -> bool {
        self.follower.admits(NOW_MS)
    }

    /// Reads the next record, or searches a trimmed log for a checkpoint.
    pub fn read(&mut self, log: &Log, rules: Rules) {
        let from = self.fold().head().max(log.earliest);
        let trimmed = log.earliest > self.fold().head();
        let follower = Rc::make_mut(&mut self.follower);
        if trimmed && !rules.gap_check {
            *follower = force_checkpoint(follower, &checkpoint_at(follower.fold(), from));
        }
        let count = if trimmed { usize::MAX } else { 1 };
        let records = log
            .records
            .iter()
            .enumerate()
            .map(|(offset, record)| (offset as u64, record))
            .skip_while(|(offset, _)| *offset < from)
            .take(count)
            .map(|(offset, record)| EncodedRecord {
                offset,
                bytes: encode_without_rules(record, offset, follower.fold(), rules),
            })
            .collect();
        let page = LogPage {
            earliest: log.earliest,
            next: log.next(),
            records,
        };
        follower.apply_log_page(NOW_MS, NOW_MS, &page);
        if !trimmed && follower.fold().head() == log.next() {
            self.confirmed_after = ALL;
        }
        self.clear_answers();
    }

    /// Records that the host of the entry `peer_index` was replaced.
    pub fn record_replaced(&mut self, peer_index: usize) {
        self.confirmed_after &= !(1 << peer_index);
    }

    /// Queries `peer` and applies the answer; `own_index` is the number of this entry and
    /// `peer_index` that of the peer.
    pub fn query(&mut self, own_index: usize, peer_index: usize, peer: &Self, rules: Rules) {
        let mut answer = peer.follower.answer_peer(NOW_MS, self.fold().head());
        let checkpoint = peer.fold().checkpoint();
        let follower = Rc::make_mut(&mut self.follower);
        if !rules.forward_only_checkpoints && checkpoint.as_of < follower.fold().head() {
            *follower = force_checkpoint(follower, &checkpoint);
            return;
        }
        // A checkpoint has the same effect as the records; sending it explores its application.
        if answer.update != ConfigUpdate::None {
            answer.update = ConfigUpdate::Checkpoint(Box::new(checkpoint));
        }
        answer.mark.is_voter |= !rules.voters_only;
        let is_after = peer.confirmed_after >> own_index & 1 == 1;
        let counts_as_recent = is_after || !rules.confirmed_after_start;
        let age_ms = if counts_as_recent {
            AGE_AFTER_START_MS
        } else {
            AGE_BEFORE_START_MS
        };
        answer.mark.confirmed_age_ms = answer.mark.confirmed_age_ms.map(|_| age_ms);
        let listed = if rules.majority { ENTRIES } else { 1 };
        follower.apply_peer_answer(NOW_MS, NOW_MS, &peer_index.to_string(), listed, &answer);
        if self.fold().head() >= answer.mark.head {
            self.confirmed_after |= peer.confirmed_after;
        }
        if answer.mark.is_voter {
            self.answered |= 1 << peer_index;
        }
        self.clear_answers();
    }

    /// Clears the answers once the entry admits work, since they have no effect any more.
    fn clear_answers(&mut self) {
        if self.admits() {
            self.answered = 0;
        }
    }

    /// Returns the sort key, by which nodes are compared regardless of their names.
    pub fn sort_key(&self) -> NodeSortKey {
        let fold = self.fold();
        NodeSortKey {
            head: fold.head(),
            digest: *fold.digest().as_bytes(),
            admits: self.admits(),
            answered: self.answered.count_ones(),
        }
    }

    /// Returns the bit sets of the entries that answered and of those that had started at
    /// the last confirmation.
    pub fn peer_bits(&self) -> (u8, u8) {
        (self.answered, self.confirmed_after)
    }
}

/// Encodes the record such that `fold` applies it as if the removed rules did not exist.
pub fn encode_without_rules(record: &LogRecord, offset: u64, fold: &Fold, rules: Rules) -> Vec<u8> {
    let LogRecord::Edit(edit) = record else {
        return record.encode();
    };
    let mut edit: Edit = edit.clone();
    if !rules.base_revision {
        edit.base_revision = fold.document().revision(SECTION);
    }
    if !rules.edit_deduplication {
        edit.edit_id = format!("{}#{offset}", edit.edit_id);
    }
    LogRecord::Edit(edit).encode()
}

/// Creates a checkpoint of the state of `fold` that claims the offset `as_of`.
fn checkpoint_at(fold: &Fold, as_of: u64) -> Checkpoint {
    let edits: Vec<_> = fold.history().cloned().collect();
    Checkpoint::new(as_of, fold.document(), &edits)
}

/// Returns a follower in the state of `checkpoint`, whatever its state was before.
fn force_checkpoint(follower: &Follower, checkpoint: &Checkpoint) -> Follower {
    let mut forced = Follower::new(START_MS);
    let mut answer = follower.answer_peer(NOW_MS, u64::MAX);
    answer.mark.head = checkpoint.as_of;
    answer.mark.digest = checkpoint.digest;
    answer.mark.is_voter = follower.is_voter();
    answer.update = ConfigUpdate::Checkpoint(Box::new(checkpoint.clone()));
    forced.apply_peer_answer(NOW_MS, NOW_MS, "self", 1, &answer);
    forced
}
