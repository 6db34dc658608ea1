//! Replicas are taken away two seconds after their notice, while their streams are under way.

use std::io::Write;
use std::net::SocketAddr;
use std::path::Path;
use std::process::Command;
use std::process::Stdio;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::Verdict;
use crate::http::Connection;
use crate::process::Process;
use crate::process::Record;
use crate::process::Scratch;
use crate::process::config;
use crate::process::free_address;
use crate::process::machine_ip;
use crate::process::replica_record;
use crate::process::start_entry;
use crate::process::unix_ms;
use crate::store::Store;

/// Replicas of the service, and those of them that are taken away, a quarter.
const REPLICAS: usize = 8;
const TAKEN: usize = 2;

/// Events of a stream.
const EVENTS: u64 = 50;

/// Clients, each of which asks for one stream after the other.
const CLIENTS: u32 = 80;

/// Pause between the starts of two clients, so that their streams are not in step.
const CLIENT_START_PAUSE: Duration = Duration::from_millis(40);

/// Time for which clients begin requests.
const TRAFFIC_TIME: Duration = Duration::from_secs(14);

/// Time after the start of traffic at which they get their notice.
const NOTICE_AT: Duration = Duration::from_secs(6);

/// Time from the notice until they are gone.
const NOTICE_TIME: Duration = Duration::from_secs(2);

/// Interval at which a replica writes its record.
const HEARTBEAT: Duration = Duration::from_millis(1_200);

/// Intervals of silence after which the store removes a record.
const HEARTBEATS_UNTIL_REMOVED: u32 = 3;

/// Deadline of a request, in ms.
const DEADLINE_MS: u64 = 6_000;

/// Outcomes of the requests.
#[derive(Debug, Default)]
struct Outcomes {
    whole: u64,
    broken_off: u64,
    refused: u64,
    other: u64,
    /// Streams that ended as complete before their last event.
    cut_as_complete: u64,
}

struct ReplicaProcess {
    process: Process,
    id: String,
    address: SocketAddr,
    born: u128,
}

impl ReplicaProcess {
    fn start(number: usize) -> std::io::Result<Self> {
        let id = format!("i-{number}");
        let address = free_address(machine_ip(20 + number as u8))?;
        let born = unix_ms();
        let child = Command::new(std::env::current_exe()?)
            .args(["replica", &address.to_string(), &id])
            .args([EVENTS.to_string(), born.to_string()])
            .stdin(Stdio::piped())
            .stdout(Stdio::null())
            .spawn()?;
        Ok(Self {
            process: Process::new(child),
            id,
            address,
            born,
        })
    }
}

