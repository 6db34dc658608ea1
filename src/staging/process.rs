use std::cell::RefCell;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use rand::Rng;
use tokio::net::TcpListener;
use tokio::net::UdpSocket;

use crate::fleet::Topic;
use crate::gateway::Datagram;
use crate::gateway::HeldPieces;
use crate::gateway::RecordDecoder;
use crate::gateway::RecordSource;
use crate::gateway::TopicSink;
use crate::gateway::fetch_records;
use crate::gateway::for_each_datagram;
use crate::gateway::read_listing;
use crate::gateway::wait_for_changed_settings;
use crate::http1::serve_internal;
use crate::observe::Event;
use crate::observe::LogLine;
use crate::observe::Metrics;
use crate::observe::flush_log;
use crate::observe::flush_log_every;
use crate::staging::EnginePort;
use crate::staging::StagingSettings;
use crate::staging::StagingState;
use crate::staging::keeper::keep_weights;
use crate::staging::pieces::Pieces;
use crate::staging::pull_plan::PullPlan;
use crate::staging::reporter::report_load;
use crate::staging::state::Holder;
use crate::weights::OriginPort;

/// Interval at which log lines are handed to their writer.
const LOG_INTERVAL: Duration = Duration::from_millis(500);

/// Interval of the notes on pieces while any host lacks some.
const NOTE_INTERVAL: Duration = Duration::from_millis(60);

/// Interval of the notes while entries hand out the pieces: only a host that
/// loses all entries needs them.
const SPARE_NOTE_INTERVAL: Duration = Duration::from_millis(500);

/// Hosts beyond which the notes become rarer, so that their number stays bounded.
const NOTE_HOSTS: u32 = 20;

/// Time without a sign of an entry after which the store is read, in ms.
const ENTRIES_SILENT_MS: u64 = 2_500;

/// Pause before the store is read again, and the longest to which it grows: the
/// entries take some seconds to find a host that has just started.
const STORE_PAUSE: (Duration, Duration) =
    (Duration::from_millis(700), Duration::from_millis(2_800));

/// Time that pieces are still given out after a stop signal.
const STOP_TIME: Duration = Duration::from_millis(300);

/// Longest wait before records are read from an entry, in ms: less than the time
/// in which a configuration must be in force.
const PULL_SPREAD_MS: u64 = 1_500;

/// Topics that an endpoint process follows.
const TOPICS: [Topic; 2] = [Topic::Operator, Topic::Replicas];

/// Runs an endpoint process until a stop signal.
pub async fn run<S: RecordSource + 'static>(
    settings: StagingSettings,
    engine: impl EnginePort,
    origin: impl OriginPort,
    decoder: Rc<impl RecordDecoder + 'static>,
    source: impl Fn() -> S,
    mut changed: impl FnMut() -> Option<StagingSettings>,
) -> io::Result<()> {
    let mut terminate = tokio::signal::unix::signal(tokio::signal::unix::SignalKind::terminate())?;
    let mut hang_up = tokio::signal::unix::signal(tokio::signal::unix::SignalKind::hangup())?;
    let metrics = Rc::new(Metrics::new());
    let state = StagingState::new(settings.clone());
    for address in [settings.internal, settings.metrics] {
        let pieces = Pieces {
            state: state.clone(),
            engine: engine.clone(),
            metrics: metrics.clone(),
        };
        actix_rt::spawn(serve_internal(TcpListener::bind(address).await?, pieces));
    }
    let socket = Rc::new(UdpSocket::bind(settings.internal).await?);
    actix_rt::spawn(read_store(state.clone(), source(), decoder.clone()));
    actix_rt::spawn(receive_datagrams(state.clone(), socket.clone(), decoder));
    actix_rt::spawn(report_load(state.clone(), engine.clone(), socket.clone()));
    actix_rt::spawn(send_notes(state.clone(), socket));
    actix_rt::spawn(keep_weights(state.clone(), engine, origin, metrics));
    actix_rt::spawn(flush_log_every(LOG_INTERVAL));
    LogLine::new(Event::ProcessStarted)
        .text("role", "endpoint")
        .text("host", &settings.name)
        .text("replica", settings.replica.to_string())
        .write();
    loop {
        tokio::select! {
            _ = terminate.recv() => break,
            new = wait_for_changed_settings(&mut hang_up, &mut changed) => {
                state.borrow_mut().settings.weights_apply_ms = new.weights_apply_ms;
                LogLine::new(Event::SettingsReloaded)
                    .number("weights_apply_ms", new.weights_apply_ms)
                    .write();
            }
        }
    }
    LogLine::new(Event::ProcessStopping).write();
    tokio::time::sleep(STOP_TIME).await;
    LogLine::new(Event::ProcessStopped).write();
    flush_log();
    tokio::time::sleep(LOG_INTERVAL / 10).await;
    Ok(())
}

