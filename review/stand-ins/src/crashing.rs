//! Replicas that crash when they begin a certain request, and are back after some seconds.

use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use crate::http::Connection;
use crate::http::Message;
use crate::record::Record;
use crate::store::Store;

/// Time for which a crashed replica is away, and heartbeat interval.
const AWAY: Duration = Duration::from_secs(3);
const HEARTBEAT: Duration = Duration::from_millis(1_200);

/// Events of a stream, and the pause before each.
const EVENTS: u64 = 6;
const EVENT_PAUSE: Duration = Duration::from_millis(30);

/// What the replicas of a service do.
#[derive(Debug, Clone, Copy)]
pub struct Plan {
    pub service: &'static str,
    /// Whether answers are streams of events.
    pub is_streaming: bool,
    /// Whether a request crashes replicas.
    pub is_culprit: fn(&Message) -> bool,
    /// Whether such a request does so now.
    pub crashes: bool,
}

/// Starts replicas by this plan.
pub fn start_replicas(plan: Plan, count: usize, store: &Store, record: &Record, seen: &Arc<Seen>) {
    for number in 1..=count {
        let replica = Arc::new(Replica {
            plan,
            number,
            incarnation: AtomicU64::new(0),
            streams: Mutex::default(),
            seen: seen.clone(),
            record: record.clone(),
        });
        let store = store.clone();
        std::thread::spawn(move || replica.run(&store));
    }
}

/// What all replicas have seen, in ms.
#[derive(Debug, Default)]
pub struct Seen {
    /// Arrivals of requests that crash replicas.
    pub arrivals: Mutex<Vec<u64>>,
    pub crashes: Mutex<Vec<u64>>,
    /// Number of other requests that a crash has cut.
    pub sound_cut: AtomicU64,
}

/// A host with a replica that crashes and comes back under another id.
#[derive(Debug)]
struct Replica {
    plan: Plan,
    number: usize,
    incarnation: AtomicU64,
    streams: Mutex<Vec<TcpStream>>,
    seen: Arc<Seen>,
    record: Record,
}

impl Replica {
    fn id(&self, incarnation: u64) -> String {
        format!("i-{}-{}-{incarnation}", self.plan.service, self.number)
    }

    /// Runs one incarnation after the other, without end.
    fn run(self: &Arc<Self>, store: &Store) {
        let mut listener = TcpListener::bind("127.0.0.1:0").expect("the replica listens");
        let address = listener.local_addr().expect("it has an address");
        loop {
            let incarnation = self.incarnation.load(Ordering::SeqCst);
            let beats = {
                let (replica, store) = (self.clone(), store.clone());
                std::thread::spawn(move || replica.beat(&store, address, incarnation))
            };
            listener.set_nonblocking(true).expect("it polls");
            while self.incarnation.load(Ordering::SeqCst) == incarnation {
                let Ok((stream, _)) = listener.accept() else {
                    std::thread::sleep(Duration::from_millis(1));
                    continue;
                };
                stream.set_nonblocking(false).expect("its connections wait");
                let clone = stream.try_clone().expect("a descriptor");
                self.streams.lock().expect("no holder panics").push(clone);
                let replica = self.clone();
                std::thread::spawn(move || replica.serve(Connection::new(stream), incarnation));
            }
            drop(listener);
            for stream in self.streams.lock().expect("no holder panics").drain(..) {
                let _ = stream.shutdown(std::net::Shutdown::Both);
            }
            std::thread::sleep(AWAY);
            drop(beats);
            listener = loop {
                if let Ok(listener) = TcpListener::bind(address) {
                    break listener;
                }
                std::thread::sleep(Duration::from_millis(10));
            };
        }
    }

