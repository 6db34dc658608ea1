//! A replica is killed while it sends streams that have neither a length nor chunks and end with
//! their connections. The replicas are processes of their own.

use std::io::BufRead;
use std::io::BufReader;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use review_stand_ins::deployment::API_KEY;
use review_stand_ins::deployment::HOST;
use review_stand_ins::deployment::Route;
use review_stand_ins::deployment::attempt_id;
use review_stand_ins::deployment::configuration;
use review_stand_ins::http::Connection;
use review_stand_ins::process::Process;
use review_stand_ins::record::Record;
use review_stand_ins::replica::register;
use review_stand_ins::store::Store;

/// Replicas of the service; one of them is killed.
const REPLICAS: usize = 6;

/// Events of a stream, and the pause before each.
const EVENTS: u64 = 20;
const EVENT_PAUSE: Duration = Duration::from_millis(100);

/// Clients that ask for one stream after the other, the pause between the first requests of two,
/// and for how long they do so.
const CLIENTS: usize = 48;
const CLIENT_PAUSE: Duration = Duration::from_millis(40);
const LENGTH: Duration = Duration::from_secs(10);

/// Time after which the replica is killed, and for which it is away.
const KILL_AFTER: Duration = Duration::from_millis(3_050);
const AWAY: Duration = Duration::from_millis(4_500);

/// Serves streams without a length as the replica `id`, until the process is killed. Prints its
/// address first.
fn run_replica(id: &str, is_chunked: bool) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("the replica listens");
    println!("{}", listener.local_addr().expect("it has an address"));
    for stream in listener.incoming().flatten() {
        let id = id.to_owned();
        std::thread::spawn(move || serve(Connection::new(stream), &id, is_chunked));
    }
}

fn serve(mut connection: Connection, id: &str, is_chunked: bool) {
    let Ok(request) = connection.read_message() else {
        return;
    };
    let header = |name| request.headers.get(name).unwrap_or_default();
    let attempt = header("Bergamotfork-Request-Attempt-Id").to_owned();
    let echo = format!("Bergamotfork-Request-Attempt-Id: {attempt}\r\n");
    if header("Bergamotfork-Expect-Instance") != id {
        connection.respond(421, &echo, b"");
        return;
    }
    let framing = match is_chunked {
        true => "Transfer-Encoding: chunked",
        false => "Connection: close",
    };
    let head = format!(
        "HTTP/1.1 200 OK\r\n{echo}Bergamotfork-Response-Seal: {id}.{attempt}\r\n\
         Content-Type: text/event-stream\r\n{framing}\r\n\r\n"
    );
    let after = header("Last-Event-Id").parse().unwrap_or(0);
    println!("replica {id} runs {attempt}, after event {after}");
    let mut is_open = connection.write(head.as_bytes()).is_ok();
    for event in after + 1..=EVENTS {
        std::thread::sleep(EVENT_PAUSE);
        let mut data = format!("id: {event}\ndata: {id} {event} of {EVENTS}\n\n");
        if is_chunked {
            data = format!("{:x}\r\n{data}\r\n", data.len());
        }
        is_open = is_open && connection.write(data.as_bytes()).is_ok();
    }
    if is_chunked && is_open {
        // A client that has left needs no end.
        let _ = connection.write(b"0\r\n\r\n");
    }
}

/// Processes of replicas, which are killed when this is dropped.
struct Replicas(Vec<Child>);

impl Drop for Replicas {
    fn drop(&mut self) {
        for replica in &mut self.0 {
            let _ = replica.kill();
            let _ = replica.wait();
        }
    }
}

/// Starts a replica as a process of its own, whose runs are recorded; returns it with its address.
fn start_replica(id: &str, framing: &str, record: &Record) -> (Child, SocketAddr) {
    let program = std::env::current_exe().expect("the program has a path");
    let mut child = Command::new(program)
        .args(["replica", id, framing])
        .stdout(Stdio::piped())
        .spawn()
        .expect("the replica starts");
    let mut lines = BufReader::new(child.stdout.take().expect("its output")).lines();
    let line = lines.next().expect("a line").expect("its address");
    let address = line.trim().parse().expect("an address");
    let record = record.clone();
    std::thread::spawn(move || {
        lines
            .map_while(Result::ok)
            .for_each(|line| record.line(line))
    });
    (child, address)
}