/// Reads the topics from the store at the start, and while no entry is heard.
async fn read_store(
    state: Rc<RefCell<StagingState>>,
    mut source: impl RecordSource,
    decoder: Rc<impl RecordDecoder>,
) {
    let (shortest, longest) = STORE_PAUSE;
    let mut pause = shortest;
    loop {
        let must_read = {
            let state = state.borrow();
            let is_known = TOPICS.iter().all(|topic| state.ledger(*topic).is_known());
            let now_ms = state.now_ms();
            let is_silent = state
                .last_entry_ms()
                .is_none_or(|heard_ms| now_ms.saturating_sub(heard_ms) >= ENTRIES_SILENT_MS);
            !is_known || is_silent
        };
        if must_read {
            for topic in TOPICS {
                if let Err(error) = read_listing(&state, topic, &mut source, &*decoder).await {
                    log::debug!("the store was not read: {error}");
                }
            }
            tokio::time::sleep(pause).await;
            pause = (pause * 2).min(longest);
        } else {
            pause = shortest;
            tokio::time::sleep(pause).await;
        }
    }
}

/// Takes beats of entries and notes of other hosts.
async fn receive_datagrams(
    state: Rc<RefCell<StagingState>>,
    socket: Rc<UdpSocket>,
    decoder: Rc<impl RecordDecoder + 'static>,
) {
    let pulls: Rc<RefCell<[PullPlan; 3]>> = Rc::default();
    for_each_datagram(&socket, |datagram, _| match datagram {
        Datagram::Beat(beat) => {
            {
                let mut state = state.borrow_mut();
                state.entry_heard(&beat);
                let now_ms = state.now_ms() as i64;
                state.declared.merge(&beat.declared, now_ms);
            }
            for topic in TOPICS {
                let (is_behind, now_ms) = {
                    let state = state.borrow();
                    let is_behind = beat.ends[topic as usize] > state.ledger(topic).end_offset()
                        && (topic == Topic::Operator || state.is_gathering());
                    (is_behind, state.now_ms())
                };
                let wait_ms = rand::rng().random_range(0..PULL_SPREAD_MS);
                if is_behind && pulls.borrow_mut()[topic as usize].starts(now_ms, wait_ms) {
                    let (state, decoder, pulls) = (state.clone(), decoder.clone(), pulls.clone());
                    actix_rt::spawn(async move {
                        fetch_records(&state, topic, beat.internal, &*decoder).await;
                        pulls.borrow_mut()[topic as usize].ended();
                    });
                }
            }
        }
        Datagram::Have(note) => {
            let mut state = state.borrow_mut();
            let heard_ms = state.now_ms();
            state.holder_heard(Holder {
                address: note.address,
                model: note.model,
                version: note.version,
                have: note.have,
                heard_ms,
            });
        }
        // Load reports are for entries.
        Datagram::Load(_) => {}
    })
    .await;
}

/// Tells the other hosts which pieces are held, while anybody lacks some.
async fn send_notes(state: Rc<RefCell<StagingState>>, socket: Rc<UdpSocket>) {
    loop {
        let interval = {
            let state = state.borrow();
            let hosts = u32::try_from(state.replicas.len()).unwrap_or(u32::MAX);
            let interval = if state.near_entries().is_empty() {
                NOTE_INTERVAL
            } else {
                SPARE_NOTE_INTERVAL
            };
            if state.is_gathering() {
                for (bytes, target) in notes(&state) {
                    // A lost note is made good by the next one.
                    if let Err(error) = socket.try_send_to(&bytes, target) {
                        log::debug!("a note to {target} was not sent: {error}");
                    }
                }
            }
            interval * hosts.div_ceil(NOTE_HOSTS).max(1)
        };
        tokio::time::sleep(interval).await;
    }
}

/// Notes on what is held, to the hosts of the own region while entries live.
fn notes(state: &StagingState) -> Vec<(Vec<u8>, SocketAddr)> {
    let own = state.settings.internal;
    let settings = &state.settings;
    let is_alone = state.near_entries().is_empty();
    let region = settings.region(&settings.failure_domain);
    let replicas = state
        .replicas
        .iter()
        .filter(|replica| is_alone || settings.region(&replica.failure_domain) == region)
        .map(|replica| SocketAddr::new(replica.address.ip(), own.port()));
    let holders = state
        .holders
        .iter()
        .filter(|_| is_alone)
        .map(|holder| holder.address);
    let mut targets: Vec<SocketAddr> = replicas
        .chain(holders)
        .filter(|address| *address != own)
        .collect();
    targets.sort_unstable();
    targets.dedup();
    let mut notes = Vec::new();
    for stage in &state.stages {
        for copy in stage.copies() {
            let version = copy.manifest.version;
            let note = Datagram::Have(HeldPieces {
                address: own,
                model: stage.model.clone(),
                version,
                have: stage.have(version),
            });
            let bytes = note.encode();
            notes.extend(targets.iter().map(|target| (bytes.clone(), *target)));
        }
    }
    notes
}

impl StagingState {
    /// Whether this host or another one lacks pieces of a wanted version.
    fn is_gathering(&self) -> bool {
        let now_ms = self.now_ms();
        let models = self.models();
        let is_own = models.iter().any(|model| self.to_gather(model).is_some());
        let is_others = self.holders.iter().any(|holder| {
            !holder.have.is_complete() && now_ms.saturating_sub(holder.heard_ms) < 3_000
        });
        is_own || is_others
    }
}
