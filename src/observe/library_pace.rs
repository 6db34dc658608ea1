use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Duration;
use std::time::Instant;

use logforth::Diagnostic;
use logforth::Filter;
use logforth::filter::FilterResult;
use logforth::record::FilterCriteria;
use logforth::record::Record;

/// Start of the targets of the project's own records.
const OWN_TARGETS: &str = env!("CARGO_CRATE_NAME");

/// Lines of libraries that are written within one interval.
const MAX_LINES: u32 = 10;

/// Interval for which the lines are counted.
const LINE_INTERVAL: Duration = Duration::from_secs(1);

/// Bounds the log lines of libraries.
///
/// The HTTP library writes a line for each connection with a malformed head, so that clients
/// would decide how much is logged. The project's own records have bounds of their own.
#[derive(Debug, Default)]
pub(super) struct LibraryPace {
    interval: Mutex<Option<LineInterval>>,
}

#[derive(Debug, Clone, Copy)]
struct LineInterval {
    started_at: Instant,
    lines: u32,
}

impl LibraryPace {
    /// Records a line of a library; returns whether it is written.
    fn record(&self, now: Instant) -> bool {
        let mut interval = self.interval.lock().unwrap_or_else(PoisonError::into_inner);
        let current = interval
            .filter(|current| now.saturating_duration_since(current.started_at) < LINE_INTERVAL);
        let mut current = current.unwrap_or(LineInterval {
            started_at: now,
            lines: 0,
        });
        current.lines = current.lines.saturating_add(1);
        *interval = Some(current);
        current.lines <= MAX_LINES
    }
}

impl Filter for LibraryPace {
    fn enabled(&self, _: &FilterCriteria, _: &[Box<dyn Diagnostic>]) -> FilterResult {
        FilterResult::Neutral
    }

    fn matches(&self, record: &Record, _: &[Box<dyn Diagnostic>]) -> FilterResult {
        if record.target().starts_with(OWN_TARGETS) || self.record(Instant::now()) {
            FilterResult::Neutral
        } else {
            FilterResult::Reject
        }
    }
}
