use std::cell::RefCell;
use std::io::Write;
use std::rc::Rc;
use std::sync::mpsc::SyncSender;
use std::sync::mpsc::TrySendError;
use std::sync::mpsc::sync_channel;
use std::time::Duration;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use tokio::time::Instant;

use crate::observe::Event;
use crate::observe::Metrics;

/// Bytes of lines kept between two flushes; further lines are dropped and counted.
const MAX_PENDING_BYTES: usize = 64 * 1024;

/// Blocks, each with the lines of one flush, that may be queued while the reader of
/// standard output is slow.
const MAX_QUEUED_BLOCKS: usize = 16;

/// Lines of one thread that are not yet handed to the writer thread.
#[derive(Debug, Default)]
struct PendingLines {
    /// The lines, each with its newline.
    text: String,
    /// Lines dropped since the last successful flush.
    dropped_lines: u64,
    /// Queue of the writer thread; `None` when it was not started or has ended.
    writer: Option<SyncSender<String>>,
}

thread_local! {
    /// Pending lines of the current thread.
    static PENDING: RefCell<PendingLines> = RefCell::default();
}

/// Line of JSON about an event, for standard output.
///
/// Lines are kept in memory until `flush_log` hands them to a writer thread, so that a
/// slow reader of standard output does not delay requests.
#[derive(Debug)]
#[must_use]
pub struct LogLine {
    text: String,
}

impl LogLine {
    /// Creates a line about `event` with the time and the event's number, name and level.
    pub fn new(event: Event) -> Self {
        let unix_ms = unix_ms();
        Self {
            text: format!(
                "{{\"unix_ms\":{unix_ms},\"event\":{},\"name\":\"{}\",\"level\":\"{}\"",
                event.number(),
                event.name(),
                event.level()
            ),
        }
    }

    /// Adds a field with a string.
    pub fn text(mut self, key: &str, value: impl AsRef<str>) -> Self {
        let quoted = serde_json::Value::from(value.as_ref()).to_string();
        self.text.push_str(&format!(",\"{key}\":{quoted}"));
        self
    }

    /// Adds a field with an integer; one that exceeds `i64` becomes `i64::MAX`.
    pub fn number(mut self, key: &str, value: impl TryInto<i64>) -> Self {
        let value = value.try_into().unwrap_or(i64::MAX);
        self.text.push_str(&format!(",\"{key}\":{value}"));
        self
    }

    /// Adds a field with a boolean.
    pub fn flag(mut self, key: &str, value: bool) -> Self {
        self.text.push_str(&format!(",\"{key}\":{value}"));
        self
    }

    /// Keeps the line for the next flush; drops and counts it when too much is kept.
    pub fn enqueue(self) {
        PENDING.with_borrow_mut(|pending| {
            if pending.text.len() + self.text.len() > MAX_PENDING_BYTES {
                pending.dropped_lines += 1;
                return;
            }
            pending.text.push_str(&self.text);
            pending.text.push_str("}\n");
        });
    }
}

/// Starts the thread that writes the lines of the current thread to standard output.
pub fn start_log_writer() {
    let (sender, receiver) = sync_channel::<String>(MAX_QUEUED_BLOCKS);
    std::thread::spawn(move || {
        let mut output = std::io::stdout();
        while let Ok(block) = receiver.recv() {
            if output.write_all(block.as_bytes()).is_err() || output.flush().is_err() {
                return;
            }
        }
    });
    PENDING.with_borrow_mut(|pending| pending.writer = Some(sender));
}

/// Calls `flush_log` at this interval, without end.
///
/// Also records how late its timer fires, which shows when the process was stalled.
pub async fn flush_log_every(interval: Duration, metrics: Rc<Metrics>) {
    loop {
        let due = Instant::now() + interval;
        tokio::time::sleep_until(due).await;
        metrics.record_timer_late(due.elapsed().as_secs_f64() * 1_000.0);
        flush_log();
    }
}

/// Hands the lines of the current thread to the writer; drops and counts them when the
/// writer's queue is full.
pub fn flush_log() {
    PENDING.with_borrow_mut(|pending| {
        if pending.text.is_empty() {
            return;
        }
        let mut block = std::mem::take(&mut pending.text);
        if pending.dropped_lines > 0 {
            block.push_str(&format!(
                "{{\"event\":{},\"name\":\"{}\",\"dropped_lines\":{}}}\n",
                Event::LinesDropped.number(),
                Event::LinesDropped.name(),
                pending.dropped_lines
            ));
        }
        let lines = block.lines().count() as u64;
        match pending.writer.as_ref().map(|writer| writer.try_send(block)) {
            Some(Ok(())) => pending.dropped_lines = 0,
            Some(Err(TrySendError::Full(_))) => pending.dropped_lines += lines,
            Some(Err(TrySendError::Disconnected(_))) | None => pending.writer = None,
        }
    });
}

/// Time of the wall clock, in Unix ms.
pub fn unix_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.map_or(0, |since| {
        u64::try_from(since.as_millis()).unwrap_or(u64::MAX)
    })
}
