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
use bergamotfork::document::follow::Follower;
use bergamotfork::document::follow::LogPage;
use bergamotfork::document::follow::RawLogRecord;

/// Sort key of a node that does not depend on the names of the others.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct NodeRank {
    head: u64,
    digest: [u8; 32],
    admits: bool,
    answered: u32,
}

/// One entry process, built on the product's follower.
#[derive(Debug, Clone)]
pub struct Node {
    follower: Rc<Follower>,
    // Entries that answered since the start, as bits; part of the state's identity.
    answered: u8,
    // Entries that had started when the head was last known to be the end of the log.
    confirmed_after: u8,
}

/// Time at which every process starts.
const START_MS: u64 = 5;

/// Time of every message.
const NOW_MS: u64 = 10;

/// Age of a confirmation from after the start of the asking process.
const YOUNG_MS: u64 = 1;

/// Age of a confirmation from before that.
const OLD_MS: u64 = 9;

/// Every entry, as bits.
const ALL: u8 = (1 << ENTRIES) - 1;

impl Node {
    pub fn fresh() -> Self {
        Self {
            follower: Rc::new(Follower::new(START_MS)),
            answered: 0,
            confirmed_after: 0,
        }
    }

    /// A node of the running cluster: it has read the empty log.
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
            *follower = adopt_anyway(follower, &moved(follower.fold(), from));
        }
        let count = if trimmed { usize::MAX } else { 1 };
        let records = log
            .records
            .iter()
            .enumerate()
            .map(|(offset, record)| (offset as u64, record))
            .skip_while(|(offset, _)| *offset < from)
            .take(count)
            .map(|(offset, record)| RawLogRecord {
                offset,
                bytes: weakened(record, offset, follower.fold(), rules),
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
        self.forget_answers();
    }

    /// Entry number `index` was replaced.
    pub fn note_replaced(&mut self, index: usize) {
        self.confirmed_after &= !(1 << index);
    }

    /// Asks `peer`; the numbers are those of this entry and of the peer.
    pub fn ask(&mut self, own: usize, index: usize, peer: &Self, rules: Rules) {
        let mut answer = peer.follower.answer_peer(NOW_MS, self.fold().head());
        let checkpoint = peer.fold().checkpoint();
        let follower = Rc::make_mut(&mut self.follower);
        if !rules.adopt_forward_only && checkpoint.as_of < follower.fold().head() {
            *follower = adopt_anyway(follower, &checkpoint);
            return;
        }
        // A checkpoint, so that adopting is explored; its effect equals the records'.
        if answer.update != ConfigUpdate::None {
            answer.update = ConfigUpdate::Checkpoint(Box::new(checkpoint));
        }
        answer.mark.is_voter |= !rules.voters_only;
        let is_after = peer.confirmed_after >> own & 1 == 1;
        let is_young = is_after || !rules.confirmed_after_start;
        let age_ms = if is_young { YOUNG_MS } else { OLD_MS };
        answer.mark.confirmed_age_ms = answer.mark.confirmed_age_ms.map(|_| age_ms);
        let listed = if rules.majority { ENTRIES } else { 1 };
        follower.apply_peer_answer(NOW_MS, NOW_MS, &index.to_string(), listed, &answer);
        if self.fold().head() >= answer.mark.head {
            self.confirmed_after |= peer.confirmed_after;
        }
        if answer.mark.is_voter {
            self.answered |= 1 << index;
        }
        self.forget_answers();
    }

    /// Who answered does not matter any more once the entry admits work.
    fn forget_answers(&mut self) {
        if self.admits() {
            self.answered = 0;
        }
    }

    /// What tells this node from another, leaving names aside.
    pub fn rank(&self) -> NodeRank {
        let fold = self.fold();
        NodeRank {
            head: fold.head(),
            digest: *fold.digest().as_bytes(),
            admits: self.admits(),
            answered: self.answered.count_ones(),
        }
    }

    /// Entries that answered, and those that had started at the confirmation, as bits.
    pub fn peers(&self) -> (u8, u8) {
        (self.answered, self.confirmed_after)
    }
}

/// The record as a fold without the removed rules would see it.
pub fn weakened(record: &LogRecord, offset: u64, fold: &Fold, rules: Rules) -> Vec<u8> {
    let LogRecord::Edit(edit) = record else {
        return record.encode();
    };
    let mut edit: Edit = edit.clone();
    if !rules.base_revision {
        edit.base_revision = fold.document().revision(SECTION);
    }
    if !rules.edit_memory {
        edit.edit_id = format!("{}#{offset}", edit.edit_id);
    }
    LogRecord::Edit(edit).encode()
}

/// The state of `fold` under the name of another offset.
fn moved(fold: &Fold, as_of: u64) -> Checkpoint {
    let edits: Vec<_> = fold.history().cloned().collect();
    Checkpoint::new(as_of, fold.document(), &edits)
}

/// A follower that stands at `checkpoint` whatever it held before.
fn adopt_anyway(follower: &Follower, checkpoint: &Checkpoint) -> Follower {
    let mut moved = Follower::new(START_MS);
    let mut answer = follower.answer_peer(NOW_MS, u64::MAX);
    answer.mark.head = checkpoint.as_of;
    answer.mark.digest = checkpoint.digest;
    answer.mark.is_voter = follower.is_voter();
    answer.update = ConfigUpdate::Checkpoint(Box::new(checkpoint.clone()));
    moved.apply_peer_answer(NOW_MS, NOW_MS, "self", 1, &answer);
    moved
}
