use std::cell::RefCell;
use std::io;
use std::rc::Rc;
use std::time::Duration;

use rand::Rng;
use tokio::net::UdpSocket;
use tokio::time::Instant;

use crate::fleet::EntryRegistration;
use crate::fleet::LogPosition;
use crate::fleet::Topic;
use crate::gateway::Dialect;
use crate::gateway::GatewaySettings;
use crate::gateway::GatewayState;
use crate::gateway::MeasuredSource;
use crate::gateway::RecordDecoder;
use crate::gateway::RecordSource;
use crate::gateway::TopicSink;
use crate::gateway::client_listener::serve_clients;
use crate::gateway::follow::follow_topic;
use crate::gateway::gateway_handle::Gateway;
use crate::gateway::handlers::DirectoryHandler;
use crate::gateway::handlers::InternalCallHandler;
use crate::gateway::handlers::ReadinessHandler;
use crate::gateway::heartbeats::send_heartbeats;
use crate::gateway::piece_cache::PieceCache;
use crate::gateway::received_datagrams::receive_datagrams;
use crate::gateway::refusal_records::keep_refused_causes;
use crate::gateway::reload::apply_settings;
use crate::gateway::reload::wait_for_changed_settings;
use crate::gateway::request_routing::STOP_ACCEPT_TIME;
use crate::gateway::run_clock::RunClock;
use crate::gateway::run_clock::TICK_INTERVAL;
use crate::gateway::settings::CHECK_LOAD;
use crate::gateway::settings::INTERNAL_LOAD;
use crate::gateway::suspect_notices::send_suspect_notices;
use crate::http1::InternalLimits;
use crate::http1::serve_internal;
use crate::observe::Event;
use crate::observe::LogLine;
use crate::observe::Metrics;
use crate::observe::PortRefusals;
use crate::observe::flush_log;
use crate::observe::flush_log_every;
use crate::weights::OriginPort;

/// Interval at which buffered log lines are written.
const LOG_FLUSH_INTERVAL: Duration = Duration::from_millis(250);

/// Longest time for which an entry waits for the registrations before it registers.
const MEMBERS_LISTING_WAIT: Duration = Duration::from_millis(1_500);

/// Interval at which a starting entry checks whether the registrations have arrived.
const REGISTRATION_CHECK_INTERVAL: Duration = Duration::from_millis(20);

/// Mean interval at which an entry checks whether the store still has its registration.
const REGISTRATION_WATCH_INTERVAL: Duration = Duration::from_secs(1);

/// Shortest and longest pause after a failed registration. It doubles from one to the
/// next, as a registration whose reply was lost is in force.
const REGISTRATION_PAUSES: (Duration, Duration) =
    (Duration::from_millis(500), Duration::from_secs(4));

/// Longest time before the end of the grace period, when the platform kills the process, at
/// which requests that are still active are ended.
const KILL_MARGIN: Duration = Duration::from_millis(700);

/// Share of a short grace period that this takes.
const KILL_MARGIN_SHARE: u32 = 7;

/// Interval at which a stopping process checks whether requests are still active.
const DRAIN_CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// The same once what is under way was ended, and least time for its answers.
const LAST_ANSWER_INTERVAL: Duration = Duration::from_millis(20);

/// Time after the listener is closed in which requests still arrive on open connections and
/// are refused: a round trip to a distant client.
const LAST_REQUEST_TIME: Duration = Duration::from_millis(250);

