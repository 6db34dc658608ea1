use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;

use tokio::time::Instant;

use crate::fleet::Catalog;
use crate::fleet::Declaration;
use crate::fleet::Declarations;
use crate::fleet::DeclaredRecord;
use crate::fleet::EntryBeat;
use crate::fleet::Ledger;
use crate::fleet::LedgerRecord;
use crate::fleet::OriginProfile;
use crate::fleet::ReplicaRecord;
use crate::fleet::Topic;
use crate::fleet::rotation_slot;
use crate::gateway::OperatorRecord;
use crate::gateway::RecordDecoder;
use crate::gateway::TopicSink;
use crate::gateway::reject_record;
use crate::staging::EngineReport;
use crate::staging::NearEntry;
use crate::staging::Stage;
use crate::staging::StagingSettings;
use crate::staging::goal::Gathering;
use crate::staging::goal::Goal;
use crate::staging::goal::GoalInput;
use crate::staging::goal::next_goal;
use crate::weights::ChunkBitmap;

/// Version that engines hold before any was declared.
const FIRST_VERSION: u64 = 1;

/// Time that an entry is told of the load after its last sign, in ms: longer
/// than a restart takes, so that a new process soon knows every load.
const ENTRY_KEPT_MS: u64 = 60_000;

/// Silence after which an entry is not asked for weights, in ms: several beats.
const ENTRY_ALIVE_MS: u64 = 1_600;

/// Time that a note of another host is kept, in ms.
const HOLDER_KEPT_MS: u64 = 10_000;

/// An entry that was heard from.
#[derive(Debug)]
struct KnownEntry {
    address: SocketAddr,
    failure_domain: String,
    link_mbps: f64,
    heard_ms: u64,
}

impl KnownEntry {
    fn near(&self) -> NearEntry {
        NearEntry {
            address: self.address,
            link_mbps: self.link_mbps,
        }
    }
}

/// What another host says that it holds.
#[derive(Debug, Clone)]
pub struct Holder {
    /// Where its endpoint process answers.
    pub address: SocketAddr,
    /// Model.
    pub model: String,
    /// Version.
    pub version: u64,
    /// Pieces.
    pub have: ChunkBitmap,
    /// Steady time of the note.
    pub heard_ms: u64,
}

/// What an endpoint process knows, shared by its tasks.
#[derive(Debug)]
pub struct StagingState {
    /// Settings of the process.
    pub settings: StagingSettings,
    /// Configuration in force.
    pub catalog: Option<Rc<Catalog>>,
    /// Replicas of the own service, by id.
    pub replicas: Vec<ReplicaRecord>,
    /// Last report of the engine; None when it did not answer.
    pub report: Option<EngineReport>,
    /// Whether the engine is about to get an order.
    pub is_ordering: bool,
    /// Staging area, one entry a model.
    pub stages: Vec<Stage>,
    /// What other hosts hold.
    pub holders: Vec<Holder>,
    // Ascending by address.
    entries: Vec<KnownEntry>,
    /// Model and version of the order under way.
    pub ordered: Option<(String, u64)>,
    /// Versions of weights that were declared.
    pub declared: Declarations,
    ledgers: [Ledger; 3],
    started: Instant,
}

impl StagingState {
    /// State at the start of a process.
    pub fn new(settings: StagingSettings) -> Rc<RefCell<Self>> {
        Rc::new(RefCell::new(Self {
            settings,
            catalog: None,
            replicas: Vec::new(),
            report: None,
            is_ordering: false,
            stages: Vec::new(),
            holders: Vec::new(),
            entries: Vec::new(),
            ordered: None,
            declared: Declarations::default(),
            ledgers: Default::default(),
            started: Instant::now(),
        }))
    }

    /// Steady time since the start of the process.
    pub fn now_ms(&self) -> u64 {
        u64::try_from(self.started.elapsed().as_millis()).unwrap_or(u64::MAX)
    }

    /// Notes a sign of an entry.
    pub fn entry_heard(&mut self, beat: &EntryBeat) {
        let address = beat.internal;
        let now_ms = self.now_ms();
        self.entries
            .retain(|entry| now_ms.saturating_sub(entry.heard_ms) < ENTRY_KEPT_MS);
        match self.entries.binary_search_by(|e| e.address.cmp(&address)) {
            Ok(at) => self.entries[at].heard_ms = now_ms,
            Err(at) => self.entries.insert(
                at,
                KnownEntry {
                    address,
                    failure_domain: beat.failure_domain.clone(),
                    link_mbps: beat.link_mbps,
                    heard_ms: now_ms,
                },
            ),
        }
    }

