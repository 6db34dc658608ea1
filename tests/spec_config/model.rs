use std::hash::Hash;
use std::hash::Hasher;
use std::rc::Rc;

use crate::node::Node;
use crate::node::NodeSortKey;
use crate::node::encode_without_rules;
use crate::rules::Rules;
use bergamotfork::document::Edit;
use bergamotfork::document::Fold;
use bergamotfork::document::LogRecord;

/// Number of entry processes.
pub const ENTRIES: usize = 3;

/// Section that both editors change.
pub const SECTION: &str = "model chat";

/// Largest number of steps of each kind in one run.
#[derive(Debug, Clone, Copy)]
pub struct Bounds {
    /// Times that each editor sends its edit, including retries.
    pub sends: [u8; 2],
    /// Number of checkpoints published.
    pub checkpoints: u8,
    /// Number of hosts replaced.
    pub replacements: u8,
}

/// Log of the platform: all records, and the lowest offset that is still kept.
#[derive(Debug, Clone, Default)]
pub struct Log {
    pub earliest: u64,
    pub records: Vec<Rc<LogRecord>>,
}

impl Log {
    pub fn next(&self) -> u64 {
        self.records.len() as u64
    }
}

/// Identifies a record by its editor, or by the offset of its checkpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
enum RecordId {
    Edit(usize),
    Checkpoint(u64),
}

/// State of the complete system.
#[derive(Debug, Clone)]
pub struct State {
    pub log: Log,
    pub nodes: [Node; ENTRIES],
    /// Highest head that a majority of the entries has held while admitting work.
    pub majority_head: u64,
    /// Entry whose host was replaced by the step to this state.
    pub replaced: Option<usize>,
    /// Fold of each prefix of the log.
    pub reference: Vec<Rc<Fold>>,
    key: Option<StateKey>,
    record_ids: Vec<RecordId>,
    sends: [u8; 2],
    checkpoints: u8,
    replacements: u8,
}

impl State {
    pub fn initial(bounds: Bounds) -> Self {
        Self {
            log: Log::default(),
            nodes: std::array::from_fn(|_| Node::confirmed()),
            majority_head: 0,
            replaced: None,
            reference: vec![Rc::new(Fold::new())],
            key: None,
            record_ids: Vec::new(),
            sends: bounds.sends,
            checkpoints: bounds.checkpoints,
            replacements: bounds.replacements,
        }
    }

    /// Returns all states that one step leads to.
    pub fn successors(&self, rules: Rules) -> Vec<Self> {
        let mut next = Vec::new();
        for editor in 0..self.sends.len() {
            next.extend(self.send(editor, rules));
        }
        next.extend(self.trim());
        for node in 0..ENTRIES {
            next.extend(self.read(node, rules));
            next.extend(self.publish(node, rules));
            next.extend(self.replace(node));
            for peer in (0..ENTRIES).filter(|peer| *peer != node) {
                next.extend(self.query(node, peer, rules));
            }
        }
        for state in &mut next {
            state.update_majority_head();
            state.update_key();
        }
        next
    }

    /// Step: the editor sends its edit, for the first time or after a lost reply.
    fn send(&self, editor: usize, rules: Rules) -> Option<Self> {
        let mut next = self.next_step();
        next.sends[editor] = self.sends[editor].checked_sub(1)?;
        let edit = Edit {
            edit_id: format!("e{editor}"),
            team: "ops".to_owned(),
            section: SECTION.to_owned(),
            base_revision: 0,
            body: Some(format!("v = {editor}")),
        };
        next.append(LogRecord::Edit(edit), RecordId::Edit(editor), rules);
        Some(next)
    }

    /// Step: an entry that admits work publishes a checkpoint.
    fn publish(&self, node: usize, rules: Rules) -> Option<Self> {
        if !self.nodes[node].admits() || self.nodes[node].fold().head() == 0 {
            return None;
        }
        let mut next = self.next_step();
        next.checkpoints = self.checkpoints.checked_sub(1)?;
        let checkpoint = self.nodes[node].fold().checkpoint();
        let record_id = RecordId::Checkpoint(checkpoint.as_of);
        next.append(LogRecord::Checkpoint(checkpoint), record_id, rules);
        Some(next)
    }

