//! The answers of the store are lost for a while, and some of the writes are carried out up to
//! six seconds later. One of these is the heartbeat of a replica that has reported `draining`
//! since.

use std::net::SocketAddr;
use std::net::TcpListener;
use std::path::PathBuf;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use review_stand_ins::deployment::Route;
use review_stand_ins::deployment::attempt_id;
use review_stand_ins::deployment::configuration;
use review_stand_ins::deployment::request_head;
use review_stand_ins::http::Connection;
use review_stand_ins::http::Message;
use review_stand_ins::http::serve;
use review_stand_ins::process::Process;
use review_stand_ins::record::Record;
use review_stand_ins::store::Store;

/// Interval of the heartbeats of a replica (`heartbeat_ms`).
const HEARTBEAT_MS: u64 = 1_200;

/// Start and end of the disruption of the store, in ms.
const LOST_MS: (u64, u64) = (2_000, 6_500);

/// Delay of the writes that are lost, in ms: of the one that counts, and of the others.
const LONGEST_DELAY_MS: u64 = 6_000;
const SHORT_DELAY_MS: u64 = 2_000;

/// Time at which the leaving replica reports `draining`: more than `stable_window_ms` after the
/// end of the disruption, in ms.
const DRAINING_MS: u64 = 9_700;

/// Bound of the rule, `drain_ms`.
const DRAIN_MS: u64 = 2_000;

/// Time for which the replica goes on serving after that, in ms.
const LONGER_MS: u64 = 1_400;

/// End of the traffic, in ms.
const END_MS: u64 = 18_000;

/// Time that a replica works on a request.
const WORK: Duration = Duration::from_millis(250);

/// Clients, each with a kept connection.
const CLIENTS: u64 = 12;

/// Pause of a client between two requests.
const PAUSE: Duration = Duration::from_millis(350);

/// A replica, its records, and what it has received.
#[derive(Debug)]
struct Replica {
    id: &'static str,
    /// Time of its first heartbeat, in ms.
    first_ms: u64,
    is_gone: AtomicBool,
    /// Time at which each request arrived that it runs, in ms.
    runs: Mutex<Vec<(u64, String)>>,
    record: Record,
}

impl Replica {
    fn handle(&self, request: &Message, connection: &mut Connection) -> bool {
        if self.is_gone.load(Ordering::Relaxed) {
            return false;
        }
        let header = |name| request.headers.get(name).unwrap_or_default();
        let attempt = header("Bergamotfork-Request-Attempt-Id").to_owned();
        let echo = format!("Bergamotfork-Request-Attempt-Id: {attempt}\r\n");
        if header("Bergamotfork-Expect-Instance") != self.id {
            return connection.respond(421, &echo, b"");
        }
        let now_ms = self.record.now_ms();
        self.record
            .line(format_args!("replica {} runs {attempt}", self.id));
        self.runs
            .lock()
            .expect("no holder panics")
            .push((now_ms, attempt.clone()));
        std::thread::sleep(WORK);
        if self.is_gone.load(Ordering::Relaxed) {
            self.record
                .line(format_args!("replica {} ended in {attempt}", self.id));
            return false;
        }
        let headers = format!(
            "{echo}Bergamotfork-Response-Seal: {}.{attempt}\r\n",
            self.id
        );
        connection.respond(200, &headers, attempt.as_bytes())
    }

    /// Its record in the store, as of heartbeat number `sequence`.
    fn text(&self, address: SocketAddr, state: &str, sequence: u64, born: u128) -> String {
        format!(
            "{{\"service\":\"bookdesk\",\"address\":\"{address}\",\"zone\":\"longbeach\",\
             \"version\":\"v1\",\"slots\":6,\"state\":\"{state}\",\"cold_remaining_ms\":0,\
             \"sequence\":{sequence},\"born\":{born}}}"
        )
    }
}

fn sleep_until(record: &Record, at_ms: u64) {
    std::thread::sleep(Duration::from_millis(at_ms.saturating_sub(record.now_ms())));
}

/// Writes the heartbeats of a replica; the one that is leaving drains at its time and exits.
/// Returns when that has happened, with the time at which `draining` was acknowledged, in ms.
fn beat(
    replica: &Arc<Replica>,
    store: &Store,
    address: SocketAddr,
    trouble: bool,
    began_ms: u64,
) -> Option<u64> {
    let record = &replica.record;
    let unix = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
    let born = unix.expect("a time after 1970").as_millis();
    let is_leaving = replica.id == "i-1";
    let mut acknowledged_ms = None;
    let mut at_ms = replica.first_ms;
    // Of a replica's three or four writes in the disruption, one is lost.
    let in_window = |at_ms: u64| (LOST_MS.0..LOST_MS.1).contains(&at_ms);
    for sequence in 1.. {
        if is_leaving && at_ms > DRAINING_MS && acknowledged_ms.is_none() {
            at_ms = DRAINING_MS;
        }
        if at_ms >= END_MS {
            break;
        }
        if is_leaving && at_ms >= DRAINING_MS + DRAIN_MS + LONGER_MS {
            sleep_until(record, began_ms + DRAINING_MS + DRAIN_MS + LONGER_MS);
            replica.is_gone.store(true, Ordering::Relaxed);
            store.put("keyed.servers", replica.id, "");
            record.line(format_args!(
                "replica {} exits, and its entry is removed",
                replica.id
            ));
            break;
        }
        sleep_until(record, began_ms + at_ms);
        let is_draining = is_leaving && at_ms >= DRAINING_MS;
        let state = if is_draining { "draining" } else { "ready" };
        let text = replica.text(address, state, sequence, born);
        let is_last_in_window = in_window(at_ms) && !in_window(at_ms + HEARTBEAT_MS);
        if trouble && is_last_in_window {
            let delay_ms = if is_leaving {
                LONGEST_DELAY_MS
            } else {
                SHORT_DELAY_MS
            };
            record.line(format_args!(
                "store loses heartbeat {sequence} of {}, {state}, and carries it out {delay_ms} ms later",
                replica.id
            ));
            let (store, record, replica) = (store.clone(), record.clone(), replica.clone());
            std::thread::spawn(move || {
                std::thread::sleep(Duration::from_millis(delay_ms));
                // A record that was removed is not written by this one: the replica has left.
                if !replica.is_gone.load(Ordering::Relaxed) {
                    store.put("keyed.servers", replica.id, &text);
                    record.line(format_args!(
                        "store carries out heartbeat {sequence} of {}, ready",
                        replica.id
                    ));
                }
            });
        } else {
            store.put("keyed.servers", replica.id, &text);
            record.line(format_args!(
                "store acknowledges heartbeat {sequence} of {}, {state}",
                replica.id
            ));
            if is_draining && acknowledged_ms.is_none() {
                acknowledged_ms = Some(record.now_ms());
            }
        }
        at_ms += HEARTBEAT_MS;
    }
    acknowledged_ms
}

