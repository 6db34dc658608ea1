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
use crate::staging::RelayEntry;
use crate::staging::StagedModel;
use crate::staging::StagingSettings;
use crate::staging::next_load::DownloadProgress;
use crate::staging::next_load::NextLoad;
use crate::staging::next_load::NextLoadInput;
use crate::staging::next_load::next_load;
use crate::weights::HaveMap;

/// Version that engines hold before any was declared.
const FIRST_VERSION: u64 = 1;

/// Time that an entry is told of the load after its last sign, in ms: longer
/// than a restart takes, so that a new process soon knows every load.
const ENTRY_KEPT_MS: u64 = 60_000;

/// Silence after which an entry is not asked for weights, in ms: several beats.
const ENTRY_ALIVE_MS: u64 = 1_600;

/// Time that a note of another host is kept, in ms.
const PEER_PIECES_KEPT_MS: u64 = 10_000;

/// An entry that was heard from.
#[derive(Debug)]
struct KnownEntry {
    address: SocketAddr,
    failure_domain: String,
    link_mbps: f64,
    last_received_ms: u64,
}

impl KnownEntry {
    fn relay_entry(&self) -> RelayEntry {
        RelayEntry {
            address: self.address,
            link_mbps: self.link_mbps,
        }
    }
}

/// What another host says that it holds.
#[derive(Debug, Clone)]
pub struct PeerPieces {
    /// Where its endpoint process answers.
    pub address: SocketAddr,
    /// Model.
    pub model: String,
    /// Version.
    pub version: u64,
    /// Pieces.
    pub have: HaveMap,
    /// Steady time of the note.
    pub last_received_ms: u64,
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
    pub engine_report: Option<EngineReport>,
    /// Whether the engine is about to get an order.
    pub is_load_announced: bool,
    /// Staging area, one entry a model.
    pub staged_models: Vec<StagedModel>,
    /// What other hosts hold.
    pub peer_pieces: Vec<PeerPieces>,
    // Ascending by address.
    entries: Vec<KnownEntry>,
    /// Model and version of the order under way.
    pub pending_order: Option<(String, u64)>,
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
            engine_report: None,
            is_load_announced: false,
            staged_models: Vec::new(),
            peer_pieces: Vec::new(),
            entries: Vec::new(),
            pending_order: None,
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
    pub fn record_heartbeat(&mut self, beat: &EntryBeat) {
        let address = beat.internal;
        let now_ms = self.now_ms();
        self.entries
            .retain(|entry| now_ms.saturating_sub(entry.last_received_ms) < ENTRY_KEPT_MS);
        match self.entries.binary_search_by(|e| e.address.cmp(&address)) {
            Ok(at) => self.entries[at].last_received_ms = now_ms,
            Err(at) => self.entries.insert(
                at,
                KnownEntry {
                    address,
                    failure_domain: beat.failure_domain.clone(),
                    link_mbps: beat.link_mbps,
                    last_received_ms: now_ms,
                },
            ),
        }
    }

    /// Entries to tell the load.
    pub fn entry_addresses(&self) -> impl Iterator<Item = SocketAddr> {
        self.entries.iter().map(|entry| entry.address)
    }

    /// Entries heard from lately; those of the own region, if there are any.
    pub fn relay_entries(&self) -> Vec<RelayEntry> {
        let now_ms = self.now_ms();
        let alive: Vec<&KnownEntry> = self
            .entries
            .iter()
            .filter(|entry| now_ms.saturating_sub(entry.last_received_ms) < ENTRY_ALIVE_MS)
            .collect();
        let region = self.settings.region(&self.settings.failure_domain);
        let is_near = |entry: &&&KnownEntry| self.settings.region(&entry.failure_domain) == region;
        let near: Vec<RelayEntry> = alive
            .iter()
            .filter(is_near)
            .map(|e| e.relay_entry())
            .collect();
        if near.is_empty() {
            return alive.iter().map(|entry| entry.relay_entry()).collect();
        }
        near
    }

