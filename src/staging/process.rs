use std::cell::RefCell;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use rand::Rng;
use tokio::net::UdpSocket;

use crate::fleet::Topic;
use crate::gateway::Datagram;
use crate::gateway::FetchRange;
use crate::gateway::HeldPieces;
use crate::gateway::MeasuredSource;
use crate::gateway::RecordDecoder;
use crate::gateway::RecordSource;
use crate::gateway::TopicSink;
use crate::gateway::fetch_records;
use crate::gateway::for_each_datagram;
use crate::gateway::wait_for_changed_settings;
use crate::http1::INTERNAL_RECEIVE_BUFFER_BYTES;
use crate::http1::InternalLimits;
use crate::http1::ListenerLoad;
use crate::http1::MemoryBudget;
use crate::http1::serve_internal;
use crate::observe::Event;
use crate::observe::LogLine;
use crate::observe::Metrics;
use crate::observe::PortRefusals;
use crate::observe::flush_log;
use crate::observe::flush_log_every;
use crate::staging::EnginePort;
use crate::staging::StagingSettings;
use crate::staging::StagingState;
use crate::staging::fetch_schedule::FetchSchedule;
use crate::staging::follow_records::TOPICS;
use crate::staging::follow_records::follow_records;
use crate::staging::piece_handler::PieceHandler;
use crate::staging::reporter::send_load_reports;
use crate::staging::state::PeerPieces;
use crate::staging::weights_manager::manage_weights;
use crate::weights::OriginPort;

/// Interval at which buffered log lines are passed to the log writer.
const LOG_INTERVAL: Duration = Duration::from_millis(500);

/// Interval of have messages, which list the pieces that a host holds, while any host
/// lacks pieces.
const HAVE_INTERVAL: Duration = Duration::from_millis(60);

/// Interval of have messages while entries serve the pieces: only a host that can
/// reach no entry needs them then.
const BACKUP_HAVE_INTERVAL: Duration = Duration::from_millis(500);

/// The interval of have messages is multiplied by the number of hosts divided by this,
/// rounded up, so that the rate of messages that a host sends stays bounded.
const HOSTS_PER_HAVE_INTERVAL: u32 = 20;

/// Connections that each port serves at once: more than the other hosts of a deployment open.
const PORT_LOAD: ListenerLoad = ListenerLoad {
    max_connections: 128,
    receive_buffer_bytes: INTERNAL_RECEIVE_BUFFER_BYTES,
};

/// Time for which pieces are still served after a stop signal.
const STOP_DELAY: Duration = Duration::from_millis(300);

/// Longest random delay before records are fetched from an entry, in ms: less than
/// the time within which a configuration must be in force.
const MAX_FETCH_DELAY_MS: u64 = 1_500;

/// Runs an endpoint process until a stop signal.
///
/// `changed` returns the settings when their file has changed since the last call.
///
/// # Errors
///
/// Returns an error when a socket can't be bound or a signal handler can't be set.
pub async fn run_endpoint_process<S: RecordSource + 'static>(
    settings: StagingSettings,
    engine: impl EnginePort,
    origin: impl OriginPort,
    decoder: Rc<impl RecordDecoder + 'static>,
    new_source: impl Fn() -> S,
    mut changed: impl FnMut() -> Option<StagingSettings>,
) -> io::Result<()> {
    let mut terminate = tokio::signal::unix::signal(tokio::signal::unix::SignalKind::terminate())?;
    let mut hang_up = tokio::signal::unix::signal(tokio::signal::unix::SignalKind::hangup())?;
    let metrics = Rc::new(Metrics::new());
    let state = StagingState::new(settings.clone());
    let memory = MemoryBudget::of_process(settings.memory_bytes, &[PORT_LOAD, PORT_LOAD]);
    let refusals = PortRefusals::new(metrics.clone());
    // Whoever reaches a port of this process also reaches it with datagrams.
    let socket = Rc::new(UdpSocket::bind(settings.internal).await?);
    for (port, address) in [
        ("internal", settings.internal),
        ("metrics", settings.metrics),
    ] {
        let limits = InternalLimits {
            port,
            memory: memory.clone(),
            load: PORT_LOAD,
            refusals: refusals.clone(),
        };
        let handler = PieceHandler {
            state: state.clone(),
            engine: engine.clone(),
            metrics: metrics.clone(),
        };
        let listener = PORT_LOAD.listen(address)?;
        actix_rt::spawn(serve_internal(listener, handler, limits));
    }
    actix_rt::spawn(follow_records(
        state.clone(),
        MeasuredSource::new(new_source(), metrics.clone()),
        decoder.clone(),
    ));
    actix_rt::spawn(receive_datagrams(state.clone(), socket.clone(), decoder));
    actix_rt::spawn(send_load_reports(
        state.clone(),
        engine.clone(),
        socket.clone(),
    ));
    actix_rt::spawn(send_have_messages(state.clone(), socket));
    actix_rt::spawn(manage_weights(
        state.clone(),
        engine,
        origin,
        metrics.clone(),
    ));
    actix_rt::spawn(flush_log_every(LOG_INTERVAL, metrics));
    LogLine::new(Event::ProcessStarted)
        .text("role", "endpoint")
        .text("host", &settings.name)
        .text("replica", settings.replica.to_string())
        .enqueue();
    loop {
        tokio::select! {
            _ = terminate.recv() => break,
            reloaded = wait_for_changed_settings(&mut hang_up, &mut changed) => {
                state.borrow_mut().settings.weights_apply_ms = reloaded.weights_apply_ms;
                LogLine::new(Event::SettingsReloaded)
                    .number("weights_apply_ms", reloaded.weights_apply_ms)
                    .enqueue();
            }
        }
    }
    LogLine::new(Event::ProcessStopping).enqueue();
    tokio::time::sleep(STOP_DELAY).await;
    LogLine::new(Event::ProcessStopped).enqueue();
    flush_log();
    tokio::time::sleep(LOG_INTERVAL / 10).await;
    Ok(())
}

