use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;
use tokio::net::UdpSocket;

use crate::calls::CrashSign;
use crate::fleet::EngineLoad;
use crate::fleet::EntryHeartbeat;
use crate::fleet::EntryRegistration;
use crate::fleet::LoadReport;
use crate::fleet::Topic;
use crate::fleet::TopicTable;
use crate::fleet::remote_beats;
use crate::gateway::FetchRange;
use crate::gateway::GatewayState;
use crate::gateway::RecordDecoder;
use crate::gateway::TopicSink;
use crate::gateway::fetch_records;
use crate::gateway::suspect_notices::SuspectNotice;
use crate::gateway::suspect_notices::merge_suspects;
use crate::observe::Event;
use crate::observe::LogLine;
use crate::weights::ChunkBitmap;

/// Interval of the heartbeats between entries.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(250);

/// Heartbeats to entries for each heartbeat to an endpoint process.
const HEARTBEATS_PER_ENDPOINT_HEARTBEAT: u64 = 2;

/// Largest datagram, in bytes.
const MAX_DATAGRAM_BYTES: usize = 8 * 1024;

/// Largest number of crash suspects in one heartbeat, so that it fits a datagram.
const MAX_SENT_SUSPECTS: usize = 16;

/// Have message: the pieces of a version of weights that a host holds, as it reports
/// them to other hosts.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct HeldPieces {
    /// Address of the host's endpoint process.
    pub address: SocketAddr,
    /// Name of the model.
    pub model: String,
    /// Version of the weights.
    pub version: u64,
    /// Pieces that are staged and whose digests were verified.
    pub have: ChunkBitmap,
}

/// Notice of an entry that it knows a later configuration than the store, which has come
/// back from an older copy.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct KeptConfig {
    /// Address of the entry for internal calls.
    pub internal: SocketAddr,
    /// Version of the configuration.
    pub version: u64,
}

/// Notice that a replica has said in an answer that it is leaving.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeavingReplica {
    /// Identifier of the replica.
    pub id: String,
    /// Start of its incarnation, in Unix ms.
    pub born_unix_ms: Option<u64>,
}

/// A UDP message between entry and endpoint processes.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub enum Datagram {
    /// Heartbeat of an entry.
    Beat(EntryHeartbeat),
    /// Load of an engine, sent by its endpoint process.
    Load(LoadReport),
    /// Pieces of weights that a host holds, sent between endpoint processes.
    Have(HeldPieces),
    /// Configuration that the store has lost, sent between entries.
    Kept(KeptConfig),
    /// Replica that is leaving, sent between entries and to its endpoint process.
    Leaving(LeavingReplica),
    /// Requests that are suspected of crashes, sent between entries.
    Suspects(SuspectNotice),
}

impl Datagram {
    /// Encodes the message as MessagePack.
    pub fn encode(&self) -> Vec<u8> {
        rmp_serde::to_vec(self).expect("a datagram holds only plain data")
    }
}