fn main() {
    let mut args = std::env::args().skip(1).map(PathBuf::from);
    let case = args.next().expect("the folder of the case");
    let folder = args.next().expect("a temporary folder");
    let trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    let record = Record::create(&case);
    let store = Store::start();
    let route = Route {
        name: "hold-place",
        path_prefix: "/hold/",
        kind: "non_idempotent",
        timeout_ms: 4_000,
        service: "bookdesk",
        resume: false,
    };
    store.put("keyed.op", "config", &configuration(7, &[route]));
    let entries: Vec<Process> = (1..=2)
        .map(|host_no| Process::start_entry(&folder, host_no, store.address, ""))
        .collect();
    let replicas: Vec<(Arc<Replica>, SocketAddr)> = [("i-1", 300), ("i-2", 0), ("i-3", 700)]
        .into_iter()
        .map(|(id, first_ms)| {
            let listener = TcpListener::bind("127.0.0.1:0").expect("the replica listens");
            let address = listener.local_addr().expect("it has an address");
            let replica = Arc::new(Replica {
                id,
                first_ms,
                is_gone: AtomicBool::new(false),
                runs: Mutex::default(),
                record: record.clone(),
            });
            let served = replica.clone();
            serve(listener, move |mut connection| {
                while let Ok(request) = connection.read_message() {
                    if !served.handle(&request, &mut connection) {
                        return;
                    }
                }
            });
            (replica, address)
        })
        .collect();
    // An entry without replicas is not ready: the topic is created by the first record.
    store.put("keyed.servers", "i-0", "");
    if !entries.iter().all(Process::wait_ready) {
        drop(entries);
        eprintln!("an entry did not become ready");
        std::process::exit(2);
    }
    let began_ms = record.now_ms();
    let beats: Vec<_> = replicas
        .iter()
        .map(|(replica, address)| {
            let (replica, store, address) = (replica.clone(), store.clone(), *address);
            std::thread::spawn(move || beat(&replica, &store, address, trouble, began_ms))
        })
        .collect();
    let failed = Arc::new(AtomicU64::new(0));
    let clients: Vec<_> = (0..CLIENTS)
        .map(|no| {
            let (record, failed) = (record.clone(), failed.clone());
            let entry = entries[no as usize % entries.len()].front();
            std::thread::spawn(move || send(&record, &failed, entry, began_ms))
        })
        .collect();
    for client in clients {
        client.join().expect("a client ends");
    }
    let acknowledged: Vec<Option<u64>> = beats
        .into_iter()
        .map(|beat| beat.join().expect("the heartbeats end"))
        .collect();
    let bound_ms = acknowledged[0].expect("the replica has drained") + DRAIN_MS;
    let runs = replicas[0].0.runs.lock().expect("no holder panics");
    let late: Vec<u64> = runs
        .iter()
        .map(|run| run.0)
        .filter(|at_ms| *at_ms > bound_ms)
        .collect();
    let summary = format!(
        "i-1 was acknowledged as draining at {} ms; {} requests reached it later than {bound_ms} ms: \
         at {late:?}; failed requests {}",
        bound_ms - DRAIN_MS,
        late.len(),
        failed.load(Ordering::Relaxed)
    );
    record.line(&summary);
    println!("{summary}");
    drop(entries);
    std::process::exit(i32::from(!late.is_empty()));
}

/// A client that sends one request after the other.
fn send(record: &Record, failed: &AtomicU64, entry: SocketAddr, began_ms: u64) {
    sleep_until(record, began_ms + 1_500);
    let mut kept = None;
    while record.now_ms() < began_ms + END_MS {
        let attempt = attempt_id();
        let body = b"{\"hut\":4}";
        let head = request_head("/hold/a", &attempt, 4_000, body.len());
        let connected = kept.take().map_or_else(|| Connection::connect(entry), Ok);
        let answer = connected.and_then(|mut connection| {
            connection.set_timeout(Duration::from_secs(5));
            connection.write(&[head.as_bytes(), body].concat())?;
            let answer = connection.read_message()?;
            kept = Some(connection);
            Ok(answer)
        });
        let status = answer.map_or(0, |answer| answer.status());
        record.line(format_args!("client got {status} to {attempt}"));
        failed.fetch_add(u64::from(status != 200), Ordering::Relaxed);
        std::thread::sleep(PAUSE);
    }
}
