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
use crate::process::Process;
use crate::process::Record;
use crate::process::Scratch;
use crate::process::config;
use crate::process::replica_record;
use crate::process::restart_entry;
use crate::process::start_numbered_entry;
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

/// Entries, and the crowds that come to each, one after the other.
const ENTRIES: u8 = 2;
const CROWDS: usize = 3;

/// Pause before a process that was killed is started again.
const RESTART_PAUSE: Duration = Duration::from_millis(500);

/// Time for which the crowd stays, less than the idle time that the configuration grants.
const HOLD_TIME: Duration = Duration::from_secs(6);

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
    let head = crowd_head();
    let clients = if has_trouble { CROWD } else { 0 };
    let mut entries = Vec::new();
    for number in 1..=ENTRIES {
        let Some((process, addresses)) = start_numbered_entry(&scratch, store.address, number)?
        else {
            record.line(format!("entry {number} did not become ready"));
            return Ok(Verdict::NotRun);
        };
        entries.push((number, process, addresses));
    }
    record.line(format!(
        "{ENTRIES} entries ready; {CROWDS} crowds of {clients} clients for each send heads of {} \
         bytes and {} of {BODY_BYTES} bytes of a body",
        head.len(),
        BODY_BYTES - 1
    ));
    // Entries on which the process has ended three times by itself.
    let mut broken_entries = 0;
    for (number, process, addresses) in &mut entries {
        let mut ends = 0;
        for _ in 0..CROWDS {
            let status = ask(addresses.front);
            record.line(format!(
                "entry {number}: an ordinary request before: {status}"
            ));
            if status != 200 {
                return Ok(Verdict::NotRun);
            }
            if !exceeds_memory(&record, *number, process, addresses.front, clients, &head) {
                continue;
            }
            ends += 1;
            let status = ask(addresses.front);
            record.line(format!(
                "entry {number}: an ordinary request afterwards: {status}"
            ));
            thread::sleep(RESTART_PAUSE);
            let Some(again) = restart_entry(&scratch, *number, *addresses)? else {
                record.line(format!("entry {number} did not become ready again"));
                return Ok(Verdict::NotRun);
            };
            *process = again;
        }
        record.line(format!(
            "entry {number}: its process has ended {ends} times"
        ));
        broken_entries += u8::from(ends >= CROWDS);
    }
    Ok(if broken_entries >= ENTRIES {
        record.line("Fault: processes on two machines have ended three times each");
        Verdict::Broken
    } else {
        record.line("held");
        Verdict::Held
    })
}

/// Lets a crowd come to an entry; returns whether its process has ended, by itself or as the
/// platform kills one that exceeds the memory of its machine.
fn exceeds_memory(
    record: &Record,
    number: u8,
    entry: &mut Process,
    front: SocketAddr,
    clients: usize,
    head: &str,
) -> bool {
    let mut most = 0;
    let mut crowd = Vec::with_capacity(clients);
    for _ in 0..clients {
        if let Some(mut connection) = Connection::open(front) {
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
    let until = Instant::now() + HOLD_TIME;
    while Instant::now() < until && most <= MEMORY_BYTES && !entry.has_ended() {
        most = most.max(entry.resident_bytes().unwrap_or(0));
        thread::sleep(Duration::from_millis(50));
    }
    record.line(format!(
        "entry {number}: {} connections are open, at most {} MB resident of {} MB",
        crowd.len(),
        most >> 20,
        MEMORY_BYTES >> 20
    ));
    if entry.has_ended() {
        record.line(format!("entry {number} has ended by itself"));
        return true;
    }
    if most > MEMORY_BYTES {
        entry.kill();
        record.line(format!(
            "entry {number} is killed: it exceeds the memory of its machine"
        ));
        return true;
    }
    let status = ask(front);
    record.line(format!(
        "entry {number}: an ordinary request beside the crowd: {status}"
    ));
    false
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