/// Sends heartbeats to the other entries and, less often, to the endpoint processes; to
/// those of other regions still less often, the more there are.
///
/// After an update notice, the next heartbeat goes to all of them without delay.
pub async fn send_heartbeats(state: Rc<RefCell<GatewayState>>, socket: Rc<UdpSocket>) {
    let mut heartbeat_count = 0u64;
    let mut has_update = false;
    let notice = state.borrow().update_notice.clone();
    loop {
        let (heartbeat, kept_config, entries, targets) = {
            let mut state = state.borrow_mut();
            state.remove_expired_replicas();
            state.log_silence_changes();
            let heartbeat = Datagram::Beat(own_heartbeat(&state));
            let (entries, endpoints) = (entry_targets(&state), endpoint_targets(&state));
            let remote = entries.iter().chain(&endpoints).filter(|t| t.is_remote);
            let remote_beats = remote_beats(remote.count());
            let is_due = |target: &Target, beats: u64| {
                let beats = if target.is_remote {
                    beats * remote_beats
                } else {
                    beats
                };
                has_update || heartbeat_count.is_multiple_of(beats)
            };
            let due_entries = entries.iter().filter(|t| is_due(t, 1));
            let due_endpoints = endpoints
                .iter()
                .filter(|t| is_due(t, HEARTBEATS_PER_ENDPOINT_HEARTBEAT));
            let mut targets: Vec<SocketAddr> = due_entries
                .chain(due_endpoints)
                .map(|target| target.address)
                .collect();
            targets.sort_unstable();
            targets.dedup();
            let entries: Vec<SocketAddr> = entries.iter().map(|target| target.address).collect();
            (heartbeat.encode(), kept_config(&state), entries, targets)
        };
        send_to_all(&socket, &heartbeat, &targets);
        if let Some(notice) = kept_config {
            send_to_all(&socket, &notice, &entries);
        }
        for (notice, host) in state.borrow_mut().take_leaving_notices() {
            let receivers: Vec<SocketAddr> = entries.iter().copied().chain(host).collect();
            send_to_all(&socket, &Datagram::Leaving(notice).encode(), &receivers);
        }
        heartbeat_count += 1;
        has_update = tokio::time::timeout(HEARTBEAT_INTERVAL, notice.notified())
            .await
            .is_ok();
    }
}

/// Sends a datagram to each target. A lost one is not sent again: the next replaces it.
pub(super) fn send_to_all(socket: &UdpSocket, datagram: &[u8], targets: &[SocketAddr]) {
    for target in targets {
        if let Err(error) = socket.try_send_to(datagram, *target) {
            log::debug!("cannot send a datagram to {target}: {error}");
        }
    }
}

/// Encoded notice of a configuration that the store has lost; None if it has lost none.
fn kept_config(state: &GatewayState) -> Option<Vec<u8>> {
    let version = state.catalog.as_ref()?.version;
    let has_kept_records = state.topic_table(Topic::Operator).has_kept_records();
    has_kept_records.then(|| {
        Datagram::Kept(KeptConfig {
            internal: state.settings.internal,
            version,
        })
        .encode()
    })
}

/// Heartbeat with the present state of this entry.
fn own_heartbeat(state: &GatewayState) -> EntryHeartbeat {
    let now_ms = state.now_ms();
    let suspects = state.suspects.most_suspected(MAX_SENT_SUSPECTS, now_ms);
    EntryHeartbeat {
        name: state.settings.name.clone(),
        incarnation: state.incarnation,
        internal: state.settings.internal,
        front: state.settings.front,
        failure_domain: state.settings.failure_domain.clone(),
        link_mbps: state.settings.link_mbps,
        is_ready: state.is_ready(),
        has_store: state.has_store(),
        ends: state.end_offsets(),
        replicas_age_ms: state.reported_replicas_age_ms(),
        declared: state.weights.recent_ages(now_ms as i64),
        suspects,
    }
}

/// Addresses for internal calls of the entries that are registered in the store.
pub fn registered_entries(members: &TopicTable) -> impl Iterator<Item = SocketAddr> {
    members
        .records_since(0)
        .filter_map(|record| {
            rmp_serde::from_slice::<EntryRegistration>(record.value.as_deref()?).ok()
        })
        .map(|registration| registration.internal)
}

/// A receiver of heartbeats.
#[derive(Debug, Clone, Copy)]
pub(super) struct Target {
    pub(super) address: SocketAddr,
    /// Whether it is known to be in another region.
    is_remote: bool,
}

/// The entries that are registered in the store or sent a heartbeat.
pub(super) fn entry_targets(state: &GatewayState) -> Vec<Target> {
    let own = state.settings.internal;
    let mut targets: Vec<Target> = state
        .peers
        .all_entries()
        .map(|peer| Target {
            address: peer.internal,
            is_remote: is_remote(state, &peer.failure_domain),
        })
        .collect();
    let is_known = |address: &SocketAddr| targets.iter().any(|known| known.address == *address);
    let registered = registered_entries(state.topic_table(Topic::Members));
    let unknown: Vec<SocketAddr> = registered.filter(|address| !is_known(address)).collect();
    targets.extend(unknown.into_iter().map(|address| Target {
        address,
        is_remote: false,
    }));
    targets.retain(|target| target.address != own);
    targets
}

