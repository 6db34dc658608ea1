use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use tokio::net::UdpSocket;

use crate::fleet::LoadReport;
use crate::gateway::Datagram;
use crate::observe::Event;
use crate::observe::LogLine;
use crate::staging::EnginePort;
use crate::staging::EngineReport;
use crate::staging::StagingState;

/// Interval of the load reports: about the mean time between two requests to one
/// replica at peak load.
const REPORT_INTERVAL: Duration = Duration::from_millis(100);

/// Number of reports of which one also goes to the entries of other regions: the
/// links between regions are narrow.
const REPORTS_PER_REMOTE_REPORT: u64 = 4;

/// Number of reports of which one also carries the ages of the declarations: only
/// processes that have just started lack these.
const REPORTS_PER_DECLARATIONS: u64 = 8;

/// Reads the engine's state and sends it to the entries, once an interval.
pub async fn send_load_reports(
    state: Rc<RefCell<StagingState>>,
    mut engine: impl EnginePort,
    socket: Rc<UdpSocket>,
) {
    let mut count = 0u64;
    loop {
        count += 1;
        let to_other_regions = count.is_multiple_of(REPORTS_PER_REMOTE_REPORT);
        let with_declarations = count.is_multiple_of(REPORTS_PER_DECLARATIONS);
        let report = match engine.report().await {
            Ok(report) => Some(report),
            Err(error) => {
                log::debug!("cannot read the report of the engine: {error}");
                None
            }
        };
        publish_report(&state, report, &socket, to_other_regions, with_declarations);
        tokio::time::sleep(REPORT_INTERVAL).await;
    }
}

/// Stores the report in the state and sends it to the entries.
fn publish_report(
    state: &RefCell<StagingState>,
    report: Option<EngineReport>,
    socket: &UdpSocket,
    to_other_regions: bool,
    with_declarations: bool,
) {
    let mut state = state.borrow_mut();
    log_engine_change(state.engine_report.as_ref(), report.as_ref());
    state.record_engine_report(report);
    let bytes = Datagram::Load(load_report(&state, with_declarations)).encode();
    let relay_entries = state.relay_entries();
    let is_relay_entry =
        |address: &SocketAddr| relay_entries.iter().any(|entry| entry.address == *address);
    let targets = state.entry_addresses().into_iter();
    for entry in targets.filter(|e| to_other_regions || is_relay_entry(e)) {
        // The next report makes up for a lost one.
        if let Err(error) = socket.try_send_to(&bytes, entry) {
            log::debug!("cannot send a load report to {entry}: {error}");
        }
    }
}

/// Builds the load report that is sent to the entries.
fn load_report(state: &StagingState, with_declarations: bool) -> LoadReport {
    let port = state.settings.replica.port();
    let models = state.models();
    let declared = if with_declarations {
        state.declared.recent_ages(state.now_ms() as i64)
    } else {
        Vec::new()
    };
    let Some(report) = &state.engine_report else {
        return LoadReport {
            port,
            is_up: false,
            is_loading: false,
            running: 0,
            queued: 0,
            memory_used: 0.0,
            version: 0,
            pace: 1.0,
            declared,
        };
    };
    let version = models.iter().map(|model| report.version(model)).min();
    LoadReport {
        port,
        is_up: true,
        is_loading: report.is_busy || state.is_load_announced,
        running: report.running,
        queued: report.queued,
        memory_used: report.memory_used as f32,
        version: version.unwrap_or(0),
        pace: report.pace as f32,
        declared,
    }
}

/// Logs changes of the engine's availability, weights, order or incarnation, but not
/// of its load.
fn log_engine_change(before: Option<&EngineReport>, after: Option<&EngineReport>) {
    let logged_state = |report: Option<&EngineReport>| {
        report.map(|r| (r.weights.clone(), r.is_busy, r.born_unix_ms))
    };
    if logged_state(before) == logged_state(after) {
        return;
    }
    let mut line = LogLine::new(Event::EngineChanged).flag("up", after.is_some());
    if let Some(report) = after {
        let weights = report.weights.iter().map(|w| format!("{}:{}", w.0, w.1));
        line = line
            .text("weights", weights.collect::<Vec<_>>().join(","))
            .flag("busy", report.is_busy)
            .number("orders", report.orders)
            .number("running", report.running)
            .number("queued", report.queued)
            .number("born_unix_ms", report.born_unix_ms.unwrap_or(0));
    }
    line.enqueue();
}
