use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;

use tokio::time::Instant;

use crate::fleet::Catalog;
use crate::fleet::Declaration;
use crate::fleet::DeclarationRecord;
use crate::fleet::Declarations;
use crate::fleet::EntryHeartbeat;
use crate::fleet::HeartbeatGaps;
use crate::fleet::OriginProfile;
use crate::fleet::RelayEntry;
use crate::fleet::ReplicaRecord;
use crate::fleet::Topic;
use crate::fleet::TopicRecord;
use crate::fleet::TopicTable;
use crate::fleet::rendezvous_rank;
use crate::gateway::OperatorRecord;
use crate::gateway::RecordDecoder;
use crate::gateway::TopicSink;
use crate::gateway::decode_replica;
use crate::gateway::log_rejected_record;
use crate::gateway::registered_entries;
use crate::gateway::writer_version;
use crate::observe::Event;
use crate::observe::LogLine;
use crate::staging::EngineReport;
use crate::staging::OpenOrder;
use crate::staging::OrderEnd;
use crate::staging::OrderLedger;
use crate::staging::StagedModel;
use crate::staging::StagingSettings;
use crate::staging::next_load::DownloadProgress;
use crate::staging::next_load::NextLoad;
use crate::staging::next_load::NextLoadInput;
use crate::staging::next_load::next_load;
use crate::staging::next_load::version_to_finish;
use crate::weights::ChunkBitmap;

/// Version to load while no version has been declared.
const INITIAL_VERSION: u64 = 1;

/// Time after its last heartbeat during which an entry still gets load reports,
/// in ms: longer than a restart, so that a restarted entry soon knows every load.
const ENTRY_RETENTION_MS: u64 = 60_000;

/// Shortest time without a heartbeat after which no weights are fetched from an entry, in
/// ms: several heartbeat intervals.
const ENTRY_TIMEOUT_MS: u64 = 1_600;

/// Longest gap between two heartbeats of an entry that runs, in ms; entries of other regions
/// send them less often.
const MAX_ENTRY_GAP_MS: u64 = 2_000;

/// Gap that is assumed of an entry that was just heard of, in ms: two heartbeat intervals.
const FIRST_ENTRY_GAP_MS: u64 = 500;

/// Longest gaps for which an entry has to be silent to count as failed.
const ENTRY_MISSED_GAPS: f64 = 3.2;

/// Time for which the report of another host on its pieces is kept, in ms.
const PEER_PIECES_RETENTION_MS: u64 = 10_000;

/// Time after the start of the process by which an engine that runs has answered, in ms:
/// two intervals of its reports.
const ENGINE_ANSWER_WAIT_MS: u64 = 200;

/// An entry that sent a heartbeat.
#[derive(Debug)]
struct KnownEntry {
    address: SocketAddr,
    failure_domain: String,
    link_mbps: f64,
    gaps: HeartbeatGaps,
}

impl KnownEntry {
    fn is_live(&self, now_ms: u64) -> bool {
        self.gaps
            .is_live(now_ms, ENTRY_MISSED_GAPS, ENTRY_TIMEOUT_MS)
    }

    fn to_relay_entry(&self) -> RelayEntry {
        RelayEntry {
            address: self.address,
            link_mbps: self.link_mbps,
        }
    }
}

/// Pieces of one version that another host reported to hold.
#[derive(Debug, Clone)]
pub struct PeerPieces {
    /// Address of the endpoint process of that host.
    pub address: SocketAddr,
    /// Name of the model.
    pub model: String,
    /// Version of the weights.
    pub version: u64,
    /// Pieces that the host holds.
    pub have: ChunkBitmap,
    /// Monotonic time at which the report was received, in ms.
    pub last_received_ms: u64,
}