/// Whether a failure domain is in another region than this entry.
fn is_remote(state: &GatewayState, failure_domain: &str) -> bool {
    let settings = &state.settings;
    settings.region(failure_domain) != settings.region(&settings.failure_domain)
}

/// The endpoint processes: each runs on the host of its replica and listens on the same
/// internal port as entries.
fn endpoint_targets(state: &GatewayState) -> Vec<Target> {
    let port = state.settings.internal.port();
    let Some(catalog) = &state.catalog else {
        return Vec::new();
    };
    state
        .replicas
        .listed()
        .filter(|(_, replica)| {
            catalog
                .service(&replica.record.service)
                .is_some_and(|service| service.engine.is_some())
        })
        .map(|(_, replica)| Target {
            address: SocketAddr::new(replica.record.address.ip(), port),
            is_remote: is_remote(state, &replica.record.failure_domain),
        })
        .collect()
}

/// Whether this entry sends heartbeats to the endpoint process at `address`: the replica
/// on its host is listed.
fn is_known_endpoint(state: &GatewayState, address: SocketAddr) -> bool {
    let mut replicas = state.replicas.listed();
    replicas.any(|(_, replica)| replica.record.address.ip() == address.ip())
}

/// Calls `handle` for each datagram that can be decoded, with the sender's address.
pub async fn for_each_datagram(socket: &UdpSocket, mut handle: impl FnMut(Datagram, SocketAddr)) {
    let mut buffer = vec![0; MAX_DATAGRAM_BYTES];
    loop {
        let (len, from) = match socket.recv_from(&mut buffer).await {
            Ok(received) => received,
            Err(error) => {
                log::debug!("cannot receive a datagram: {error}");
                tokio::time::sleep(Duration::from_millis(10)).await;
                continue;
            }
        };
        match rmp_serde::from_slice(&buffer[..len]) {
            Ok(datagram) => handle(datagram, from),
            Err(error) => log::debug!("cannot decode a datagram from {from}: {error}"),
        }
    }
}

/// Receives heartbeats of entries and load reports of endpoint processes.
pub async fn receive_datagrams(
    state: Rc<RefCell<GatewayState>>,
    socket: Rc<UdpSocket>,
    decoder: Rc<impl RecordDecoder + 'static>,
) {
    for_each_datagram(&socket, |datagram, from| match datagram {
        Datagram::Beat(heartbeat) => apply_heartbeat(&state, heartbeat, &decoder),
        Datagram::Load(report) => {
            apply_load_report(&state, &report, from);
            if !is_known_endpoint(&state.borrow(), from) {
                let heartbeat = Datagram::Beat(own_heartbeat(&state.borrow())).encode();
                send_to_all(&socket, &heartbeat, &[from]);
            }
        }
        // Only endpoint processes use the reports of held pieces.
        Datagram::Have(_) => {}
        Datagram::Kept(kept) => apply_kept_config(&state, &kept, &decoder),
        Datagram::Leaving(leaving) => apply_leaving(&state, &leaving),
        Datagram::Suspects(notice) => {
            merge_suspects(&mut state.borrow_mut(), &notice.name, &notice.records);
        }
    })
    .await;
}

/// Applies the load and the declarations that an endpoint process reports.
fn apply_load_report(state: &RefCell<GatewayState>, report: &LoadReport, from: SocketAddr) {
    let mut state = state.borrow_mut();
    let load = EngineLoad {
        received_ms: state.now_ms(),
        is_up: report.is_up,
        is_loading: report.is_loading,
        running: report.running,
        queued: report.queued,
        memory_used: f64::from(report.memory_used),
        version: report.version,
        pace: usable_pace(report.pace),
    };
    state.replicas.record_load(from.ip(), report.port, load);
    if !report.is_up {
        let address = SocketAddr::new(from.ip(), report.port);
        state.record_down_sign(address, CrashSign::ReportedDown);
    }
    let now_ms = state.now_ms() as i64;
    if state.weights.merge_ages(&report.declared, now_ms) {
        state.weights_notice.notify_one();
    }
}