/// Runs an entry process until a stop signal.
///
/// Each call of `new_source` returns a new connection to the platform's store; `changed`
/// returns the settings if they changed since its last call.
///
/// # Errors
///
/// When an address can't be bound or a signal handler can't be installed.
pub async fn run_entry_process<S: RecordSource + 'static>(
    settings: GatewaySettings,
    dialect: Rc<impl Dialect + 'static>,
    decoder: Rc<impl RecordDecoder + 'static>,
    origin: impl OriginPort,
    new_source: impl Fn() -> S,
    mut changed: impl FnMut() -> Option<GatewaySettings>,
) -> io::Result<()> {
    let mut terminate = tokio::signal::unix::signal(tokio::signal::unix::SignalKind::terminate())?;
    let mut hang_up = tokio::signal::unix::signal(tokio::signal::unix::SignalKind::hangup())?;
    let metrics = Rc::new(Metrics::new());
    let state = GatewayState::new(settings.clone());
    let pieces = PieceCache::new(state.clone(), origin, metrics.clone());
    let new_source = || MeasuredSource::new(new_source(), metrics.clone());
    // Whoever reaches a port of this process also reaches it with datagrams.
    let socket = Rc::new(UdpSocket::bind(settings.internal).await?);
    start_listeners(&settings, &state, &dialect, &metrics, &pieces).await?;
    actix_rt::spawn(pieces.clone().read_ahead());
    actix_rt::spawn(pieces.evict_unused());
    for topic in Topic::ALL {
        actix_rt::spawn(follow_topic(
            state.clone(),
            topic,
            new_source(),
            decoder.clone(),
        ));
    }
    actix_rt::spawn(register_entry(state.clone(), new_source()));
    actix_rt::spawn(keep_refused_causes(state.clone(), new_source()));
    actix_rt::spawn(send_heartbeats(state.clone(), socket.clone()));
    actix_rt::spawn(send_suspect_notices(state.clone(), socket.clone()));
    actix_rt::spawn(receive_datagrams(state.clone(), socket, decoder));
    actix_rt::spawn(flush_log_every(LOG_FLUSH_INTERVAL, metrics.clone()));
    LogLine::new(Event::ProcessStarted)
        .text("role", "entry")
        .text("host", &settings.name)
        .text("front", settings.front.to_string())
        .enqueue();
    let clock = Rc::new(RefCell::new(RunClock::new(Instant::now())));
    actix_rt::spawn(tick(clock.clone()));
    loop {
        tokio::select! {
            _ = terminate.recv() => break,
            new = wait_for_changed_settings(&mut hang_up, &mut changed) => apply_settings(&state, &new),
        }
    }
    let signalled_at = clock.borrow().signal_sent_at(Instant::now());
    // The settings may have changed since they were last read.
    if let Some(new) = changed() {
        apply_settings(&state, &new);
    }
    drain_and_stop(&state, signalled_at).await;
    Ok(())
}

/// Keeps the time at which the process last ran.
async fn tick(clock: Rc<RefCell<RunClock>>) {
    loop {
        tokio::time::sleep(TICK_INTERVAL).await;
        clock.borrow_mut().tick(Instant::now());
    }
}

/// Binds the addresses of the settings, and spawns their handlers.
async fn start_listeners(
    settings: &GatewaySettings,
    state: &Rc<RefCell<GatewayState>>,
    dialect: &Rc<impl Dialect + 'static>,
    metrics: &Rc<Metrics>,
    pieces: &Rc<PieceCache<impl OriginPort>>,
) -> io::Result<()> {
    let memory = state.borrow().answer_memory.budget().clone();
    let refusals = PortRefusals::new(metrics.clone());
    let limits = |port, load| InternalLimits {
        port,
        memory: memory.clone(),
        load,
        refusals: refusals.clone(),
    };
    let front = settings.client_load().listen(settings.front)?;
    let gateway = Gateway {
        state: state.clone(),
        dialect: dialect.clone(),
        metrics: metrics.clone(),
        refusals: refusals.clone(),
    };
    actix_rt::spawn(serve_clients(front, gateway));
    if let Some(address) = settings.ready {
        let readiness = ReadinessHandler {
            state: state.clone(),
            dialect: dialect.clone(),
        };
        let listener = CHECK_LOAD.listen(address)?;
        let limits = limits("readiness", CHECK_LOAD);
        actix_rt::spawn(serve_internal(listener, readiness, limits));
    }
    if let Some(address) = settings.directory {
        let directory = DirectoryHandler {
            state: state.clone(),
            dialect: dialect.clone(),
        };
        let listener = CHECK_LOAD.listen(address)?;
        let limits = limits("directory", CHECK_LOAD);
        actix_rt::spawn(serve_internal(listener, directory, limits));
    }
    for (address, limits) in [
        (settings.internal, limits("internal", INTERNAL_LOAD)),
        (settings.metrics, limits("metrics", CHECK_LOAD)),
    ] {
        let internal = InternalCallHandler {
            state: state.clone(),
            metrics: metrics.clone(),
            pieces: pieces.clone(),
            last_records: RefCell::default(),
        };
        let listener = limits.load.listen(address)?;
        actix_rt::spawn(serve_internal(listener, internal, limits));
    }
    Ok(())
}

