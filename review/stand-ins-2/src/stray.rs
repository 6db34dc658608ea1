//! Another writer leaves a record of a service that no configuration names, with the address of a
//! sound replica and a later start.

use std::io::Write;
use std::net::SocketAddr;
use std::path::Path;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::Verdict;
use crate::http::Connection;
use crate::http::Head;
use crate::http::serve;
use crate::process::Record;
use crate::process::Scratch;
use crate::process::config;
use crate::process::free_address;
use crate::process::machine_ip;
use crate::process::replica_record;
use crate::process::start_entry;
use crate::process::unix_ms;
use crate::store::Store;

/// Replicas of the service, all of them sound.
const REPLICAS: usize = 3;

/// Clients with a kept connection each.
const CLIENTS: u32 = 16;

/// Pause between the starts of two clients.
const CLIENT_START_PAUSE: Duration = Duration::from_millis(70);

/// Events of a stream, and the pause before each.
pub const EVENTS: u64 = 20;
const EVENT_PAUSE: Duration = Duration::from_millis(60);

/// Time for which clients begin requests.
const TRAFFIC_TIME: Duration = Duration::from_secs(20);

/// Time after the start of traffic at which the other writer's record is written.
const STRAY_AT: Duration = Duration::from_secs(3);

/// Time after the start of traffic at which the settings of the entry change, and it gets SIGHUP.
const RELOAD_AT: Duration = Duration::from_secs(8);

/// Time after the signal for which requests count as sent around planned work: `config_apply_ms`.
const PLANNED_TIME: Duration = Duration::from_millis(2_000);

/// Interval at which a replica writes its record.
const HEARTBEAT: Duration = Duration::from_millis(1_200);

/// Connections closed without an answer that the rule allows.
pub const MAX_LOST: usize = 3;

/// Deadline of a request, in ms.
pub const DEADLINE_MS: u64 = 6_000;

/// Attempts whose streams the replicas have sent to their end.
pub type Answered = Arc<Mutex<Vec<String>>>;

/// Results of the requests.
#[derive(Debug, Default)]
pub struct Results {
    pub whole: usize,
    pub refused: usize,
    pub other: usize,
    /// Streams that ended as complete before their last event.
    pub cut_as_complete: usize,
    /// Attempts whose connection was closed without a complete answer, and when they were sent.
    pub closed: Vec<(String, Instant)>,
}

/// Runs the case.
pub fn run(folder: &Path, has_trouble: bool) -> std::io::Result<Verdict> {
    let record = Arc::new(Record::create(folder)?);
    let scratch = Scratch::create("review-2-stray")?;
    let store = Store::start()?;
    let answered = Answered::default();
    let born = unix_ms();
    let mut replicas = Vec::new();
    for number in 0..REPLICAS {
        let id = format!("i-{number}");
        let address = free_address(machine_ip(20 + number as u8))?;
        let (own_id, answered) = (id.clone(), answered.clone());
        serve(address, move |head, _, connection| {
            answer(head, &own_id, &answered, connection)
        })?;
        store.put(
            "keyed.servers",
            &id,
            &replica_record("chat", address, "ready", born, 1),
        );
        replicas.push((id, address));
    }
    let route = "{\"name\":\"draft\",\"host\":\"h.example\",\"path_prefix\":\"/draft/\",\
                 \"type\":\"streaming\",\"timeout_ms\":6000,\"target_latency_ms\":500,\
                 \"priority\":1,\"service\":\"chat\",\"max_attempts\":2,\"anonymous\":true,\
                 \"stream_resume\":false,\"target_gap_ms\":400}";
    let service = "{\"name\":\"chat\",\"health_path\":\"/health\",\"max_connections\":264}";
    store.put("keyed.op", "config", &config(3, route, service));
    let Some((mut entry, addresses)) = start_entry(&scratch, store.address)? else {
        record.line("the entry did not become ready");
        return Ok(Verdict::NotRun);
    };
    record.line(format!(
        "entry ready; {REPLICAS} replicas, {CLIENTS} clients, trouble: {has_trouble}"
    ));

    let results = Arc::new(Mutex::new(Results::default()));
    let request_no = Arc::new(AtomicU64::new(0));
    let began = Instant::now();
    let clients: Vec<_> = (0..CLIENTS)
        .map(|client| {
            let (record, results, request_no) =
                (record.clone(), results.clone(), request_no.clone());
            thread::spawn(move || {
                thread::sleep(CLIENT_START_PAUSE * client);
                let mut kept = None;
                while began.elapsed() < TRAFFIC_TIME {
                    let number = request_no.fetch_add(1, Ordering::Relaxed);
                    kept = ask(addresses.front, kept, number, &record, &results);
                }
            })
        })
        .collect();

    let mut sequence = 1;
    let mut next_beat = HEARTBEAT;
    let mut has_stray = false;
    let mut reloaded_at = None;
    while began.elapsed() < TRAFFIC_TIME {
        thread::sleep(Duration::from_millis(5));
        if has_trouble && !has_stray && began.elapsed() >= STRAY_AT {
            has_stray = true;
            let text = replica_record("other-team", replicas[0].1, "ready", unix_ms(), 1);
            store.put("keyed.servers", "i-other", &text);
            record.line(format!("another writer's record: i-other {text}"));
        }
        if reloaded_at.is_none() && began.elapsed() >= RELOAD_AT {
            change_settings(&scratch)?;
            reloaded_at = Some(Instant::now());
            entry.signal("HUP")?;
            record.line("the settings have changed, and the entry gets SIGHUP");
        }
        if began.elapsed() >= next_beat {
            next_beat += HEARTBEAT;
            sequence += 1;
            for (id, address) in &replicas {
                store.put(
                    "keyed.servers",
                    id,
                    &replica_record("chat", *address, "ready", born, sequence),
                );
            }
        }
    }
    for client in clients {
        let _ = client.join();
    }
    if entry.has_ended() {
        record.line("the entry has ended by itself");
        return Ok(Verdict::Broken);
    }
    let results = results.lock().expect("no holder panics");
    let answered = answered.lock().expect("no holder panics");
    // The replica had sent the whole answer and closed its connection in order.
    let lost = results
        .closed
        .iter()
        .filter(|closed| answered.contains(&closed.0));
    let (mut lost_count, mut planned_count) = (0, 0);
    for (id, sent_at) in lost {
        lost_count += 1;
        let is_planned = reloaded_at.is_some_and(|reloaded_at| {
            *sent_at >= reloaded_at && *sent_at < reloaded_at + PLANNED_TIME
        });
        if is_planned {
            planned_count += 1;
            record.line(format!("{id} was sent around the reload and cut"));
        }
    }
    record.line(format!(
        "{} whole, {} refused, {} other, {} closed without a complete answer; of these {lost_count} \
         although a sound replica had sent its whole answer, {planned_count} around the reload",
        results.whole,
        results.refused,
        results.other,
        results.closed.len()
    ));
    if results.whole == 0 {
        return Ok(Verdict::NotRun);
    }
    Ok(if lost_count > MAX_LOST || planned_count > 0 {
        record.line("LOST broken");
        Verdict::Broken
    } else {
        record.line("LOST held");
        Verdict::Held
    })
}

