//! Stand-in of a replica without a model.

use std::net::SocketAddr;
use std::net::TcpListener;
use std::sync::Arc;
use std::sync::Condvar;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;

use crate::http::Connection;
use crate::http::Message;
use crate::http::serve;
use crate::record::Record;
use crate::store::Store;

/// Interval at which a replica writes its record.
const HEARTBEAT: Duration = Duration::from_millis(1_200);

/// A replica that works on each request for a while and answers it.
#[derive(Debug)]
pub struct Replica {
    pub id: String,
    pub slots: u32,
    pub work: Duration,
    free_slots: Mutex<u32>,
    freed: Condvar,
    record: Record,
}

impl Replica {
    /// Starts a replica of `service` and registers it in the store.
    pub fn start(
        store: &Store,
        record: &Record,
        service: &str,
        id: &str,
        slots: u32,
        work: Duration,
    ) -> Arc<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").expect("the replica listens");
        let address = listener.local_addr().expect("it has an address");
        let replica = Arc::new(Self {
            id: id.to_owned(),
            slots,
            work,
            free_slots: Mutex::new(slots),
            freed: Condvar::new(),
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
        register(
            store.clone(),
            service.to_owned(),
            id.to_owned(),
            address,
            slots,
        );
        replica
    }

    fn handle(&self, request: &Message, connection: &mut Connection) -> bool {
        let header = |name| request.headers.get(name).unwrap_or_default();
        let attempt = header("Bergamotfork-Request-Attempt-Id");
        let echo = format!("Bergamotfork-Request-Attempt-Id: {attempt}\r\n");
        if header("Bergamotfork-Expect-Instance") != self.id {
            return connection.respond(421, &echo, b"");
        }
        {
            let mut free = self.free_slots.lock().expect("no holder panics");
            while *free == 0 {
                free = self.freed.wait(free).expect("no holder panics");
            }
            *free -= 1;
        }
        self.record.line(format_args!(
            "replica {} runs {attempt}, {} bytes",
            self.id,
            request.body.len()
        ));
        std::thread::sleep(self.work);
        *self.free_slots.lock().expect("no holder panics") += 1;
        self.freed.notify_one();
        let headers = format!(
            "{echo}Bergamotfork-Response-Seal: {}.{attempt}\r\n",
            self.id
        );
        connection.respond(200, &headers, attempt.as_bytes())
    }
}

/// Writes the record of a replica at its heartbeats until the flag that it returns is set; after
/// three silent intervals the store drops the record.
pub fn register(
    store: Store,
    service: String,
    id: String,
    address: SocketAddr,
    slots: u32,
) -> Arc<AtomicBool> {
    let unix = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
    let born = unix.expect("a time after 1970").as_millis();
    let has_ended = Arc::new(AtomicBool::new(false));
    let ended = has_ended.clone();
    let put = move |sequence: u64| {
        let record = match ended.load(Ordering::Relaxed) {
            true => String::new(),
            false => format!(
                "{{\"service\":\"{service}\",\"address\":\"{address}\",\"zone\":\"longbeach\",\
                 \"version\":\"v1\",\"slots\":{slots},\"state\":\"ready\",\"cold_remaining_ms\":0,\
                 \"sequence\":{sequence},\"born\":{born}}}"
            ),
        };
        store.put("keyed.servers", &id, &record);
    };
    put(1);
    let ended = has_ended.clone();
    std::thread::spawn(move || {
        let mut sequence = 1;
        while !ended.load(Ordering::Relaxed) {
            std::thread::sleep(HEARTBEAT);
            if !ended.load(Ordering::Relaxed) {
                sequence += 1;
                put(sequence);
            }
        }
        std::thread::sleep(2 * HEARTBEAT);
        put(sequence);
    });
    has_ended
}
