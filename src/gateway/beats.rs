use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;
use tokio::net::UdpSocket;

use crate::fleet::EngineLoad;
use crate::fleet::EntryBeat;
use crate::fleet::LoadReport;
use crate::fleet::Member;
use crate::fleet::Topic;
use crate::gateway::GatewayState;
use crate::gateway::RecordDecoder;
use crate::gateway::TopicSink;
use crate::gateway::pull_records;
use crate::observe::Event;
use crate::observe::LogLine;
use crate::weights::ChunkBitmap;

/// Interval of the beats between entries.
const BEAT_INTERVAL: Duration = Duration::from_millis(250);

/// Beats to entries for each beat to an endpoint process.
const BEATS_PER_HELLO: u64 = 2;

/// Largest datagram, in bytes.
const MAX_DATAGRAM_BYTES: usize = 8 * 1024;

/// Suspects told in one beat, so that it fits a datagram.
const MAX_TOLD_SUSPECTS: usize = 16;

/// What a host tells the others of a version of weights.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct HaveNote {
    /// Where its endpoint process answers.
    pub address: SocketAddr,
    /// Model.
    pub model: String,
    /// Version.
    pub version: u64,
    /// Pieces that are staged and were checked.
    pub have: ChunkBitmap,
}

/// A message between processes of the system.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub enum Datagram {
    /// An entry is alive.
    Beat(EntryBeat),
    /// Load of an engine.
    Load(LoadReport),
    /// Pieces of weights that a host holds.
    Have(HaveNote),
}

impl Datagram {
    /// Bytes to send.
    pub fn encode(&self) -> Vec<u8> {
        rmp_serde::to_vec(self).expect("a datagram holds only plain data")
    }
}

/// Tells the other entries and the endpoint processes that this one is alive.
pub async fn send_beats(state: Rc<RefCell<GatewayState>>, socket: Rc<UdpSocket>) {
    let mut count = 0u64;
    let mut is_news = false;
    let news = state.borrow().news_notice.clone();
    loop {
        let (bytes, targets) = {
            let mut state = state.borrow_mut();
            state.settle_lapsed();
            let beat = Datagram::Beat(own_beat(&state));
            let mut targets = entry_targets(&state);
            if is_news || count.is_multiple_of(BEATS_PER_HELLO) {
                targets.extend(endpoint_targets(&state));
            }
            targets.sort_unstable();
            targets.dedup();
            (beat.encode(), targets)
        };
        for target in targets {
            // A lost beat is made good by the next one.
            if let Err(error) = socket.try_send_to(&bytes, target) {
                log::debug!("a beat to {target} was not sent: {error}");
            }
        }
        count += 1;
        is_news = tokio::time::timeout(BEAT_INTERVAL, news.notified())
            .await
            .is_ok();
    }
}

fn own_beat(state: &GatewayState) -> EntryBeat {
    let mut suspects = state.suspects.export(state.now_ms());
    suspects.truncate(MAX_TOLD_SUSPECTS);
    EntryBeat {
        name: state.settings.name.clone(),
        incarnation: state.incarnation,
        internal: state.settings.internal,
        front: state.settings.front,
        failure_domain: state.settings.failure_domain.clone(),
        link_mbps: state.settings.link_mbps,
        is_ready: state.is_ready(),
        has_store: state.has_store(),
        ends: state.ends(),
        replicas_age_ms: state.replicas_age_ms(),
        declared: state.weights.notes(state.now_ms() as i64),
        suspects,
    }
}

/// Entries registered in the store, and those heard from.
fn entry_targets(state: &GatewayState) -> Vec<SocketAddr> {
    let own = state.settings.internal;
    let registered = state
        .ledger(Topic::Members)
        .since(0)
        .filter_map(|record| rmp_serde::from_slice::<Member>(record.value.as_deref()?).ok())
        .map(|member| member.internal);
    let heard = state.peers.all().map(|peer| peer.internal);
    registered
        .chain(heard)
        .filter(|address| *address != own)
        .collect()
}

/// Endpoint processes stand beside the replicas, on the same port as entries.
fn endpoint_targets(state: &GatewayState) -> Vec<SocketAddr> {
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
        .map(|(_, replica)| SocketAddr::new(replica.record.address.ip(), port))
        .collect()
}

/// Hands each readable datagram to `take`, with its sender.
pub async fn for_each_datagram(socket: &UdpSocket, mut take: impl FnMut(Datagram, SocketAddr)) {
    let mut buffer = vec![0; MAX_DATAGRAM_BYTES];
    loop {
        let (len, from) = match socket.recv_from(&mut buffer).await {
            Ok(received) => received,
            Err(error) => {
                log::debug!("a datagram was not received: {error}");
                tokio::time::sleep(Duration::from_millis(10)).await;
                continue;
            }
        };
        match rmp_serde::from_slice(&buffer[..len]) {
            Ok(datagram) => take(datagram, from),
            Err(error) => log::debug!("a datagram from {from} is unreadable: {error}"),
        }
    }
}

/// Takes beats and load reports.
pub async fn receive_datagrams(
    state: Rc<RefCell<GatewayState>>,
    socket: Rc<UdpSocket>,
    decoder: Rc<impl RecordDecoder + 'static>,
) {
    for_each_datagram(&socket, |datagram, from| match datagram {
        Datagram::Beat(beat) => take_beat(&state, beat, &decoder),
        Datagram::Load(report) => take_load(&state, &report, from),
        // Notes on pieces are for endpoint processes.
        Datagram::Have(_) => {}
    })
    .await;
}

fn take_load(state: &RefCell<GatewayState>, report: &LoadReport, from: SocketAddr) {
    let mut state = state.borrow_mut();
    let load = EngineLoad {
        at_ms: state.now_ms(),
        is_up: report.is_up,
        is_loading: report.is_loading,
        running: report.running,
        queued: report.queued,
        memory_used: f64::from(report.memory_used),
        version: report.version,
        pace: f64::from(report.pace),
    };
    state.replicas.take_load(from.ip(), report.port, load);
    let now_ms = state.now_ms() as i64;
    if state.weights.merge(&report.declared, now_ms) {
        state.weights_notice.notify_one();
    }
}

fn take_beat(
    state: &Rc<RefCell<GatewayState>>,
    beat: EntryBeat,
    decoder: &Rc<impl RecordDecoder + 'static>,
) {
    let mut known = state.borrow_mut();
    if beat.name == known.settings.name {
        return;
    }
    let now_ms = known.now_ms();
    known.suspects.merge(beat.suspects.iter().cloned(), now_ms);
    if known.weights.merge(&beat.declared, now_ms as i64) {
        known.weights_notice.notify_one();
    }
    let own_ends = known.ends();
    let lines = LogLine::new(Event::EntrySeen)
        .text("entry", &beat.name)
        .flag("ready", beat.is_ready);
    let internal = beat.internal;
    let is_near = beat.failure_domain == known.settings.failure_domain;
    let ends = beat.ends;
    if ends[Topic::Replicas as usize] <= own_ends[Topic::Replicas as usize] {
        known.confirm_replicas(beat.replicas_age_ms);
    }
    if known.peers.heard(beat, now_ms) {
        lines.write();
    }
    for topic in Topic::ALL {
        let is_behind = ends[topic as usize] > own_ends[topic as usize]
            && (is_near || known.is_outdated(topic));
        if is_behind && known.may_pull(topic) {
            let state = state.clone();
            let decoder = decoder.clone();
            actix_rt::spawn(async move {
                pull_records(&state, topic, internal, &*decoder).await;
                state.borrow_mut().pull_ended(topic);
            });
        }
    }
}