/// State of an endpoint process, shared by its tasks.
#[derive(Debug)]
pub struct StagingState {
    /// Settings of the process.
    pub settings: StagingSettings,
    /// Configuration in force; `None` until it is read.
    pub catalog: Option<Rc<Catalog>>,
    /// Replicas of the service of this host.
    pub replicas: Vec<ReplicaRecord>,
    /// Last report of the engine; `None` when the engine did not answer.
    pub engine_report: Option<EngineReport>,
    /// Whether load reports announce a load that the engine does not report yet.
    pub is_load_announced: bool,
    /// Weights on this host, one item for each model.
    pub staged_models: Vec<StagedModel>,
    /// Pieces that other hosts hold, one item for each host, model and version.
    pub peer_pieces: Vec<PeerPieces>,
    // In ascending order of addresses.
    entries: Vec<KnownEntry>,
    /// Model and version of the load order that the engine has not carried out yet.
    pub pending_order: Option<(String, u64)>,
    /// Orders to the engine that got no answer.
    pub orders: OrderLedger,
    /// Declared versions of weights.
    pub declared: Declarations,
    /// Id and start of the incarnation of the engine that is leaving, as it has told entries.
    pub leaving: Option<(String, Option<u64>)>,
    topic_tables: [TopicTable; 3],
    has_engine_answered: bool,
    started_at: Instant,
}