/// Registers this entry in the store, so that the others can discover it, and again if the
/// store has lost the registration.
async fn register_entry(state: Rc<RefCell<GatewayState>>, mut source: impl RecordSource) {
    let registration = {
        let settings = &state.borrow().settings;
        EntryRegistration {
            name: settings.name.clone(),
            internal: settings.internal,
        }
    };
    let value = rmp_serde::to_vec(&registration).expect("a registration holds only plain data");
    let (shortest, longest) = REGISTRATION_PAUSES;
    let mut pause = shortest;
    // Era of the store in which the registration was last appended.
    let mut appended_in = None;
    // The listing shows a registration of an earlier run, or one whose reply was lost.
    let listed_by = Instant::now() + MEMBERS_LISTING_WAIT;
    while !state.borrow().topic_table(Topic::Members).has_listing() && Instant::now() < listed_by {
        tokio::time::sleep(REGISTRATION_CHECK_INTERVAL).await;
    }
    loop {
        let (is_registered, era) = {
            let state = state.borrow();
            let table = state.topic_table(Topic::Members);
            let known = table.get(&registration.name);
            (
                known.is_some_and(|record| record.value.as_ref() == Some(&value)),
                LogPosition::unpack(table.end_offset()).era,
            )
        };
        if is_registered || appended_in == Some(era) {
            // Entries that find their registrations lost do not all append at once.
            let jitter = rand::rng().random_range(0.5..1.5);
            tokio::time::sleep(REGISTRATION_WATCH_INTERVAL.mul_f64(jitter)).await;
            continue;
        }
        match source
            .publish(Topic::Members, &registration.name, &value)
            .await
        {
            Ok(()) => {
                appended_in = Some(era);
                pause = shortest;
            }
            Err(error) => {
                log::debug!("cannot register this entry: {error}");
                tokio::time::sleep(pause).await;
                pause = (pause * 2).min(longest);
            }
        }
    }
}

/// Drains the active requests; returns when there are none. Those that are still active
/// shortly before the end of the grace period, which counts from `signalled_at`, are ended.
async fn drain_and_stop(state: &RefCell<GatewayState>, signalled_at: Instant) {
    let grace = Duration::from_millis(state.borrow().settings.grace_ms);
    let kill_margin = KILL_MARGIN.min(grace / KILL_MARGIN_SHARE);
    let ends_at = signalled_at + grace - kill_margin;
    LogLine::new(Event::ProcessStopping)
        .number("requests", state.borrow().active_requests)
        .number(
            "signalled_ms_ago",
            signalled_at.elapsed().as_millis() as u64,
        )
        .enqueue();
    flush_log();
    {
        let mut state = state.borrow_mut();
        state.stopping_since = Some(signalled_at);
        state.ends_at = Some(ends_at);
        state.stop_notice.notify_waiters();
    }
    let idle_end_at = ends_at.min(signalled_at + STOP_ACCEPT_TIME + LAST_REQUEST_TIME);
    loop {
        let now = Instant::now();
        let is_idle = state.borrow().active_requests == 0;
        if now >= ends_at || is_idle && now >= idle_end_at {
            break;
        }
        tokio::time::sleep_until(ends_at.min(now + DRAIN_CHECK_INTERVAL)).await;
    }
    state.borrow_mut().is_ending = true;
    state.borrow().end_notice.notify_waiters();
    // The clients of what was ended get their answers, also where the process has stood still
    // until then, and so does what arrives just now.
    let answered_by = Instant::now() + kill_margin / 2;
    loop {
        tokio::time::sleep(LAST_ANSWER_INTERVAL).await;
        let is_idle = state.borrow().active_requests == 0;
        if is_idle || Instant::now() >= answered_by {
            break;
        }
    }
    LogLine::new(Event::ProcessStopped)
        .number("requests", state.borrow().active_requests)
        .enqueue();
    flush_log();
    // The lines are written by another thread.
    tokio::time::sleep(DRAIN_CHECK_INTERVAL.min(kill_margin / 4)).await;
}