    /// Entries to tell the load.
    pub fn entries(&self) -> impl Iterator<Item = SocketAddr> {
        self.entries.iter().map(|entry| entry.address)
    }

    /// Entries heard from lately; those of the own region, if there are any.
    pub fn near_entries(&self) -> Vec<NearEntry> {
        let now_ms = self.now_ms();
        let alive: Vec<&KnownEntry> = self
            .entries
            .iter()
            .filter(|entry| now_ms.saturating_sub(entry.heard_ms) < ENTRY_ALIVE_MS)
            .collect();
        let region = self.settings.region(&self.settings.failure_domain);
        let is_near = |entry: &&&KnownEntry| self.settings.region(&entry.failure_domain) == region;
        let near: Vec<NearEntry> = alive.iter().filter(is_near).map(|e| e.near()).collect();
        if near.is_empty() {
            return alive.iter().map(|entry| entry.near()).collect();
        }
        near
    }

    /// Steady time of the last sign of any entry.
    pub fn last_entry_ms(&self) -> Option<u64> {
        self.entries.iter().map(|entry| entry.heard_ms).max()
    }

    /// Models of the own engine.
    pub fn models(&self) -> Vec<String> {
        let service = self
            .catalog
            .as_ref()
            .and_then(|catalog| catalog.service(&self.settings.service));
        let engine = service.and_then(|service| service.engine.as_ref());
        engine.map_or_else(Vec::new, |engine| {
            engine.models.iter().map(|m| m.name.clone()).collect()
        })
    }

    /// Where weights come from.
    pub fn origin(&self) -> Option<OriginProfile> {
        self.catalog
            .as_ref()?
            .services()
            .iter()
            .find_map(|service| service.origin.clone())
    }

    /// Version of `model` that the engine holds, or was ordered to load.
    pub fn held(&self, model: &str) -> u64 {
        let reported = self
            .report
            .as_ref()
            .map_or(0, |report| report.version(model));
        let ordered = self.ordered.iter().find(|ordered| ordered.0 == model);
        reported.max(ordered.map_or(0, |ordered| ordered.1))
    }

    /// What to load next of `model`; None when nothing newer is declared.
    pub fn goal(&self, model: &str) -> Option<Goal> {
        let mut declared: Vec<Declaration> = self.declared.of(model).cloned().collect();
        if declared.is_empty() {
            declared.push(Declaration {
                model: model.to_owned(),
                version: FIRST_VERSION,
                learned_ms: 0,
                is_exact: false,
            });
        }
        let gatherings: Vec<Gathering> = self
            .stages
            .iter()
            .filter(|stage| stage.model == model)
            .flat_map(Stage::gatherings)
            .collect();
        next_goal(&GoalInput {
            now_ms: self.now_ms() as i64,
            held: self.held(model),
            declared: &declared,
            gatherings: &gatherings,
            apply_ms: self.settings.weights_apply_ms as i64,
            turn: self.turn(),
        })
    }

    /// Version of `model` to gather now; None when nothing is lacking.
    ///
    /// While the next version to load waits for its turn, a later one is
    /// gathered already.
    pub fn to_gather(&self, model: &str) -> Option<u64> {
        let goal = self.goal(model);
        if let Some(goal) = goal {
            if !self.is_whole(model, goal.version) {
                return Some(goal.version);
            }
            if self.now_ms() as i64 >= goal.not_before_ms {
                return None;
            }
            let latest = self.declared.of(model).last()?.version;
            return (!self.is_whole(model, latest)).then_some(latest);
        }
        // Others may lack pieces that only lie here unchecked.
        let held = self.held(model);
        (self.is_asked_for(model, held) && !self.is_whole(model, held)).then_some(held)
    }

    /// Whether another host still lacks pieces of the version.
    fn is_asked_for(&self, model: &str, version: u64) -> bool {
        self.holders.iter().any(|holder| {
            holder.model == model && holder.version == version && !holder.have.is_complete()
        })
    }

