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

/// Interval of the load reports: about the time in which a replica gets one
/// request at the peak.
const REPORT_INTERVAL: Duration = Duration::from_millis(100);

/// Reports for each one that also goes to entries of other regions, whose links
/// are thin.
const REPORTS_PER_FAR_REPORT: u64 = 4;

/// Reports for each one that also tells the ages of declarations, which only
/// processes that have just started lack.
const REPORTS_PER_AGES: u64 = 8;

/// Reads the engine's state and tells the entries, again and again.
pub async fn report_load(
    state: Rc<RefCell<StagingState>>,
    mut engine: impl EnginePort,
    socket: Rc<UdpSocket>,
) {
    let mut count = 0u64;
    loop {
        count += 1;
        let to_far = count.is_multiple_of(REPORTS_PER_FAR_REPORT);
        let with_ages = count.is_multiple_of(REPORTS_PER_AGES);
        let report = match engine.report().await {
            Ok(report) => Some(report),
            Err(error) => {
                log::debug!("the engine gave no report: {error}");
                None
            }
        };
        tell_entries(&state, report, &socket, to_far, with_ages);
        tokio::time::sleep(REPORT_INTERVAL).await;
    }
}

/// Keeps the report and tells the entries.
fn tell_entries(
    state: &RefCell<StagingState>,
    report: Option<EngineReport>,
    socket: &UdpSocket,
    to_far: bool,
    with_ages: bool,
) {
    let mut state = state.borrow_mut();
    log_change(state.report.as_ref(), report.as_ref());
    state.report = report;
    let bytes = Datagram::Load(load_report(&state, with_ages)).encode();
    let near = state.near_entries();
    let is_near = |address: &SocketAddr| near.iter().any(|entry| entry.address == *address);
    let targets = state.entries().filter(|e| to_far || is_near(e));
    for entry in targets {
        // A lost report is made good by the next one.
        if let Err(error) = socket.try_send_to(&bytes, entry) {
            log::debug!("a load report to {entry} was not sent: {error}");
        }
    }
}

fn load_report(state: &StagingState, with_ages: bool) -> LoadReport {
    let port = state.settings.replica.port();
    let models = state.models();
    let declared = if with_ages {
        state.declared.recent_ages(state.now_ms() as i64)
    } else {
        Vec::new()
    };
    let Some(report) = &state.report else {
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
        is_loading: report.is_busy || state.is_ordering,
        running: report.running,
        queued: report.queued,
        memory_used: report.memory_used as f32,
        version: version.unwrap_or(0),
        pace: report.pace as f32,
        declared,
    }
}

/// Logs what changed of the engine, but not its load.
fn log_change(before: Option<&EngineReport>, after: Option<&EngineReport>) {
    let key = |report: Option<&EngineReport>| {
        report.map(|r| (r.weights.clone(), r.is_busy, r.born_unix_ms))
    };
    if key(before) == key(after) {
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
    line.write();
}
