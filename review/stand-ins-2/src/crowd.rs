//! A crowd of clients sends requests within the limits of the configuration, whose heads have
//! many short lines, and stops just short of the end of their bodies.

use std::io::Write;
use std::net::SocketAddr;
use std::path::Path;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::Verdict;
use crate::http::Connection;
use crate::http::serve;
use crate::process::Record;
use crate::process::Scratch;
use crate::process::config;
use crate::process::replica_record;
use crate::process::start_entry;
use crate::process::unix_ms;
use crate::store::Store;

/// Memory of the machine, in bytes.
const MEMORY_BYTES: u64 = 260 * 1024 * 1024;

/// Clients of the crowd: fewer than the connections that the entry serves at once by the
/// descriptors of its machine.
const CROWD: usize = 1_800;

/// Largest head by the configuration, in bytes, and a reserve.
const MAX_HEAD_BYTES: usize = 16_384 - 64;

/// Body of each request of the crowd, in bytes; its last byte is not sent.
const BODY_BYTES: usize = 2_048;

/// Time for which the crowd stays, less than the idle time that the configuration grants.
const HOLD_TIME: Duration = Duration::from_secs(8);

/// Runs the case.
pub fn run(folder: &Path, has_trouble: bool) -> std::io::Result<Verdict> {
    let record = Record::create(folder)?;
    let scratch = Scratch::create("review-2-crowd")?;
    let store = Store::start()?;
    let replica = serve(([127, 0, 0, 1], 0).into(), |head, _, connection| {
        let id = head
            .header("bergamotfork-request-attempt-id")
            .unwrap_or_default();
        let headers = format!(
            "Bergamotfork-Request-Attempt-Id: {id}\r\nBergamotfork-Response-Seal: s.{id}\r\n"
        );
        connection.respond(200, &headers, b"done")
    })?;
    let route = "{\"name\":\"hold\",\"host\":\"h.example\",\"path_prefix\":\"/hold/\",\
                 \"type\":\"non_idempotent\",\"timeout_ms\":4000,\"target_latency_ms\":300,\
                 \"priority\":2,\"service\":\"desk\",\"max_attempts\":2,\"anonymous\":true}";
    let service = "{\"name\":\"desk\",\"health_path\":\"/health\",\"max_connections\":96}";
    store.put("keyed.op", "config", &config(3, route, service));
    store.put(
        "keyed.servers",
        "i-0",
        &replica_record("desk", replica, "ready", unix_ms(), 1),
    );
    let Some((mut entry, addresses)) = start_entry(&scratch, store.address)? else {
        record.line("the entry did not become ready");
        return Ok(Verdict::NotRun);
    };
    let resident = entry.resident_bytes().unwrap_or(0);
    record.line(format!("entry ready, {} MB resident", resident >> 20));
    let status = ask(addresses.front);
    record.line(format!("an ordinary request before the crowd: {status}"));
    if status != 200 {
        return Ok(Verdict::NotRun);
    }

    let clients = if has_trouble { CROWD } else { 0 };
    let head = crowd_head();
    record.line(format!(
        "{clients} clients send a head of {} bytes and {} of {BODY_BYTES} bytes of a body",
        head.len(),
        BODY_BYTES - 1
    ));
    let mut crowd = Vec::with_capacity(clients);
    let mut most = resident;
    for _ in 0..clients {
        if let Some(mut connection) = Connection::open(addresses.front) {
            let body = vec![b'b'; BODY_BYTES - 1];
            let is_sent = connection.stream.write_all(head.as_bytes()).is_ok()
                && connection.stream.write_all(&body).is_ok();
            if is_sent {
                crowd.push(connection);
            }
        }
        most = most.max(entry.resident_bytes().unwrap_or(0));
        if most > MEMORY_BYTES {
            break;
        }
    }
    record.line(format!(
        "{} connections are open, {} MB resident",
        crowd.len(),
        most >> 20
    ));
    let until = Instant::now() + HOLD_TIME;
    while Instant::now() < until && most <= MEMORY_BYTES && !entry.has_ended() {
        most = most.max(entry.resident_bytes().unwrap_or(0));
        thread::sleep(Duration::from_millis(50));
    }
    record.line(format!(
        "at most {} MB resident of {} MB",
        most >> 20,
        MEMORY_BYTES >> 20
    ));
    if most > MEMORY_BYTES {
        // The platform kills a process that exceeds the memory of its machine.
        entry.kill();
        record.line("the platform kills the entry: it exceeds the memory of its machine");
        let status = ask(addresses.front);
        record.line(format!("an ordinary request afterwards: {status}"));
        return Ok(Verdict::Broken);
    }
    if entry.has_ended() {
        record.line("the entry has ended by itself");
        return Ok(Verdict::Broken);
    }
    let status = ask(addresses.front);
    record.line(format!("an ordinary request beside the crowd: {status}"));
    drop(crowd);
    let until = Instant::now() + Duration::from_secs(20);
    let mut status = 0;
    while status != 200 && Instant::now() < until {
        status = ask(addresses.front);
        thread::sleep(Duration::from_millis(100));
    }
    record.line(format!("an ordinary request after the crowd: {status}"));
    Ok(if status == 200 {
        Verdict::Held
    } else {
        Verdict::Broken
    })
}

/// Head of a request of the crowd, as large as the configuration allows, of short lines.
fn crowd_head() -> String {
    let mut head = format!(
        "POST /hold/x HTTP/1.1\r\nHost: h.example\r\n\
         Bergamotfork-Request-Attempt-Id: 00000000000000aa\r\n\
         Bergamotfork-Deadline-Ms: 4000\r\nContent-Length: {BODY_BYTES}\r\n"
    );
    while head.len() + 7 <= MAX_HEAD_BYTES {
        head.push_str("a:b\r\n");
    }
    head + "\r\n"
}

/// Status of the answer to an ordinary request; 0 without one.
fn ask(front: SocketAddr) -> u16 {
    let Some(mut connection) = Connection::open(front) else {
        return 0;
    };
    let _ = connection
        .stream
        .set_read_timeout(Some(Duration::from_secs(5)));
    let request = "POST /hold/y HTTP/1.1\r\nHost: h.example\r\n\
                   Bergamotfork-Request-Attempt-Id: 00000000000000bb\r\n\
                   Bergamotfork-Deadline-Ms: 4000\r\nContent-Length: 4\r\n\r\nhold";
    if connection.stream.write_all(request.as_bytes()).is_err() {
        return 0;
    }
    connection.read_head().map_or(0, |head| head.status())
}
