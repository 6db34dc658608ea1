//! A replica crashes, and starts again at once under its id and at its address.

use std::io::BufRead;
use std::io::BufReader;
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
use crate::process::Process;
use crate::process::Record;
use crate::process::Scratch;
use crate::process::config;
use crate::process::free_address;
use crate::process::machine_ip;
use crate::process::replica_record;
use crate::process::start_endpoint;
use crate::process::start_entry;
use crate::process::unix_ms;
use crate::store::Store;
use crate::stray::Answered;
use crate::stray::DEADLINE_MS;
use crate::stray::EVENTS;
use crate::stray::MAX_LOST;
use crate::stray::Results;
use crate::stray::ask;

/// Replicas of the service; one of them crashes, 14 in 100.
const REPLICAS: usize = 7;

/// Clients with a kept connection each, and the pause between their starts.
const CLIENTS: u32 = 84;
const CLIENT_START_PAUSE: Duration = Duration::from_millis(15);

/// Time for which clients begin requests.
const TRAFFIC_TIME: Duration = Duration::from_secs(30);

/// Times at which the replica crashes.
const CRASHES_AT: [Duration; 3] = [
    Duration::from_secs(5),
    Duration::from_secs(13),
    Duration::from_secs(21),
];

/// Time for which the replica is down.
const DOWN_TIME: Duration = Duration::from_millis(200);

/// Time from its start to its first record, less than an interval of its records.
const REGISTRATION_TIME: Duration = Duration::from_millis(800);

/// Interval at which a replica writes its record.
const HEARTBEAT: Duration = Duration::from_millis(1_200);

/// Starts a replica; its process reports the attempts that it has answered.
fn start_replica(
    id: &str,
    address: SocketAddr,
    born: u128,
    answered: &Answered,
) -> std::io::Result<Process> {
    let mut child = Command::new(std::env::current_exe()?)
        .args(["replica", &address.to_string(), id])
        .args([EVENTS.to_string(), born.to_string()])
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .spawn()?;
    if let Some(output) = child.stdout.take() {
        let answered = answered.clone();
        thread::spawn(move || {
            for attempt_id in BufReader::new(output).lines().map_while(Result::ok) {
                answered.lock().expect("no holder panics").push(attempt_id);
            }
        });
    }
    Ok(Process::new(child))
}

/// Runs the case.
pub fn run(folder: &Path, has_trouble: bool) -> std::io::Result<Verdict> {
    let record = Arc::new(Record::create(folder)?);
    let scratch = Scratch::create("review-2-reborn")?;
    let store = Store::start()?;
    let answered = Answered::default();
    let mut replicas = Vec::new();
    let mut endpoints = Vec::new();
    for number in 0..REPLICAS {
        let id = format!("i-{number}");
        let address = free_address(machine_ip(20 + number as u8))?;
        let born = unix_ms();
        let process = start_replica(&id, address, born, &answered)?;
        store.put(
            "keyed.servers",
            &id,
            &replica_record("chat", address, "ready", born, 1),
        );
        replicas.push((id, address, process, born));
        endpoints.push(start_endpoint(&scratch, store.address, address, "chat")?);
    }
    let route = "{\"name\":\"draft\",\"host\":\"h.example\",\"path_prefix\":\"/draft/\",\
                 \"type\":\"streaming\",\"timeout_ms\":6000,\"target_latency_ms\":500,\
                 \"priority\":1,\"service\":\"chat\",\"max_attempts\":2,\"anonymous\":true,\
                 \"stream_resume\":false,\"target_gap_ms\":400}";
    let service = "{\"name\":\"chat\",\"health_path\":\"/health\",\"max_connections\":264,\
                   \"engine\":{\"slots\":16,\"stride\":5,\"step_ms\":9.27,\"per_seq_ms\":0.0232,\
                   \"context_per_k\":0.0322,\"read_per_s\":20700.0,\
                   \"usual\":{\"prompt\":979,\"answer\":92}}}";
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
                    if kept.is_none() {
                        thread::sleep(Duration::from_millis(100));
                    }
                }
            })
        })
        .collect();

    let mut next_beat = HEARTBEAT;
    let mut sequences = [1; REPLICAS];
    let mut crashes = if has_trouble { &CRASHES_AT[..] } else { &[] };
    let (mut starts_at, mut registers_at) = (None, None);
    while began.elapsed() < TRAFFIC_TIME + Duration::from_millis(DEADLINE_MS + 500) {
        thread::sleep(Duration::from_millis(5));
        let now = began.elapsed();
        if let [at, later @ ..] = crashes
            && now >= *at
        {
            crashes = later;
            replicas[0].2.kill();
            starts_at = Some(now + DOWN_TIME);
            record.line("i-0 has crashed");
        }
        if starts_at.is_some_and(|at| now >= at) {
            starts_at = None;
            registers_at = Some(now + REGISTRATION_TIME);
            replicas[0].3 = unix_ms();
            replicas[0].2 = start_replica("i-0", replicas[0].1, replicas[0].3, &answered)?;
            sequences[0] = 0;
            record.line("i-0 has started again under its id");
        }
        let is_first = registers_at.is_some_and(|at| now >= at);
        if is_first {
            registers_at = None;
            record.line("i-0 writes its first record since its start");
        }
        let is_beat = now >= next_beat;
        if is_beat {
            next_beat += HEARTBEAT;
        }
        for (number, (id, address, _, born)) in replicas.iter().enumerate() {
            let is_silent = number == 0 && (starts_at.is_some() || registers_at.is_some());
            if (is_beat && !is_silent) || (number == 0 && is_first) {
                sequences[number] += 1;
                let text = replica_record("chat", *address, "ready", *born, sequences[number]);
                store.put("keyed.servers", id, &text);
            }
        }
    }
    for client in clients {
        let _ = client.join();
    }
    if entry.has_ended() || endpoints.iter_mut().any(Process::has_ended) {
        record.line("a process has ended by itself");
        return Ok(Verdict::Broken);
    }
    let results = results.lock().expect("no holder panics");
    let answered = answered.lock().expect("no holder panics");
    let lost = results
        .closed
        .iter()
        .filter(|closed| answered.contains(&closed.0));
    let lost = lost.count();
    record.line(format!(
        "{} whole, {} refused, {} other, {} closed without a complete answer; of these {lost} \
         although the replica had sent its whole answer",
        results.whole,
        results.refused,
        results.other,
        results.closed.len()
    ));
    if results.whole == 0 {
        return Ok(Verdict::NotRun);
    }
    Ok(if lost > MAX_LOST {
        record.line("LOST broken");
        Verdict::Broken
    } else {
        record.line("LOST held");
        Verdict::Held
    })
}
