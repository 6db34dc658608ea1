//! All replicas of one zone crash in the middle of their streams, and are back some seconds later
//! under new ids, several times.

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
use crate::process::start_entry;
use crate::process::unix_ms;
use crate::store::Store;
use crate::stray::DEADLINE_MS;
use crate::stray::EVENTS;
use crate::stray::Results;
use crate::stray::ask;

/// Replicas of the service in each zone. Those of the first zone crash.
const REPLICAS_PER_ZONE: usize = 4;
const ZONES: [&str; 3] = ["longbeach", "seaside", "florence"];

/// Clients with a kept connection each, and the pause between their starts.
const CLIENTS: u32 = 168;
const CLIENT_START_PAUSE: Duration = Duration::from_millis(8);

/// Time for which clients begin requests.
const TRAFFIC_TIME: Duration = Duration::from_secs(60);

/// Time of the first crash, and from one to the next.
const CRASH_AT: Duration = Duration::from_secs(4);
const CRASH_INTERVAL: Duration = Duration::from_secs(5);

/// Time for which the replicas are down.
const DOWN_TIME: Duration = Duration::from_millis(2_000);

/// Time after a crash from which the store lacks the record: three intervals of silence.
const REMOVED_AFTER: Duration = Duration::from_millis(3_600);

/// Interval at which a replica writes its record.
const HEARTBEAT: Duration = Duration::from_millis(1_200);

/// A replica that runs as a process of its own.
struct ReplicaProcess {
    process: Process,
    id: String,
    address: SocketAddr,
    zone: &'static str,
    born: u128,
    sequence: u64,
}

impl ReplicaProcess {
    fn start(id: String, address: SocketAddr, zone: &'static str) -> std::io::Result<Self> {
        let born = unix_ms();
        let child = Command::new(std::env::current_exe()?)
            .args(["replica", &address.to_string(), &id])
            .args([EVENTS.to_string(), born.to_string()])
            .stdin(Stdio::piped())
            .stdout(Stdio::null())
            .spawn()?;
        // It listens before it is listed.
        thread::sleep(Duration::from_millis(20));
        Ok(Self {
            process: Process::new(child),
            id,
            address,
            zone,
            born,
            sequence: 0,
        })
    }

    /// Writes its record.
    fn beat(&mut self, store: &Store) {
        self.sequence += 1;
        let text = replica_record("chat", self.address, "ready", self.born, self.sequence)
            .replace("longbeach", self.zone);
        store.put("keyed.servers", &self.id, &text);
    }
}

/// Runs the case.
pub fn run(folder: &Path, has_trouble: bool) -> std::io::Result<Verdict> {
    let record = Arc::new(Record::create(folder)?);
    let scratch = Scratch::create("review-2-crash")?;
    let store = Store::start()?;
    let mut replicas = Vec::new();
    for number in 0..REPLICAS_PER_ZONE * ZONES.len() {
        let address = free_address(machine_ip(20 + number as u8))?;
        let zone = ZONES[number / REPLICAS_PER_ZONE];
        let mut replica = ReplicaProcess::start(format!("i-{number}"), address, zone)?;
        replica.beat(&store);
        replicas.push(replica);
    }
    let route = "{\"name\":\"draft\",\"host\":\"h.example\",\"path_prefix\":\"/draft/\",\
                 \"type\":\"streaming\",\"timeout_ms\":6000,\"target_latency_ms\":500,\
                 \"priority\":1,\"service\":\"chat\",\"max_attempts\":2,\"anonymous\":true,\
                 \"stream_resume\":true,\"target_gap_ms\":400}";
    let service = "{\"name\":\"chat\",\"health_path\":\"/health\",\"max_connections\":264}";
    store.put("keyed.op", "config", &config(3, route, service));
    let Some((mut entry, addresses)) = start_entry(&scratch, store.address)? else {
        record.line("the entry did not become ready");
        return Ok(Verdict::NotRun);
    };
    record.line(format!(
        "entry ready; {REPLICAS_PER_ZONE} replicas in each zone, {CLIENTS} clients, trouble: {has_trouble}"
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
    let mut next_crash = has_trouble.then_some(CRASH_AT);
    let (mut removed_at, mut starts_at) = (None, None);
    let mut crashed_ids: Vec<String> = Vec::new();
    let mut crashes = 0;
    while began.elapsed() < TRAFFIC_TIME + Duration::from_millis(DEADLINE_MS + 500) {
        thread::sleep(Duration::from_millis(5));
        let now = began.elapsed();
        if next_crash.is_some_and(|at| now >= at && now < TRAFFIC_TIME - DOWN_TIME) {
            next_crash = next_crash.map(|at| at + CRASH_INTERVAL);
            let crashing = &mut replicas[..REPLICAS_PER_ZONE];
            for replica in crashing.iter_mut() {
                replica.process.child.kill()?;
            }
            for replica in crashing {
                replica.process.kill();
            }
            crashes += 1;
            crashed_ids = replicas[..REPLICAS_PER_ZONE]
                .iter()
                .map(|replica| replica.id.clone())
                .collect();
            removed_at = Some(now + REMOVED_AFTER);
            starts_at = Some(now + DOWN_TIME);
            record.line(format!("all replicas of {} have crashed", ZONES[0]));
        }
        if removed_at.is_some_and(|at| now >= at) {
            removed_at = None;
            for id in &crashed_ids {
                store.put("keyed.servers", id, "");
            }
            record.line("the records of those that crashed are removed");
        }
        if starts_at.is_some_and(|at| now >= at) {
            starts_at = None;
            for (number, crashed) in replicas[..REPLICAS_PER_ZONE].iter_mut().enumerate() {
                let id = format!("i-{number}-{crashes}");
                *crashed = ReplicaProcess::start(id, crashed.address, crashed.zone)?;
                crashed.beat(&store);
            }
            record.line("they have started again, under new ids");
        }
        if now >= next_beat {
            next_beat += HEARTBEAT;
            let first = starts_at.map_or(0, |_| REPLICAS_PER_ZONE);
            for replica in &mut replicas[first..] {
                replica.beat(&store);
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
    record.line(format!(
        "{crashes} crashes; {} streams whole, {} refused, {} other, {} closed without their end, \
         {} ended as complete before their last event",
        results.whole,
        results.refused,
        results.other,
        results.closed.len(),
        results.cut_as_complete
    ));
    if results.whole == 0 {
        return Ok(Verdict::NotRun);
    }
    Ok(if results.cut_as_complete > 0 {
        record.line("ORDER broken: a stream ended as complete before its last piece");
        Verdict::Broken
    } else {
        record.line("ORDER held");
        Verdict::Held
    })
}