/// Runs the case.
pub fn run(folder: &Path, has_trouble: bool) -> std::io::Result<Verdict> {
    let record = Arc::new(Record::create(folder)?);
    let scratch = Scratch::create("review-2-spot")?;
    let store = Store::start()?;
    let mut replicas = (0..REPLICAS)
        .map(ReplicaProcess::start)
        .collect::<std::io::Result<Vec<_>>>()?;
    let route = "{\"name\":\"plan\",\"host\":\"h.example\",\"path_prefix\":\"/plan/\",\
                 \"type\":\"streaming\",\"timeout_ms\":6000,\"target_latency_ms\":400,\
                 \"priority\":1,\"service\":\"chat\",\"max_attempts\":2,\"anonymous\":true,\
                 \"stream_resume\":true,\"target_gap_ms\":400}";
    let service = "{\"name\":\"chat\",\"health_path\":\"/health\",\"max_connections\":264}";
    store.put("keyed.op", "config", &config(3, route, service));
    for replica in &replicas {
        let text = replica_record("chat", replica.address, "ready", replica.born, 1);
        store.put("keyed.servers", &replica.id, &text);
    }
    let Some((mut entry, addresses)) = start_entry(&scratch, store.address)? else {
        record.line("the entry did not become ready");
        return Ok(Verdict::NotRun);
    };
    record.line(format!(
        "entry ready; {REPLICAS} replicas, {CLIENTS} clients, trouble: {has_trouble}"
    ));

    let outcomes = Arc::new(Mutex::new(Outcomes::default()));
    let request_no = Arc::new(AtomicU64::new(0));
    let began = Instant::now();
    let clients: Vec<_> = (0..CLIENTS)
        .map(|client| {
            let (record, outcomes, request_no) =
                (record.clone(), outcomes.clone(), request_no.clone());
            thread::spawn(move || {
                thread::sleep(CLIENT_START_PAUSE * client);
                while began.elapsed() < TRAFFIC_TIME {
                    let number = request_no.fetch_add(1, Ordering::Relaxed);
                    ask(addresses.front, number, &record, &outcomes);
                }
            })
        })
        .collect();

    let mut sequence = 1;
    let mut next_beat = HEARTBEAT;
    let (mut has_notice, mut is_gone, mut is_removed) = (false, false, false);
    let mut last_beat_at = Duration::ZERO;
    while began.elapsed() < TRAFFIC_TIME + Duration::from_millis(DEADLINE_MS + 500) {
        thread::sleep(Duration::from_millis(5));
        let now = began.elapsed();
        if has_trouble && !has_notice && now >= NOTICE_AT {
            has_notice = true;
            sequence += 1;
            for leaving in &mut replicas[..TAKEN] {
                if let Some(input) = &mut leaving.process.child.stdin {
                    input.write_all(b"leave\n")?;
                }
                let text =
                    replica_record("chat", leaving.address, "draining", leaving.born, sequence);
                store.put("keyed.servers", &leaving.id, &text);
                record.line(format!("{} is draining", leaving.id));
            }
            last_beat_at = now;
        }
        if has_notice && !is_gone && now >= NOTICE_AT + NOTICE_TIME {
            is_gone = true;
            for taken in &mut replicas[..TAKEN] {
                taken.process.kill();
                record.line(format!("{} is gone", taken.id));
            }
        }
        if is_gone && !is_removed && now >= last_beat_at + HEARTBEAT * HEARTBEATS_UNTIL_REMOVED {
            is_removed = true;
            for taken in &replicas[..TAKEN] {
                store.put("keyed.servers", &taken.id, "");
            }
            record.line("their records are removed");
        }
        if now >= next_beat {
            next_beat += HEARTBEAT;
            sequence += 1;
            for (number, replica) in replicas.iter().enumerate() {
                let is_leaving = number < TAKEN && has_notice;
                if is_leaving && is_gone {
                    continue;
                }
                let state = if is_leaving { "draining" } else { "ready" };
                let text = replica_record("chat", replica.address, state, replica.born, sequence);
                store.put("keyed.servers", &replica.id, &text);
                if number < TAKEN {
                    last_beat_at = now;
                }
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
    let outcomes = outcomes.lock().expect("no holder panics");
    record.line(format!("{outcomes:?}"));
    if outcomes.whole == 0 {
        return Ok(Verdict::NotRun);
    }
    Ok(if outcomes.cut_as_complete > 0 {
        record.line("ORDER broken: a stream ended as complete before its last piece");
        Verdict::Broken
    } else {
        record.line("ORDER held");
        Verdict::Held
    })
}

/// Asks for a stream over a new connection, and records what came.
fn ask(front: SocketAddr, number: u64, record: &Record, outcomes: &Mutex<Outcomes>) {
    let began = Instant::now();
    let attempt_id = format!("{number:016x}");
    let request = format!(
        "POST /plan/x{number} HTTP/1.1\r\nHost: h.example\r\n\
         Bergamotfork-Request-Attempt-Id: {attempt_id}\r\n\
         Bergamotfork-Deadline-Ms: {DEADLINE_MS}\r\nContent-Length: 4\r\n\r\nplan"
    );
    let Some(mut connection) = Connection::open(front) else {
        thread::sleep(Duration::from_millis(100));
        return;
    };
    let timeout = Some(Duration::from_millis(DEADLINE_MS + 500));
    let _ = connection.stream.set_read_timeout(timeout);
    let mut status = 0;
    let mut seal = String::new();
    let (mut body, mut is_complete) = (Vec::new(), false);
    if connection.stream.write_all(request.as_bytes()).is_ok()
        && let Some(head) = connection.read_head()
    {
        status = head.status();
        seal = head
            .header("bergamotfork-response-seal")
            .unwrap_or_default()
            .to_owned();
        (body, is_complete) = connection.read_body(&head);
    }
    let text = String::from_utf8_lossy(&body);
    let ids: Vec<u64> = text
        .lines()
        .filter_map(|line| line.strip_prefix("id: ")?.parse().ok())
        .collect();
    let is_whole = ids.iter().copied().eq(1..=EVENTS);
    let end = match (status, is_complete, is_whole) {
        (200, true, true) => "whole",
        (200, true, false) => "COMPLETE BUT CUT",
        (200, false, _) => "broken off",
        (503, _, _) => "refused",
        _ => "other",
    };
    record.line(format!(
        "request {attempt_id}: {status}, {} events, last {:?}, {end}, took {} ms, seal {seal}",
        ids.len(),
        ids.last(),
        began.elapsed().as_millis()
    ));
    let mut outcomes = outcomes.lock().expect("no holder panics");
    match end {
        "whole" => outcomes.whole += 1,
        "COMPLETE BUT CUT" => outcomes.cut_as_complete += 1,
        "broken off" => outcomes.broken_off += 1,
        "refused" => outcomes.refused += 1,
        _ => outcomes.other += 1,
    }
    drop(outcomes);
    if status == 503 {
        thread::sleep(Duration::from_millis(200));
    }
}