/// Slowdown factor of an engine, which may report any number; the usual one in place of a
/// factor that no engine can have.
fn usable_pace(pace: f32) -> f64 {
    if pace.is_finite() && pace > 0.0 {
        f64::from(pace)
    } else {
        1.0
    }
}

/// Fetches all records of the operator from an entry that knows a later configuration.
fn apply_kept_config(
    state: &Rc<RefCell<GatewayState>>,
    kept: &KeptConfig,
    decoder: &Rc<impl RecordDecoder + 'static>,
) {
    let mut current = state.borrow_mut();
    let own_version = current
        .catalog
        .as_ref()
        .map_or(0, |catalog| catalog.version);
    if own_version < kept.version && current.try_begin_fetch(Topic::Operator) {
        spawn_fetch(
            state,
            Topic::Operator,
            kept.internal,
            FetchRange::All,
            decoder,
        );
    }
}

/// Records that a replica is leaving, as another entry has learned from an answer of it.
fn apply_leaving(state: &RefCell<GatewayState>, leaving: &LeavingReplica) {
    let mut state = state.borrow_mut();
    let replicas = &mut state.replicas;
    if replicas.record_leaving(&leaving.id, leaving.born_unix_ms) {
        LogLine::new(Event::ReplicaAnnouncesLeaving)
            .text("replica", &leaving.id)
            .text("from", "entry")
            .enqueue();
    }
}

/// Fetches records of `topic` from the entry at `peer` in a task of its own.
fn spawn_fetch(
    state: &Rc<RefCell<GatewayState>>,
    topic: Topic,
    peer: SocketAddr,
    range: FetchRange,
    decoder: &Rc<impl RecordDecoder + 'static>,
) {
    let (state, decoder) = (state.clone(), decoder.clone());
    actix_rt::spawn(async move {
        fetch_records(&state, topic, peer, range, &*decoder).await;
        state.borrow_mut().end_fetch(topic);
    });
}

/// Applies a heartbeat, and fetches the records that its sender has and this entry
/// lacks.
fn apply_heartbeat(
    state: &Rc<RefCell<GatewayState>>,
    heartbeat: EntryHeartbeat,
    decoder: &Rc<impl RecordDecoder + 'static>,
) {
    let mut current = state.borrow_mut();
    if heartbeat.name == current.settings.name {
        return;
    }
    let now_ms = current.now_ms();
    merge_suspects(&mut current, &heartbeat.name, &heartbeat.suspects);
    if current
        .weights
        .merge_ages(&heartbeat.declared, now_ms as i64)
    {
        current.weights_notice.notify_one();
    }
    let own_end_offsets = current.end_offsets();
    let line = LogLine::new(Event::EntrySeen)
        .text("entry", &heartbeat.name)
        .flag("ready", heartbeat.is_ready);
    let internal = heartbeat.internal;
    let is_same_domain = heartbeat.failure_domain == current.settings.failure_domain;
    let ends = Topic::ALL.map(|topic| heartbeat.end_offset(topic));
    let is_sender_ready = heartbeat.is_ready;
    let replicas = Topic::Replicas as usize;
    if ends[replicas].is_some_and(|end_offset| end_offset <= own_end_offsets[replicas]) {
        current.confirm_replicas(heartbeat.replicas_age_ms);
    }
    if current.peers.record_heartbeat(heartbeat, now_ms) {
        line.enqueue();
        // An entry that has started does not know the suspects.
        current.tell_all_suspects();
    }
    for topic in Topic::ALL {
        // The listing of a topic without records ends at 0. An entry that is ready has it.
        let lacks_listing = is_sender_ready && !current.topic_table(topic).has_listing();
        let own_end_offset = own_end_offsets[topic as usize];
        let is_behind = (lacks_listing || ends[topic as usize] > Some(own_end_offset))
            && (is_same_domain || current.fetches_across_domains(topic));
        if is_behind && current.try_begin_fetch(topic) {
            spawn_fetch(state, topic, internal, FetchRange::Missing, decoder);
        }
    }
}