    /// Place of the own engine among those of its service, from 0 to 1.
    fn turn(&self) -> f64 {
        let own = self.settings.replica.to_string();
        let names: Vec<String> = self
            .replicas
            .iter()
            .map(|r| r.address.to_string())
            .collect();
        let slot = rotation_slot(&own, names.iter().map(String::as_str), 0);
        slot.min(names.len()) as f64 / names.len().max(1) as f64
    }

    /// Whether every piece of `version` is held.
    pub fn is_whole(&self, model: &str, version: u64) -> bool {
        self.stages
            .iter()
            .any(|stage| stage.model == model && stage.is_whole(version))
    }

    /// Whether pieces of `version` may go to the staging area at once: no version
    /// before it waits there for its order.
    pub fn may_overwrite(&self, model: &str, version: u64) -> bool {
        let held = self.held(model);
        let waits = |stage: &Stage| {
            stage.copies().iter().any(|copy| {
                let other = copy.manifest.version;
                other > held && other < version && stage.is_whole(other)
            })
        };
        !self.stages.iter().any(|s| s.model == model && waits(s))
    }

    /// Staging area of `model`.
    pub fn stage(&mut self, model: &str) -> &mut Stage {
        let at = match self.stages.iter().position(|stage| stage.model == model) {
            Some(at) => at,
            None => {
                self.stages.push(Stage::new(model));
                self.stages.len() - 1
            }
        };
        &mut self.stages[at]
    }

    /// Takes a note of what another host holds.
    pub fn holder_heard(&mut self, holder: Holder) {
        let same = |known: &&mut Holder| {
            known.address == holder.address
                && known.model == holder.model
                && known.version == holder.version
        };
        let now_ms = self.now_ms();
        self.holders
            .retain(|known| now_ms.saturating_sub(known.heard_ms) < HOLDER_KEPT_MS);
        match self.holders.iter_mut().find(same) {
            Some(known) => *known = holder,
            None => self.holders.push(holder),
        }
    }

    fn declare(&mut self, model: String, version: u64, offset: u64) {
        let record = DeclaredRecord {
            model,
            version,
            offset,
            is_fresh: self.ledger(Topic::Operator).is_known(),
        };
        let now_ms = self.now_ms() as i64;
        let apply_ms = self.settings.weights_apply_ms as i64;
        self.declared.declare(record, now_ms, apply_ms);
    }
}

impl TopicSink for StagingState {
    fn ledger(&self, topic: Topic) -> &Ledger {
        &self.ledgers[topic as usize]
    }

    fn ledger_mut(&mut self, topic: Topic) -> &mut Ledger {
        &mut self.ledgers[topic as usize]
    }

    fn take_change(&mut self, topic: Topic, key: &str, decoder: &impl RecordDecoder) {
        let Some(record) = self.ledgers[topic as usize].get(key) else {
            return;
        };
        let value = record.value.clone();
        let offset = record.offset;
        match (topic, value) {
            (Topic::Operator, Some(value)) => match decoder.operator_record(key, &value) {
                Ok(OperatorRecord::Catalog(catalog)) => self.catalog = Some(Rc::from(catalog)),
                Ok(OperatorRecord::Weights { model, version }) => {
                    self.declare(model, version, offset);
                }
                Ok(OperatorRecord::Other) => {}
                Err(error) => reject_record(topic, key, offset, &error),
            },
            (Topic::Replicas, value) => {
                self.replicas.retain(|replica| replica.id != key);
                let decoded = value.map(|value| decoder.replica_record(key, &value));
                match decoded {
                    Some(Ok(record)) if record.service == self.settings.service => {
                        self.replicas.push(record);
                    }
                    Some(Err(error)) => reject_record(topic, key, offset, &error),
                    _ => {}
                }
            }
            _ => {}
        }
    }

    fn take_records(
        &mut self,
        topic: Topic,
        records: Vec<LedgerRecord>,
        next_offset: u64,
        decoder: &impl RecordDecoder,
    ) {
        for record in records {
            let key = record.key.clone();
            if self.ledgers[topic as usize].apply(record) {
                self.take_change(topic, &key, decoder);
            }
        }
        self.ledgers[topic as usize].advance(next_offset);
    }
}