impl StagingState {
    /// Creates the state of a process that has just started.
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
            orders: OrderLedger::default(),
            declared: Declarations::default(),
            leaving: None,
            topic_tables: Default::default(),
            has_engine_answered: false,
            started_at: Instant::now(),
        }))
    }

    /// Returns the monotonic time since the start of the process, in ms.
    pub fn now_ms(&self) -> u64 {
        u64::try_from(self.started_at.elapsed().as_millis()).unwrap_or(u64::MAX)
    }

    /// Records the heartbeat of an entry and drops entries without recent heartbeats.
    pub fn record_heartbeat(&mut self, heartbeat: &EntryHeartbeat) {
        let address = heartbeat.internal;
        let now_ms = self.now_ms();
        self.entries
            .retain(|entry| entry.gaps.silent_ms(now_ms) < ENTRY_RETENTION_MS);
        match self.entries.binary_search_by(|e| e.address.cmp(&address)) {
            Ok(at) => self.entries[at].gaps.record(now_ms, MAX_ENTRY_GAP_MS),
            Err(at) => self.entries.insert(
                at,
                KnownEntry {
                    address,
                    failure_domain: heartbeat.failure_domain.clone(),
                    link_mbps: heartbeat.link_mbps,
                    gaps: HeartbeatGaps::new(now_ms, FIRST_ENTRY_GAP_MS),
                },
            ),
        }
    }

    /// Returns the addresses of the entries that get load reports: those that have sent
    /// heartbeats, or while none has, those that are registered in the store. An entry
    /// answers the report of a host that it does not know yet with a heartbeat.
    pub fn entry_addresses(&self) -> Vec<SocketAddr> {
        if self.entries.is_empty() {
            return registered_entries(self.topic_table(Topic::Members)).collect();
        }
        self.entries.iter().map(|entry| entry.address).collect()
    }

    /// Returns the entries with a recent heartbeat: those of the region of this host,
    /// or all when the region has none.
    pub fn relay_entries(&self) -> Vec<RelayEntry> {
        let now_ms = self.now_ms();
        let available: Vec<&KnownEntry> = self
            .entries
            .iter()
            .filter(|entry| entry.is_live(now_ms))
            .collect();
        let region = self.settings.region(&self.settings.failure_domain);
        let is_in_region =
            |entry: &&&KnownEntry| self.settings.region(&entry.failure_domain) == region;
        let in_region: Vec<RelayEntry> = available
            .iter()
            .filter(is_in_region)
            .map(|e| e.to_relay_entry())
            .collect();
        if in_region.is_empty() {
            return available
                .iter()
                .map(|entry| entry.to_relay_entry())
                .collect();
        }
        in_region
    }

    /// Returns the monotonic time of the last heartbeat of any entry, in ms.
    pub fn last_heartbeat_ms(&self) -> Option<u64> {
        self.entries
            .iter()
            .map(|entry| entry.gaps.last_received_ms())
            .max()
    }

    /// Returns the models that the configuration assigns to the engine of this host.
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

    /// Returns the id of the incarnation of the engine that started at `born_unix_ms`, if
    /// its record is known.
    pub fn incarnation(&self, born_unix_ms: Option<u64>) -> Option<String> {
        let record = self.replicas.iter().find(|replica| {
            replica.address == self.settings.replica && replica.born_unix_ms == born_unix_ms
        })?;
        record.born_unix_ms.map(|_| record.id.clone())
    }

    /// Returns the origin of weights, if one is configured.
    pub fn origin(&self) -> Option<OriginProfile> {
        self.catalog
            .as_ref()?
            .services()
            .iter()
            .find_map(|service| service.origin.clone())
    }

    /// Returns the version of `model` that the engine has loaded or was ordered to
    /// load; 0 for none.
    pub fn engine_version(&self, model: &str) -> u64 {
        let reported = self
            .engine_report
            .as_ref()
            .map_or(0, |report| report.version(model));
        let ordered = self.pending_order.iter().find(|order| order.0 == model);
        reported.max(ordered.map_or(0, |order| order.1))
    }

    /// Returns the version of `model` to load next; `None` when no newer version is
    /// declared.
    ///
    /// An order that may still take effect comes before newer versions. An engine that is
    /// leaving gets no new loads.
    pub fn next_load(&self, model: &str) -> Option<NextLoad> {
        if self.is_engine_leaving() {
            return None;
        }
        if let Some(version) = self.orders.open_version(model) {
            // Where the engine has the version, another order for it would change nothing.
            let is_loaded = self
                .engine_report
                .as_ref()
                .is_some_and(|report| report.version(model) == version);
            return (!is_loaded).then(|| NextLoad {
                version,
                not_before_ms: self.now_ms() as i64,
            });
        }
        let mut declared: Vec<Declaration> = self.declared.for_model(model).cloned().collect();
        if declared.is_empty() {
            declared.push(Declaration {
                model: model.to_owned(),
                version: INITIAL_VERSION,
                learned_ms: 0,
                is_time_exact: false,
            });
        }
        let downloads = self.download_progress(model);
        next_load(&NextLoadInput {
            now_ms: self.now_ms() as i64,
            engine_version: self.engine_version(model),
            declared: &declared,
            downloads: &downloads,
            apply_ms: self.settings.weights_apply_ms as i64,
            load_slot: self.load_slot(),
        })
    }

    /// Returns whether the present incarnation of the engine is leaving.
    fn is_engine_leaving(&self) -> bool {
        let report = self.engine_report.as_ref();
        let born_unix_ms = report.and_then(|report| report.born_unix_ms);
        self.leaving.as_ref().is_some_and(|(id, born)| {
            *born == born_unix_ms && self.incarnation(born_unix_ms).as_ref() == Some(id)
        })
    }

    /// Returns the progress of the downloads of `model`.
    fn download_progress(&self, model: &str) -> Vec<DownloadProgress> {
        self.staged_models
            .iter()
            .filter(|staged| staged.model == model)
            .flat_map(|staged| staged.download_progress(self.now_ms() as i64))
            .collect()
    }

    /// Returns the version of `model` to fetch now; `None` when no piece is missing.
    ///
    /// While a complete version waits for its load slot, the latest declared version
    /// is fetched.
    pub fn version_to_fetch(&self, model: &str) -> Option<u64> {
        let next = self.next_load(model);
        if let Some(next) = next {
            let engine_version = self.engine_version(model);
            let downloads = self.download_progress(model);
            let to_finish = version_to_finish(&downloads, engine_version, self.now_ms() as i64);
            if to_finish.is_some_and(|version| version < next.version) {
                return to_finish;
            }
            if !self.is_complete(model, next.version) {
                return Some(next.version);
            }
            if self.now_ms() as i64 >= next.not_before_ms {
                return None;
            }
            let latest = self.declared.for_model(model).last()?.version;
            return (!self.is_complete(model, latest)).then_some(latest);
        }
        // Other hosts may lack pieces that are in the staging area here, but not
        // verified yet.
        let engine_version = self.engine_version(model);
        (self.is_missing_on_peers(model, engine_version)
            && !self.is_complete(model, engine_version))
        .then_some(engine_version)
    }

    /// Returns whether another host reported that it lacks pieces of the version.
    fn is_missing_on_peers(&self, model: &str, version: u64) -> bool {
        self.peer_pieces
            .iter()
            .any(|peer| peer.model == model && peer.version == version && !peer.have.is_complete())
    }

    /// Returns the load slot of the engine: its position among the engines of its
    /// service, from 0 to 1.
    fn load_slot(&self) -> f64 {
        let own = self.settings.replica.to_string();
        let names: Vec<String> = self
            .replicas
            .iter()
            .map(|r| r.address.to_string())
            .collect();
        let slot = rendezvous_rank(&own, names.iter().map(String::as_str), 0);
        slot.min(names.len()) as f64 / names.len().max(1) as f64
    }

    /// Returns whether every piece of `version` is staged or buffered in memory.
    pub fn is_complete(&self, model: &str, version: u64) -> bool {
        self.staged_models
            .iter()
            .any(|staged| staged.model == model && staged.is_complete(version))
    }

    /// Returns whether a piece of another version may still be written over one of
    /// `version`, by a write that got no answer.
    pub fn has_open_write_of_other(&self, model: &str, version: u64) -> bool {
        let now_ms = self.now_ms() as i64;
        self.staged_models
            .iter()
            .any(|staged| staged.model == model && staged.has_open_write_of_other(version, now_ms))
    }

    /// Returns whether pieces of `version` may be written to the staging area right
    /// away: no earlier version that is half there waits to be finished or loaded, and no
    /// order for another one may still take effect.
    pub fn can_overwrite_staged(&self, model: &str, version: u64) -> bool {
        let engine_version = self.engine_version(model);
        let has_waiting = |staged: &StagedModel| {
            staged.downloads().iter().any(|download| {
                let other = download.manifest.version;
                other > engine_version && other < version && staged.is_worth_finishing(other)
            })
        };
        let is_waiting = self
            .staged_models
            .iter()
            .any(|staged| staged.model == model && has_waiting(staged));
        !is_waiting && self.orders.may_write(model, version)
    }

    /// Returns the weights of `model` on this host, created when missing.
    pub fn staged_model(&mut self, model: &str) -> &mut StagedModel {
        let at = match self
            .staged_models
            .iter()
            .position(|staged| staged.model == model)
        {
            Some(at) => at,
            None => {
                self.staged_models.push(StagedModel::new(model));
                self.staged_models.len() - 1
            }
        };
        &mut self.staged_models[at]
    }

    /// Whether the engine has never answered this process: it is still starting, and holds
    /// no weights.
    pub fn is_engine_starting(&self) -> bool {
        !self.has_engine_answered && self.now_ms() >= ENGINE_ANSWER_WAIT_MS
    }

    /// Stores what the engine reported, or that it did not answer.
    pub fn record_engine_report(&mut self, report: Option<EngineReport>) {
        let now_ms = self.now_ms() as i64;
        self.has_engine_answered |= report.is_some();
        if let Some(report) = &report {
            let incarnation = self.incarnation(report.born_unix_ms);
            let settled = self.orders.settle(report, incarnation.as_deref(), now_ms);
            log_settled_orders(&settled, now_ms);
        }
        self.engine_report = report;
    }

    /// Records which pieces another host holds and drops outdated reports.
    pub fn record_peer_pieces(&mut self, reported: PeerPieces) {
        let is_same = |known: &&mut PeerPieces| {
            known.address == reported.address
                && known.model == reported.model
                && known.version == reported.version
        };
        let now_ms = self.now_ms();
        self.peer_pieces.retain(|known| {
            now_ms.saturating_sub(known.last_received_ms) < PEER_PIECES_RETENTION_MS
        });
        match self.peer_pieces.iter_mut().find(is_same) {
            Some(known) => *known = reported,
            None => self.peer_pieces.push(reported),
        }
    }

    /// Records a version that the operator declared in the store.
    fn record_declaration(&mut self, model: String, version: u64, offset: u64) {
        let record = DeclarationRecord {
            model,
            version,
            offset,
            is_after_listing: self.topic_table(Topic::Operator).has_listing(),
        };
        let now_ms = self.now_ms() as i64;
        let apply_ms = self.settings.weights_apply_ms as i64;
        self.declared.add_record(record, now_ms, apply_ms);
    }
}

