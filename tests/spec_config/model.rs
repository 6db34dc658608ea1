use std::hash::Hash;
use std::hash::Hasher;
use std::rc::Rc;

use crate::node::Node;
use crate::node::NodeRank;
use crate::node::weakened;
use crate::rules::Rules;
use bergamotfork::document::Edit;
use bergamotfork::document::Fold;
use bergamotfork::document::LogRecord;

/// Entry processes.
pub const ENTRIES: usize = 3;

/// The section both editors change.
pub const SECTION: &str = "model chat";

/// How often each thing happens in one run.
#[derive(Debug, Clone, Copy)]
pub struct Bounds {
    /// Sends of each editor, the first of them and its retries.
    pub sends: [u8; 2],
    /// Checkpoints published.
    pub checkpoints: u8,
    /// Hosts replaced.
    pub replacements: u8,
}

/// The platform's log.
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

/// Identity of a record: an editor, or the offset of a checkpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
enum Mark {
    Edit(usize),
    Checkpoint(u64),
}

/// One state of the whole system.
#[derive(Debug, Clone)]
pub struct State {
    pub log: Log,
    pub nodes: [Node; ENTRIES],
    /// Highest head that a majority of confirmed entries has held.
    pub in_force: u64,
    /// Entry replaced by the step to this state.
    pub replaced: Option<usize>,
    /// The fold of each prefix of the log.
    pub reference: Vec<Rc<Fold>>,
    identity: Option<Identity>,
    marks: Vec<Mark>,
    sends: [u8; 2],
    checkpoints: u8,
    replacements: u8,
}

impl State {
    pub fn start(bounds: Bounds) -> Self {
        Self {
            log: Log::default(),
            nodes: std::array::from_fn(|_| Node::confirmed()),
            in_force: 0,
            replaced: None,
            reference: vec![Rc::new(Fold::new())],
            identity: None,
            marks: Vec::new(),
            sends: bounds.sends,
            checkpoints: bounds.checkpoints,
            replacements: bounds.replacements,
        }
    }

    /// Every state one step away.
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
                next.extend(self.ask(node, peer, rules));
            }
        }
        for state in &mut next {
            state.note_in_force();
            state.identify();
        }
        next
    }

    /// The editor sends its edit, for the first time or after a lost reply.
    fn send(&self, editor: usize, rules: Rules) -> Option<Self> {
        let mut next = self.step();
        next.sends[editor] = self.sends[editor].checked_sub(1)?;
        let edit = Edit {
            edit_id: format!("e{editor}"),
            team: "ops".to_owned(),
            section: SECTION.to_owned(),
            base_revision: 0,
            body: Some(format!("v = {editor}")),
        };
        next.append(LogRecord::Edit(edit), Mark::Edit(editor), rules);
        Some(next)
    }

    fn publish(&self, node: usize, rules: Rules) -> Option<Self> {
        if !self.nodes[node].admits() || self.nodes[node].fold().head() == 0 {
            return None;
        }
        let mut next = self.step();
        next.checkpoints = self.checkpoints.checked_sub(1)?;
        let checkpoint = self.nodes[node].fold().checkpoint();
        let mark = Mark::Checkpoint(checkpoint.as_of);
        next.append(LogRecord::Checkpoint(checkpoint), mark, rules);
        Some(next)
    }

    fn trim(&self) -> Option<Self> {
        if self.log.earliest == self.log.next() {
            return None;
        }
        let mut next = self.step();
        next.log.earliest += 1;
        Some(next)
    }

    fn replace(&self, node: usize) -> Option<Self> {
        let mut next = self.step();
        next.replacements = self.replacements.checked_sub(1)?;
        next.nodes[node] = Node::fresh();
        for other in &mut next.nodes {
            other.note_replaced(node);
        }
        next.replaced = Some(node);
        Some(next)
    }

    fn read(&self, node: usize, rules: Rules) -> Option<Self> {
        let mut next = self.step();
        next.nodes[node].read(&self.log, rules);
        self.changed(next, node)
    }

    fn ask(&self, node: usize, peer: usize, rules: Rules) -> Option<Self> {
        let mut next = self.step();
        next.nodes[node].ask(node, peer, &self.nodes[peer], rules);
        self.changed(next, node)
    }

    fn step(&self) -> Self {
        let mut next = self.clone();
        next.replaced = None;
        next
    }

    fn changed(&self, next: Self, node: usize) -> Option<Self> {
        let (old, new) = (&self.nodes[node], &next.nodes[node]);
        let same = (old.rank(), old.peers()) == (new.rank(), new.peers());
        (!same).then_some(next)
    }

    fn append(&mut self, record: LogRecord, mark: Mark, rules: Rules) {
        let offset = self.log.next();
        let last = self.reference.last().expect("starts with the empty prefix");
        let mut fold = Fold::clone(last);
        fold.apply(offset, &weakened(&record, offset, last, rules));
        self.reference.push(Rc::new(fold));
        self.log.records.push(Rc::new(record));
        self.marks.push(mark);
    }

    fn note_in_force(&mut self) {
        let mut heads: Vec<u64> = self
            .nodes
            .iter()
            .filter(|node| node.admits())
            .map(|node| node.fold().head())
            .collect();
        heads.sort_unstable_by(|a, b| b.cmp(a));
        let majority = heads.get(ENTRIES / 2).copied().unwrap_or(0);
        self.in_force = self.in_force.max(majority);
    }

    /// Equal for states that differ only in the names of the entries.
    fn identify(&mut self) {
        let mut order: Vec<usize> = (0..ENTRIES).collect();
        order.sort_by_key(|index| self.nodes[*index].rank());
        let nodes = order.iter().map(|index| {
            let node = &self.nodes[*index];
            let (answered, confirmed_after) = node.peers();
            let bits = |old: &usize| (answered >> old & 1, confirmed_after >> old & 1);
            (node.rank(), order.iter().map(bits).collect())
        });
        let nodes = nodes.collect();
        self.identity = Some(Identity {
            marks: self.marks.clone(),
            earliest: self.log.earliest,
            nodes,
            in_force: self.in_force,
            left: (self.sends, self.checkpoints, self.replacements),
        });
    }
}

/// What tells one state from another.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct Identity {
    marks: Vec<Mark>,
    earliest: u64,
    nodes: Vec<(NodeRank, Vec<(u8, u8)>)>,
    in_force: u64,
    left: ([u8; 2], u8, u8),
}

impl PartialEq for State {
    fn eq(&self, other: &Self) -> bool {
        self.identity == other.identity
    }
}

impl Eq for State {}

impl Hash for State {
    fn hash<H: Hasher>(&self, state: &mut H) {
        self.identity.hash(state);
    }
}
