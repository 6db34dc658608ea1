//! A part of a prompt crashes each replica that begins to write an answer on it. It stands
//! late among the many parts of a long session.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use review_stand_ins::crashing::Plan;
use review_stand_ins::crashing::Seen;
use review_stand_ins::crashing::start_replicas;
use review_stand_ins::deployment::API_KEY;
use review_stand_ins::deployment::HOST;
use review_stand_ins::deployment::Route;
use review_stand_ins::deployment::attempt_id;
use review_stand_ins::deployment::configuration;
use review_stand_ins::http::Connection;
use review_stand_ins::http::Message;
use review_stand_ins::process::Process;
use review_stand_ins::record::Record;
use review_stand_ins::store::Store;

/// Id of the part that crashes replicas.
const CULPRIT: &str = "dead0001";

/// Shared parts of a prompt before the culprit, unless the variable `BEFORE` states another
/// number.
const PARTS_BEFORE: usize = 70;

/// Replicas of the service.
const REPLICAS: usize = 12;

/// Length of the traffic, and times between two requests with the culprit and two without.
const LENGTH_MS: u64 = 24_000;
const CULPRIT_INTERVAL_MS: u64 = 1_000;

/// Time from which requests with the culprit come, and for how long.
const CULPRIT_START_MS: u64 = 1_900;
const CULPRIT_LENGTH_MS: u64 = 20_000;

const SOUND_INTERVAL_MS: u64 = 30;

/// Bound of the rule: `stable_window_ms` after the fifth crash no more than three.
const STABLE_WINDOW_MS: u64 = 3_000;
const KNOWN_AT_CRASHES: usize = 5;
const MAX_LATE: usize = 3;

/// Whether the prompt of a request has the part that crashes replicas.
fn has_culprit(request: &Message) -> bool {
    let parts = request
        .headers
        .get("Bergamotfork-Prompt-Prefix")
        .unwrap_or_default();
    let mut ids = parts
        .split(',')
        .map(|part| part.split(':').next().unwrap_or_default());
    ids.any(|id| id == CULPRIT)
}

/// Sends one request with these parts and reads its answer; returns its status, 0 when it has
/// no complete one.
fn send(entry: SocketAddr, attempt: &str, parts: &str) -> u16 {
    let run = || -> std::io::Result<u16> {
        let mut connection = Connection::connect(entry)?;
        connection.set_timeout(Duration::from_secs(7));
        let body = format!("{{\"prompt\":\"{attempt}\"}}");
        let head = format!(
            "POST /draft/a HTTP/1.1\r\nHost: {HOST}\r\n\
             Bergamotfork-Request-Attempt-Id: {attempt}\r\nBergamotfork-Deadline-Ms: 6000\r\n\
             Authorization: Token {API_KEY}\r\nBergamotfork-Token-Counts: 1290,100\r\n\
             Bergamotfork-Prompt-Prefix: {parts}\r\nContent-Length: {}\r\n\r\n",
            body.len()
        );
        connection.write((head + &body).as_bytes())?;
        Ok(connection.read_message()?.status())
    };
    run().unwrap_or(0)
}

fn main() {
    let mut args = std::env::args().skip(1).map(PathBuf::from);
    let case = args.next().expect("the folder of the case");
    let folder = args.next().expect("a temporary folder");
    let has_trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    let before = std::env::var("BEFORE")
        .ok()
        .and_then(|text| text.parse().ok());
    let before: usize = before.unwrap_or(PARTS_BEFORE);
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
    let seen = Arc::new(Seen::default());
    let plan = Plan {
        service: "chat-pool",
        is_streaming: true,
        is_culprit: has_culprit,
        crashes: has_trouble,
    };
    start_replicas(plan, REPLICAS, &store, &record, &seen);
    let entries: Vec<Process> = (1..=2)
        .map(|host_no| Process::start_entry(&folder, host_no, store.address, ""))
        .collect();
    if !entries.iter().all(Process::wait_ready) {
        drop(entries);
        eprintln!("an entry did not become ready");
        std::process::exit(2);
    }
    std::thread::sleep(Duration::from_secs(1));
    let fronts: Vec<SocketAddr> = entries.iter().map(Process::front).collect();
    // Parts that sound requests of the session have as well.
    let shared: Vec<String> = (0..before).map(|no| format!("5c1e{no:04x}:15")).collect();
    let shared = shared.join(",");
    let began_ms = record.now_ms();
    let mut clients = Vec::new();
    for tick in 0..LENGTH_MS / SOUND_INTERVAL_MS {
        let at_ms = began_ms + tick * SOUND_INTERVAL_MS;
        std::thread::sleep(Duration::from_millis(at_ms.saturating_sub(record.now_ms())));
        let mut start = |culprit: &str| {
            let parts = format!("{shared},{culprit}e44{tick:05x}:40");
            let (record, front) = (record.clone(), fronts[tick as usize % 2]);
            let kind = if culprit.is_empty() {
                "without"
            } else {
                "with"
            };
            clients.push(std::thread::spawn(move || {
                let attempt = attempt_id();
                record.line(format_args!("client sends {attempt}, {kind} the part"));
                let status = send(front, &attempt, &parts);
                record.line(format_args!(
                    "client got {status} to {attempt}, {kind} the part"
                ));
                (kind, status)
            }));
        };
        start("");
        let per_culprit = CULPRIT_INTERVAL_MS / SOUND_INTERVAL_MS;
        let since_ms = (tick * SOUND_INTERVAL_MS).saturating_sub(CULPRIT_START_MS);
        if tick % per_culprit == 0 && (1..=CULPRIT_LENGTH_MS).contains(&since_ms) {
            start(&format!("{CULPRIT}:30,"));
        }
    }
    let ends: Vec<(&str, u16)> = clients
        .into_iter()
        .map(|client| client.join().expect("a client ends"))
        .collect();
    let served = ends.iter().filter(|end| **end == ("without", 200)).count();
    let sound = ends.iter().filter(|end| end.0 == "without").count();
    let arrivals = seen.arrivals.lock().expect("no holder panics");
    let crashes = seen.crashes.lock().expect("no holder panics");
    let known_ms = crashes
        .get(KNOWN_AT_CRASHES - 1)
        .map(|at_ms| at_ms + STABLE_WINDOW_MS);
    let is_late = |at_ms: &&u64| known_ms.is_some_and(|known_ms| **at_ms > known_ms);
    let late = arrivals.iter().filter(is_late).count();
    let summary = format!(
        "{before} parts before the one: {} crashes, {} arrivals, {late} of them later than \
         {STABLE_WINDOW_MS} ms after crash {KNOWN_AT_CRASHES} ({MAX_LATE} allowed); sound \
         requests cut by crashes {}, served {served} of {sound}",
        crashes.len(),
        arrivals.len(),
        seen.sound_cut.load(Ordering::Relaxed)
    );
    record.line(&summary);
    println!("{summary}");
    drop(entries);
    std::process::exit(i32::from(late > MAX_LATE));
}