/// Changes a bound in the settings of the entry that no check depends on.
fn change_settings(scratch: &Scratch) -> std::io::Result<()> {
    let path = scratch.path.join("entry.conf");
    let text = std::fs::read_to_string(&path)?;
    let new_path = scratch.path.join("entry.new");
    std::fs::write(
        &new_path,
        text.replace("bounds.extra_retries=100", "bounds.extra_retries=101"),
    )?;
    std::fs::rename(new_path, path)
}

/// Answers with a stream that has neither a length nor chunks, and closes the connection.
fn answer(head: &Head, id: &str, answered: &Answered, connection: &mut Connection) -> bool {
    if head.header("bergamotfork-expect-instance") != Some(id) {
        let headers = format!("Bergamotfork-Instance-Id: {id}\r\nBergamotfork-Not-Executed: 1\r\n");
        return connection.respond(421, &headers, b"");
    }
    let attempt_id = head
        .header("bergamotfork-request-attempt-id")
        .unwrap_or_default();
    let response = format!(
        "HTTP/1.1 200 OK\r\nBergamotfork-Request-Attempt-Id: {attempt_id}\r\n\
         Bergamotfork-Response-Seal: {id}.{attempt_id}\r\n\
         Content-Type: text/event-stream\r\nConnection: close\r\n\r\n"
    );
    let mut is_open = connection.stream.write_all(response.as_bytes()).is_ok();
    for event in 1..=EVENTS {
        thread::sleep(EVENT_PAUSE);
        let event = format!("id: {event}\ndata: piece {event}\n\n");
        is_open = is_open && connection.stream.write_all(event.as_bytes()).is_ok();
    }
    if is_open {
        let mut answered = answered.lock().expect("no holder panics");
        answered.push(attempt_id.to_owned());
    }
    false
}

/// Asks for a stream over the kept connection, or a new one if there is none; returns the
/// connection if it is kept.
pub fn ask(
    front: SocketAddr,
    kept: Option<Connection>,
    number: u64,
    record: &Record,
    results: &Mutex<Results>,
) -> Option<Connection> {
    let attempt_id = format!("{number:016x}");
    let request = format!(
        "POST /draft/x{number} HTTP/1.1\r\nHost: h.example\r\n\
         Bergamotfork-Request-Attempt-Id: {attempt_id}\r\n\
         Bergamotfork-Deadline-Ms: {DEADLINE_MS}\r\nContent-Length: 5\r\n\r\ndraft"
    );
    let is_kept = kept.is_some();
    let mut connection = match kept {
        Some(connection) => connection,
        None => Connection::open(front)?,
    };
    let sent_at = Instant::now();
    let timeout = Some(Duration::from_millis(DEADLINE_MS + 500));
    let _ = connection.stream.set_read_timeout(timeout);
    let (mut status, mut events, mut is_complete) = (0, 0, false);
    let mut seal = String::new();
    if connection.stream.write_all(request.as_bytes()).is_ok()
        && let Some(head) = connection.read_head()
    {
        status = head.status();
        seal = head
            .header("bergamotfork-response-seal")
            .unwrap_or_default()
            .to_owned();
        let body;
        (body, is_complete) = connection.read_body(&head);
        events = String::from_utf8_lossy(&body).matches("id: ").count() as u64;
    }
    let is_whole = status == 200 && is_complete && events == EVENTS;
    record.line(format!(
        "request {attempt_id} on a {} connection: {status}, {events} events, {}, seal {seal}",
        if is_kept { "kept" } else { "new" },
        match (is_complete, is_whole) {
            (false, _) => "CLOSED",
            (true, false) if status == 200 => "COMPLETE BUT CUT",
            (true, _) => "complete",
        },
    ));
    let mut results = results.lock().expect("no holder panics");
    match status {
        _ if is_whole => results.whole += 1,
        200 if is_complete => results.cut_as_complete += 1,
        503 => results.refused += 1,
        _ if !is_complete => results.closed.push((attempt_id, sent_at)),
        _ => results.other += 1,
    }
    is_whole.then_some(connection)
}