/// Receives heartbeats of entries and have messages of other hosts.
async fn receive_datagrams(
    state: Rc<RefCell<StagingState>>,
    socket: Rc<UdpSocket>,
    decoder: Rc<impl RecordDecoder + 'static>,
) {
    let schedules: Rc<RefCell<[FetchSchedule; 3]>> = Rc::default();
    for_each_datagram(&socket, |datagram, _| match datagram {
        Datagram::Beat(heartbeat) => {
            {
                let mut state = state.borrow_mut();
                state.record_heartbeat(&heartbeat);
                let now_ms = state.now_ms() as i64;
                state.declared.merge_ages(&heartbeat.declared, now_ms);
            }
            for topic in TOPICS {
                let (is_behind, now_ms) = {
                    let state = state.borrow();
                    let table = state.topic_table(topic);
                    let is_behind = heartbeat.end_offset(topic) > Some(table.end_offset())
                        && (topic == Topic::Operator
                            || !table.has_listing()
                            || state.has_missing_pieces());
                    (is_behind, state.now_ms())
                };
                let delay_ms = rand::rng().random_range(0..MAX_FETCH_DELAY_MS);
                if is_behind && schedules.borrow_mut()[topic as usize].try_start(now_ms, delay_ms) {
                    let (state, decoder, schedules) =
                        (state.clone(), decoder.clone(), schedules.clone());
                    actix_rt::spawn(async move {
                        let range = FetchRange::Missing;
                        fetch_records(&state, topic, heartbeat.internal, range, &*decoder).await;
                        schedules.borrow_mut()[topic as usize].finish();
                    });
                }
            }
        }
        Datagram::Have(message) => {
            let mut state = state.borrow_mut();
            let last_received_ms = state.now_ms();
            state.record_peer_pieces(PeerPieces {
                address: message.address,
                model: message.model,
                version: message.version,
                have: message.have,
                last_received_ms,
            });
        }
        Datagram::Leaving(leaving) => {
            let mut state = state.borrow_mut();
            state.leaving = Some((leaving.id, leaving.born_unix_ms));
        }
        // These are sent to entries only.
        Datagram::Load(_) | Datagram::Kept(_) | Datagram::Suspects(_) => {}
    })
    .await;
}

/// Sends have messages, which list the pieces held here, to the other hosts while
/// any host lacks pieces.
async fn send_have_messages(state: Rc<RefCell<StagingState>>, socket: Rc<UdpSocket>) {
    loop {
        let interval = {
            let state = state.borrow();
            let hosts = u32::try_from(state.replicas.len()).unwrap_or(u32::MAX);
            let interval = if state.relay_entries().is_empty() {
                HAVE_INTERVAL
            } else {
                BACKUP_HAVE_INTERVAL
            };
            if state.has_missing_pieces() {
                for (bytes, target) in have_messages(&state) {
                    // The next message makes up for a lost one.
                    if let Err(error) = socket.try_send_to(&bytes, target) {
                        log::debug!("cannot send a have message to {target}: {error}");
                    }
                }
            }
            interval * hosts.div_ceil(HOSTS_PER_HAVE_INTERVAL).max(1)
        };
        tokio::time::sleep(interval).await;
    }
}

/// Returns the encoded have messages with their targets: the hosts of the region
/// while entries are available, else all known hosts.
fn have_messages(state: &StagingState) -> Vec<(Vec<u8>, SocketAddr)> {
    let own_address = state.settings.internal;
    let settings = &state.settings;
    let has_no_entries = state.relay_entries().is_empty();
    let region = settings.region(&settings.failure_domain);
    let replicas = state
        .replicas
        .iter()
        .filter(|replica| has_no_entries || settings.region(&replica.failure_domain) == region)
        .map(|replica| SocketAddr::new(replica.address.ip(), own_address.port()));
    let peers = state
        .peer_pieces
        .iter()
        .filter(|_| has_no_entries)
        .map(|peer| peer.address);
    let mut targets: Vec<SocketAddr> = replicas
        .chain(peers)
        .filter(|address| *address != own_address)
        .collect();
    targets.sort_unstable();
    targets.dedup();
    let mut messages = Vec::new();
    for staged in &state.staged_models {
        for download in staged.downloads() {
            let version = download.manifest.version;
            let message = Datagram::Have(HeldPieces {
                address: own_address,
                model: staged.model.clone(),
                version,
                have: staged.held_pieces(version),
            });
            let bytes = message.encode();
            messages.extend(targets.iter().map(|target| (bytes.clone(), *target)));
        }
    }
    messages
}

impl StagingState {
    /// Returns whether this host or another one lacks pieces of a wanted version.
    fn has_missing_pieces(&self) -> bool {
        let now_ms = self.now_ms();
        let models = self.models();
        let is_missing_here = models
            .iter()
            .any(|model| self.version_to_fetch(model).is_some());
        let is_missing_elsewhere = self.peer_pieces.iter().any(|peer| {
            !peer.have.is_complete() && now_ms.saturating_sub(peer.last_received_ms) < 3_000
        });
        is_missing_here || is_missing_elsewhere
    }
}