    /// Writes the record of an incarnation; the store drops it after three silent intervals.
    fn beat(&self, store: &Store, address: SocketAddr, incarnation: u64) {
        let id = self.id(incarnation);
        let unix = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
        let born = unix.expect("a time after 1970").as_millis();
        for sequence in 1.. {
            if self.incarnation.load(Ordering::SeqCst) != incarnation {
                break;
            }
            let text = format!(
                "{{\"service\":\"{}\",\"address\":\"{address}\",\"zone\":\"longbeach\",\
                 \"version\":\"v1\",\"slots\":16,\"state\":\"ready\",\"cold_remaining_ms\":0,\
                 \"sequence\":{sequence},\"born\":{born}}}",
                self.plan.service
            );
            store.put("keyed.servers", &id, &text);
            std::thread::sleep(HEARTBEAT);
        }
        std::thread::sleep(2 * HEARTBEAT);
        store.put("keyed.servers", &id, "");
    }

    fn serve(&self, mut connection: Connection, incarnation: u64) {
        let id = self.id(incarnation);
        while let Ok(request) = connection.read_message() {
            let header = |name| request.headers.get(name).unwrap_or_default();
            let attempt = header("Bergamotfork-Request-Attempt-Id").to_owned();
            let echo = format!("Bergamotfork-Request-Attempt-Id: {attempt}\r\n");
            if header("Bergamotfork-Expect-Instance") != id {
                connection.respond(421, &echo, b"");
                return;
            }
            let has_culprit = (self.plan.is_culprit)(&request);
            if has_culprit {
                self.record.line(format_args!(
                    "replica {id} begins {attempt}, which crashes replicas"
                ));
                let mut arrivals = self.seen.arrivals.lock().expect("no holder panics");
                arrivals.push(self.record.now_ms());
            } else {
                self.record
                    .line(format_args!("replica {id} runs {attempt}"));
            }
            if !self.plan.is_streaming {
                std::thread::sleep(EVENT_PAUSE);
                if has_culprit && self.plan.crashes {
                    self.crash(incarnation, &id);
                    return;
                }
                let headers = format!("{echo}Bergamotfork-Response-Seal: {id}.{attempt}\r\n");
                if !connection.respond(200, &headers, attempt.as_bytes()) {
                    self.record_cut(incarnation, &id, &attempt);
                    return;
                }
                continue;
            }
            let head = format!(
                "HTTP/1.1 200 OK\r\n{echo}Bergamotfork-Response-Seal: {id}.{attempt}\r\n\
                 Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
            );
            let after = header("Last-Event-Id").parse().unwrap_or(0);
            let mut is_whole = connection.write(head.as_bytes()).is_ok();
            for event in after + 1..=EVENTS {
                std::thread::sleep(EVENT_PAUSE);
                if has_culprit && self.plan.crashes {
                    self.crash(incarnation, &id);
                    return;
                }
                if self.incarnation.load(Ordering::SeqCst) != incarnation {
                    is_whole = false;
                    break;
                }
                let data = format!("id: {event}\ndata: e{event}\n\n");
                let chunk = format!("{:x}\r\n{data}\r\n", data.len());
                is_whole &= connection.write(chunk.as_bytes()).is_ok();
            }
            if !is_whole || connection.write(b"0\r\n\r\n").is_err() {
                self.record_cut(incarnation, &id, &attempt);
                return;
            }
        }
    }

    /// Records a request that a crash has cut.
    fn record_cut(&self, incarnation: u64, id: &str, attempt: &str) {
        if self.incarnation.load(Ordering::SeqCst) != incarnation {
            self.seen.sound_cut.fetch_add(1, Ordering::Relaxed);
            self.record
                .line(format_args!("replica {id} crashed while it ran {attempt}"));
        }
    }

    fn crash(&self, incarnation: u64, id: &str) {
        let ended = self.incarnation.compare_exchange(
            incarnation,
            incarnation + 1,
            Ordering::SeqCst,
            Ordering::SeqCst,
        );
        if ended.is_ok() {
            self.record.line(format_args!("replica {id} crashes"));
            let mut crashes = self.seen.crashes.lock().expect("no holder panics");
            crashes.push(self.record.now_ms());
        }
    }
}
