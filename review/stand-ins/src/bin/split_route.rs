//! A request crashes each replica that begins to run it, and comes again, on a route whose
//! requests are split among several services.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use review_stand_ins::crashing::Plan;
use review_stand_ins::crashing::Seen;
use review_stand_ins::crashing::start_replicas;
use review_stand_ins::deployment::Route;
use review_stand_ins::deployment::attempt_id;
use review_stand_ins::deployment::configuration;
use review_stand_ins::deployment::request_head;
use review_stand_ins::http::Connection;
use review_stand_ins::http::Message;
use review_stand_ins::process::Process;
use review_stand_ins::record::Record;
use review_stand_ins::store::Store;

/// Services among which the route is split, and replicas of each.
const SERVICES: [&str; 4] = ["desk-a", "desk-b", "desk-c", "desk-d"];
const REPLICAS: usize = 4;

/// Path and body of the request that crashes replicas.
const CULPRIT_PATH: &str = "/hold/culprit";
const CULPRIT_BODY: &str = "{\"hut\":666}";

/// Time for which it comes, and times between two of these and of other requests.
const LENGTH_MS: u64 = 20_000;
const CULPRIT_INTERVAL_MS: u64 = 1_200;
const SOUND_INTERVAL_MS: u64 = 30;

/// Bound of the rule: `stable_window_ms` after the third crash no more than three.
const STABLE_WINDOW_MS: u64 = 3_000;
const KNOWN_AT_CRASHES: usize = 3;
const MAX_LATE: usize = 3;

/// Sends one request and reads its answer; returns its status, 0 when it has none.
fn send(entry: SocketAddr, attempt: &str, path: &str, body: &str) -> u16 {
    let run = || -> std::io::Result<u16> {
        let mut connection = Connection::connect(entry)?;
        connection.set_timeout(Duration::from_secs(5));
        let head = request_head(path, attempt, 4_000, body.len());
        connection.write((head + body).as_bytes())?;
        Ok(connection.read_message()?.status())
    };
    run().unwrap_or(0)
}

/// The configuration with one route, split evenly among the first `count` services.
fn split_configuration(count: usize) -> String {
    let routes = SERVICES.map(|service| Route {
        name: service,
        path_prefix: "/none/",
        kind: "non_idempotent",
        timeout_ms: 4_000,
        service,
        resume: false,
    });
    let route = Route {
        name: "hold-place",
        path_prefix: "/hold/",
        service: "split",
        ..routes[0]
    };
    let parts = SERVICES[..count]
        .iter()
        .map(|service| format!("{{\"service\":\"{service}\",\"weight\":25}}"));
    let parts: Vec<String> = parts.collect();
    let split = format!("\"traffic_split\":[{}]", parts.join(","));
    // The routes of the single services stand for their entries under `services`.
    let all: Vec<Route<'_>> = routes.into_iter().chain([route]).collect();
    configuration(7, &all).replace("\"service\":\"split\"", &split)
}

fn main() {
    let mut args = std::env::args().skip(1).map(PathBuf::from);
    let case = args.next().expect("the folder of the case");
    let folder = args.next().expect("a temporary folder");
    let has_trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    let services = std::env::var("SERVICES")
        .ok()
        .and_then(|text| text.parse().ok());
    let services: usize = services.unwrap_or(SERVICES.len());
    let record = Record::create(&case);
    let store = Store::start();
    store.put("keyed.op", "config", &split_configuration(services));
    let seen = Arc::new(Seen::default());
    for service in SERVICES {
        let plan = Plan {
            service,
            is_streaming: false,
            is_culprit: |request: &Message| request.path() == CULPRIT_PATH,
            crashes: has_trouble,
        };
        start_replicas(plan, REPLICAS, &store, &record, &seen);
    }
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
    let began_ms = record.now_ms();
    let mut clients = Vec::new();
    for tick in 0..LENGTH_MS / SOUND_INTERVAL_MS {
        let at_ms = began_ms + tick * SOUND_INTERVAL_MS;
        std::thread::sleep(Duration::from_millis(at_ms.saturating_sub(record.now_ms())));
        let mut start = |entry: u64, path: &'static str, body: String| {
            let (record, front) = (record.clone(), fronts[entry as usize % 2]);
            clients.push(std::thread::spawn(move || {
                let attempt = attempt_id();
                record.line(format_args!("client sends {attempt} to {path}"));
                let status = send(front, &attempt, path, &body);
                record.line(format_args!("client got {status} to {attempt}"));
                (path, status)
            }));
        };
        start(tick, "/hold/a", format!("{{\"hut\":{tick}}}"));
        let per_culprit = CULPRIT_INTERVAL_MS / SOUND_INTERVAL_MS;
        if tick % per_culprit == 0 {
            start(tick / per_culprit, CULPRIT_PATH, CULPRIT_BODY.to_owned());
        }
    }
    let ends: Vec<(&str, u16)> = clients
        .into_iter()
        .map(|client| client.join().expect("a client ends"))
        .collect();
    let sound = ends.iter().filter(|end| end.0 != CULPRIT_PATH);
    let served = sound.clone().filter(|end| end.1 == 200).count();
    let arrivals = seen.arrivals.lock().expect("no holder panics");
    let crashes = seen.crashes.lock().expect("no holder panics");
    let known_ms = crashes
        .get(KNOWN_AT_CRASHES - 1)
        .map(|at_ms| at_ms + STABLE_WINDOW_MS);
    let is_late = |at_ms: &&u64| known_ms.is_some_and(|known_ms| **at_ms > known_ms);
    let late = arrivals.iter().filter(is_late).count();
    let summary = format!(
        "{services} services: {} crashes, {} arrivals, {late} of them later than \
         {STABLE_WINDOW_MS} ms after crash {KNOWN_AT_CRASHES} ({MAX_LATE} allowed); other \
         requests served {served} of {}, cut by crashes {}",
        crashes.len(),
        arrivals.len(),
        sound.count(),
        seen.sound_cut.load(Ordering::Relaxed)
    );
    record.line(&summary);
    println!("{summary}");
    drop(entries);
    std::process::exit(i32::from(late > MAX_LATE));
}
