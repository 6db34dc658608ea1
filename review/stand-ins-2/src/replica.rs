//! Stand-in of a replica, as a process of its own. Its answers have neither a length nor chunks
//! and end with their connection. A line on its standard input tells it that it leaves; from
//! then on it says so in its answers.

use std::io::Write;
use std::net::SocketAddr;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;

use crate::Verdict;
use crate::http::Connection;
use crate::http::Head;
use crate::http::serve;

/// Pause before each event: five steps of an engine that is under load.
const EVENT_PAUSE: Duration = Duration::from_millis(60);

static IS_LEAVING: AtomicBool = AtomicBool::new(false);

/// Requests that run.
static RUNNING: AtomicU32 = AtomicU32::new(0);

/// Start of the process.
static BORN_UNIX_MS: AtomicU64 = AtomicU64::new(0);

/// Serves streams of `events` events at `address` until the process is ended or its standard
/// input is closed. Writes the id of each attempt to which it has sent the whole answer.
pub fn run(address: &str, id: &str, events: &str, born: &str) -> std::io::Result<Verdict> {
    let events = events
        .parse()
        .map_err(|_| std::io::Error::other("no number of events"))?;
    let address: SocketAddr = address
        .parse()
        .map_err(|_| std::io::Error::other("no address"))?;
    let id = id.to_owned();
    BORN_UNIX_MS.store(born.parse().unwrap_or(0), Ordering::Relaxed);
    serve(address, move |head, _, connection| {
        answer(head, &id, events, connection)
    })?;
    let mut line = String::new();
    while std::io::stdin().read_line(&mut line)? > 0 {
        IS_LEAVING.store(true, Ordering::Relaxed);
    }
    Ok(Verdict::Held)
}

/// Answers a request; the connection is closed afterwards.
fn answer(head: &Head, id: &str, events: u64, connection: &mut Connection) -> bool {
    if head.path() == "/health" {
        return connection.respond(200, &format!("Bergamotfork-Instance-Id: {id}\r\n"), b"");
    }
    if head.path() == "/report" {
        let running = RUNNING.load(Ordering::Relaxed);
        let born = BORN_UNIX_MS.load(Ordering::Relaxed);
        let report = format!(
            "{{\"stage\":\"unified\",\"models\":[],\"busy\":false,\"sequence\":0,\"queued\":0,\
             \"running\":{running},\"kv_used\":0,\"kv_total\":317000,\"handles\":0,\"born\":{born}}}"
        );
        return connection.respond(200, "Content-Type: application/json\r\n", report.as_bytes());
    }
    if head.header("bergamotfork-expect-instance") != Some(id) {
        let headers = format!("Bergamotfork-Instance-Id: {id}\r\nBergamotfork-Not-Executed: 1\r\n");
        return connection.respond(421, &headers, b"");
    }
    RUNNING.fetch_add(1, Ordering::Relaxed);
    let answered = send_stream(head, id, events, connection);
    RUNNING.fetch_sub(1, Ordering::Relaxed);
    if let Some(attempt_id) = answered {
        println!("{attempt_id}");
    }
    false
}

/// Sends a stream; returns the id of its attempt if it was sent to its end.
fn send_stream<'a>(
    head: &'a Head,
    id: &str,
    events: u64,
    connection: &mut Connection,
) -> Option<&'a str> {
    let attempt_id = head
        .header("bergamotfork-request-attempt-id")
        .unwrap_or_default();
    let after = head
        .header("last-event-id")
        .and_then(|text| text.parse::<u64>().ok());
    let leaving = if IS_LEAVING.load(Ordering::Relaxed) {
        "Server-Leaving: 1\r\n"
    } else {
        ""
    };
    let response = format!(
        "HTTP/1.1 200 OK\r\nBergamotfork-Request-Attempt-Id: {attempt_id}\r\n\
         Bergamotfork-Response-Seal: {id}.{attempt_id}\r\n\
         Content-Type: text/event-stream\r\n{leaving}Connection: close\r\n\r\n"
    );
    let mut is_open = connection.stream.write_all(response.as_bytes()).is_ok();
    for event in after.unwrap_or(0) + 1..=events {
        thread::sleep(EVENT_PAUSE);
        let event = format!("id: {event}\ndata: piece {event}\n\n");
        is_open = is_open && connection.stream.write_all(event.as_bytes()).is_ok();
        if !is_open {
            return None;
        }
    }
    Some(attempt_id)
}