    /// Step: the log drops its oldest record.
    fn trim(&self) -> Option<Self> {
        if self.log.earliest == self.log.next() {
            return None;
        }
        let mut next = self.next_step();
        next.log.earliest += 1;
        Some(next)
    }

    /// Step: the host of an entry is replaced, which loses its state.
    fn replace(&self, node: usize) -> Option<Self> {
        let mut next = self.next_step();
        next.replacements = self.replacements.checked_sub(1)?;
        next.nodes[node] = Node::fresh();
        for other in &mut next.nodes {
            other.record_replaced(node);
        }
        next.replaced = Some(node);
        Some(next)
    }

    /// Step: an entry reads the log.
    fn read(&self, node: usize, rules: Rules) -> Option<Self> {
        let mut next = self.next_step();
        next.nodes[node].read(&self.log, rules);
        self.if_changed(next, node)
    }

    /// Step: an entry queries a peer and applies the answer.
    fn query(&self, node: usize, peer: usize, rules: Rules) -> Option<Self> {
        let mut next = self.next_step();
        next.nodes[node].query(node, peer, &self.nodes[peer], rules);
        self.if_changed(next, node)
    }

    /// Copies the state as the start of a step.
    fn next_step(&self) -> Self {
        let mut next = self.clone();
        next.replaced = None;
        next
    }

    /// Returns `next` if the step changed the node.
    fn if_changed(&self, next: Self, node: usize) -> Option<Self> {
        let (old, new) = (&self.nodes[node], &next.nodes[node]);
        let is_unchanged = (old.sort_key(), old.peer_bits()) == (new.sort_key(), new.peer_bits());
        (!is_unchanged).then_some(next)
    }

    fn append(&mut self, record: LogRecord, record_id: RecordId, rules: Rules) {
        let offset = self.log.next();
        let last = self.reference.last().expect("starts with the empty prefix");
        let mut fold = Fold::clone(last);
        fold.apply_record(offset, &encode_without_rules(&record, offset, last, rules));
        self.reference.push(Rc::new(fold));
        self.log.records.push(Rc::new(record));
        self.record_ids.push(record_id);
    }

    fn update_majority_head(&mut self) {
        let mut heads: Vec<u64> = self
            .nodes
            .iter()
            .filter(|node| node.admits())
            .map(|node| node.fold().head())
            .collect();
        heads.sort_unstable_by(|a, b| b.cmp(a));
        let majority = heads.get(ENTRIES / 2).copied().unwrap_or(0);
        self.majority_head = self.majority_head.max(majority);
    }

    /// Computes the key, which is equal for states that differ only in the names of the entries.
    fn update_key(&mut self) {
        let mut order: Vec<usize> = (0..ENTRIES).collect();
        order.sort_by_key(|index| self.nodes[*index].sort_key());
        let nodes = order.iter().map(|index| {
            let node = &self.nodes[*index];
            let (answered, confirmed_after) = node.peer_bits();
            let bits = |old: &usize| (answered >> old & 1, confirmed_after >> old & 1);
            (node.sort_key(), order.iter().map(bits).collect())
        });
        let nodes = nodes.collect();
        self.key = Some(StateKey {
            record_ids: self.record_ids.clone(),
            earliest: self.log.earliest,
            nodes,
            majority_head: self.majority_head,
            remaining: (self.sends, self.checkpoints, self.replacements),
        });
    }
}

/// Part of a state by which states are compared.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct StateKey {
    record_ids: Vec<RecordId>,
    earliest: u64,
    nodes: Vec<(NodeSortKey, Vec<(u8, u8)>)>,
    majority_head: u64,
    remaining: ([u8; 2], u8, u8),
}

impl PartialEq for State {
    fn eq(&self, other: &Self) -> bool {
        self.key == other.key
    }
}

impl Eq for State {}

impl Hash for State {
    fn hash<H: Hasher>(&self, state: &mut H) {
        self.key.hash(state);
    }
}