    /// Steady time of the last sign of any entry.
    pub fn last_heartbeat_ms(&self) -> Option<u64> {
        self.entries
            .iter()
            .map(|entry| entry.last_received_ms)
            .max()
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
    pub fn engine_version(&self, model: &str) -> u64 {
        let reported = self
            .engine_report
            .as_ref()
            .map_or(0, |report| report.version(model));
        let pending_order = self
            .pending_order
            .iter()
            .find(|pending_order| pending_order.0 == model);
        reported.max(pending_order.map_or(0, |pending_order| pending_order.1))
    }

    /// What to load next of `model`; None when nothing newer is declared.
    pub fn next_load(&self, model: &str) -> Option<NextLoad> {
        let mut declared: Vec<Declaration> = self.declared.of(model).cloned().collect();
        if declared.is_empty() {
            declared.push(Declaration {
                model: model.to_owned(),
                version: FIRST_VERSION,
                learned_ms: 0,
                is_exact: false,
            });
        }
        let downloads: Vec<DownloadProgress> = self
            .staged_models
            .iter()
            .filter(|stage| stage.model == model)
            .flat_map(StagedModel::download_progress)
            .collect();
        next_load(&NextLoadInput {
            now_ms: self.now_ms() as i64,
            engine_version: self.engine_version(model),
            declared: &declared,
            downloads: &downloads,
            apply_ms: self.settings.weights_apply_ms as i64,
            load_slot: self.load_slot(),
        })
    }

    /// Version of `model` to gather now; None when nothing is lacking.
    ///
    /// While the next version to load waits for its turn, a later one is
    /// gathered already.
    pub fn version_to_fetch(&self, model: &str) -> Option<u64> {
        let goal = self.next_load(model);
        if let Some(goal) = goal {
            if !self.is_complete(model, goal.version) {
                return Some(goal.version);
            }
            if self.now_ms() as i64 >= goal.not_before_ms {
                return None;
            }
            let latest = self.declared.of(model).last()?.version;
            return (!self.is_complete(model, latest)).then_some(latest);
        }
        // Others may lack pieces that only lie here unchecked.
        let held = self.engine_version(model);
        (self.is_missing_on_peers(model, held) && !self.is_complete(model, held)).then_some(held)
    }

    /// Whether another host still lacks pieces of the version.
    fn is_missing_on_peers(&self, model: &str, version: u64) -> bool {
        self.peer_pieces.iter().any(|holder| {
            holder.model == model && holder.version == version && !holder.have.is_complete()
        })
    }

    /// Place of the own engine among those of its service, from 0 to 1.
    fn load_slot(&self) -> f64 {
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
    pub fn is_complete(&self, model: &str, version: u64) -> bool {
        self.staged_models
            .iter()
            .any(|stage| stage.model == model && stage.is_complete(version))
    }

    /// Whether pieces of `version` may go to the staging area at once: no version
    /// before it waits there for its order.
    pub fn can_overwrite_staged(&self, model: &str, version: u64) -> bool {
        let held = self.engine_version(model);
        let waits = |stage: &StagedModel| {
            stage.downloads().iter().any(|download| {
                let other = download.manifest.version;
                other > held && other < version && stage.is_complete(other)
            })
        };
        !self
            .staged_models
            .iter()
            .any(|s| s.model == model && waits(s))
    }

    /// Staging area of `model`.
    pub fn staged_model(&mut self, model: &str) -> &mut StagedModel {
        let at = match self
            .staged_models
            .iter()
            .position(|stage| stage.model == model)
        {
            Some(at) => at,
            None => {
                self.staged_models.push(StagedModel::new(model));
                self.staged_models.len() - 1
            }
        };
        &mut self.staged_models[at]
    }

    /// Takes a note of what another host holds.
    pub fn record_peer_pieces(&mut self, holder: PeerPieces) {
        let same = |known: &&mut PeerPieces| {
            known.address == holder.address
                && known.model == holder.model
                && known.version == holder.version
        };
        let now_ms = self.now_ms();
        self.peer_pieces
            .retain(|known| now_ms.saturating_sub(known.last_received_ms) < PEER_PIECES_KEPT_MS);
        match self.peer_pieces.iter_mut().find(same) {
            Some(known) => *known = holder,
            None => self.peer_pieces.push(holder),
        }
    }

    fn record_declaration(&mut self, model: String, version: u64, offset: u64) {
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
                    self.record_declaration(model, version, offset);
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