/// Asks for one stream and reads it; returns its events, and whether it has ended as complete.
fn read_stream(entry: SocketAddr, attempt: &str) -> (u64, bool, u16) {
    let mut events = 0;
    let mut status = 0;
    let mut run = || -> std::io::Result<()> {
        let mut connection = Connection::connect(entry)?;
        connection.set_timeout(Duration::from_secs(7));
        let body = format!("{{\"prompt\":\"{attempt}\"}}");
        let head = format!(
            "POST /draft/a HTTP/1.1\r\nHost: {HOST}\r\n\
             Bergamotfork-Request-Attempt-Id: {attempt}\r\nBergamotfork-Deadline-Ms: 6000\r\n\
             Authorization: Token {API_KEY}\r\nContent-Length: {}\r\n\r\n",
            body.len()
        );
        connection.write((head + &body).as_bytes())?;
        status = connection.read_head()?.status();
        if status != 200 {
            return Ok(());
        }
        loop {
            let chunk = connection.read_chunk()?;
            if chunk.is_empty() {
                return Ok(());
            }
            events += String::from_utf8_lossy(&chunk).matches("\ndata: ").count() as u64;
        }
    };
    let is_complete = run().is_ok() && status == 200;
    (events, is_complete, status)
}

fn main() {
    let args: Vec<String> = std::env::args().collect();
    if args[1] == "replica" {
        return run_replica(&args[2], args[3] == "chunked");
    }
    let (case, folder) = (PathBuf::from(&args[1]), PathBuf::from(&args[2]));
    let has_trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    let framing = std::env::var("FRAMING").unwrap_or_else(|_| "close".to_owned());
    let record = Record::create(&case);
    let store = Store::start();
    let route = Route {
        name: "listing-draft",
        path_prefix: "/draft/",
        kind: "streaming",
        timeout_ms: 6_000,
        service: "chat-pool",
        resume: true,
    };
    store.put("keyed.op", "config", &configuration(7, &[route]));
    let mut replicas = Replicas(Vec::new());
    let mut flags = Vec::new();
    for number in 1..=REPLICAS {
        let id = format!("i-{number}");
        let (child, address) = start_replica(&id, &framing, &record);
        replicas.0.push(child);
        flags.push(register(
            store.clone(),
            "chat-pool".to_owned(),
            id,
            address,
            16,
        ));
    }
    let entries: Vec<Process> = (1..=2)
        .map(|host_no| Process::start_entry(&folder, host_no, store.address, ""))
        .collect();
    if !entries.iter().all(Process::wait_ready) {
        drop((replicas, entries));
        eprintln!("an entry did not become ready");
        std::process::exit(2);
    }
    std::thread::sleep(Duration::from_secs(1));
    let stops = Arc::new(AtomicBool::new(false));
    let clients: Vec<_> = (0..CLIENTS)
        .map(|number| {
            let (record, stops) = (record.clone(), stops.clone());
            let entry = entries[number % entries.len()].front();
            std::thread::spawn(move || {
                let mut ends = Vec::new();
                std::thread::sleep(CLIENT_PAUSE * number as u32);
                while !stops.load(Ordering::Relaxed) {
                    let attempt = attempt_id();
                    record.line(format_args!("client sends {attempt}"));
                    let (events, is_complete, status) = read_stream(entry, &attempt);
                    record.line(format_args!(
                        "client got {status} to {attempt}: {events} events, complete {is_complete}"
                    ));
                    ends.push((events, is_complete));
                }
                ends
            })
        })
        .collect();
    let began = Instant::now();
    std::thread::sleep(KILL_AFTER);
    if has_trouble {
        record.line("replica i-1 is killed");
        replicas.0[0].kill().expect("the replica runs");
        flags[0].store(true, Ordering::Relaxed);
        std::thread::sleep(AWAY);
        let (child, address) = start_replica("i-7", &framing, &record);
        record.line("it is back as i-7");
        replicas.0.push(child);
        register(
            store.clone(),
            "chat-pool".to_owned(),
            "i-7".to_owned(),
            address,
            16,
        );
    }
    std::thread::sleep(LENGTH.saturating_sub(began.elapsed()));
    stops.store(true, Ordering::Relaxed);
    let ends: Vec<(u64, bool)> = clients
        .into_iter()
        .flat_map(|client| client.join().expect("a client ends"))
        .collect();
    let complete = ends.iter().filter(|end| end.1);
    let short: Vec<u64> = complete
        .map(|end| end.0)
        .filter(|events| *events < EVENTS)
        .collect();
    let summary = format!(
        "{} streams; ended as complete with fewer than {EVENTS} events: {}, with {short:?}",
        ends.len(),
        short.len()
    );
    record.line(&summary);
    println!("{summary}");
    drop((replicas, entries));
    std::process::exit(i32::from(!short.is_empty()));
}