/// Logs orders that can no longer take effect.
pub(super) fn log_settled_orders(settled: &[(OpenOrder, OrderEnd)], now_ms: i64) {
    for (open, end) in settled {
        LogLine::new(Event::OrderSettled)
            .text("model", &open.order.model)
            .number("version", open.order.version)
            .text("end", end.name())
            .number("orders", open.order.expected_orders)
            .number("took_ms", now_ms - open.first_sent_ms)
            .enqueue();
    }
}

impl TopicSink for StagingState {
    fn catalog(&self) -> Option<Rc<Catalog>> {
        self.catalog.clone()
    }

    fn topic_table(&self, topic: Topic) -> &TopicTable {
        &self.topic_tables[topic as usize]
    }

    fn topic_table_mut(&mut self, topic: Topic) -> &mut TopicTable {
        &mut self.topic_tables[topic as usize]
    }

    fn handle_change(&mut self, topic: Topic, key: &str, decoder: &impl RecordDecoder) {
        let Some(record) = self.topic_tables[topic as usize].get(key) else {
            return;
        };
        let value = record.value.clone();
        let offset = record.offset;
        match (topic, value) {
            (Topic::Operator, Some(value)) => match decoder.operator_record(key, &value) {
                Ok(OperatorRecord::Catalog(catalog)) => {
                    self.catalog = Some(Rc::from(catalog));
                    self.restate_replica_versions(decoder);
                }
                Ok(OperatorRecord::Weights { model, version }) => {
                    self.record_declaration(model, version, offset);
                }
                Ok(OperatorRecord::Other) => {}
                Err(error) => log_rejected_record(topic, key, offset, &error),
            },
            (Topic::Replicas, Some(value)) => {
                let catalog = self.catalog.as_deref();
                let known = self.replicas.iter().find(|replica| replica.id == key);
                match decode_replica(known, catalog, key, &value, decoder) {
                    Ok(record) => {
                        self.replicas.retain(|replica| replica.id != key);
                        if record.service == self.settings.service {
                            self.replicas.push(record);
                        }
                    }
                    Err(error) => log_rejected_record(topic, key, offset, &error),
                }
            }
            (Topic::Replicas, None) => self.replicas.retain(|replica| replica.id != key),
            _ => {}
        }
    }

    fn handle_rewind(&mut self, _topic: Topic) {}

    fn handle_records(
        &mut self,
        topic: Topic,
        records: Vec<TopicRecord>,
        next_offset: u64,
        decoder: &impl RecordDecoder,
    ) {
        for record in records {
            let key = record.key.clone();
            let catalog = self.catalog();
            let is_newer = self.topic_tables[topic as usize].apply_record(record, |record| {
                writer_version(catalog.as_deref(), topic, record, decoder)
            });
            if is_newer {
                self.handle_change(topic, &key, decoder);
            }
        }
        self.topic_tables[topic as usize].advance_end_offset(next_offset);
    }
}
