use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;

use tokio::net::UdpSocket;

use crate::calls::CrashSign;
use crate::fleet::EngineLoad;
use crate::fleet::EntryHeartbeat;
use crate::fleet::LoadReport;
use crate::fleet::Topic;
use crate::gateway::Datagram;
use crate::gateway::FetchRange;
use crate::gateway::GatewayState;
use crate::gateway::KeptConfig;
use crate::gateway::LeavingReplica;
use crate::gateway::RecordDecoder;
use crate::gateway::TopicSink;
use crate::gateway::datagram::send_to_all;
use crate::gateway::fetch_records;
use crate::gateway::for_each_datagram;
use crate::gateway::heartbeat_targets::is_known_endpoint;
use crate::gateway::heartbeats::own_heartbeat;
use crate::gateway::suspect_notices::merge_suspects;
use crate::observe::Event;
use crate::observe::LogLine;

/// Receives heartbeats of entries and load reports of endpoint processes.
pub async fn receive_datagrams(
    state: Rc<RefCell<GatewayState>>,
    socket: Rc<UdpSocket>,
    decoder: Rc<impl RecordDecoder + 'static>,
) {
    for_each_datagram(&socket, |datagram, from| {
        state.borrow_mut().record_run();
        match datagram {
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
