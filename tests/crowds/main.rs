//! Tests crowds of clients at the project's own interface, which make a process hold memory or
//! descriptors for them. Crowds and bounds follow from the limits of the settings; nothing
//! depends on the speed of the machine.

#[path = "../support/mod.rs"]
mod support;

mod crowd;
mod watched_process;

use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::time::Duration;
use std::time::Instant;

use tokio::sync::Mutex;

use crate::crowd::Crowd;
use crate::crowd::chunk;
use crate::support::Cluster;
use crate::support::TOKEN;
use crate::support::until;
use crate::watched_process::WatchedProcess;
use bergamotfork::weights::Digest;

/// Memory of a process, in MB.
const MEMORY_MB: u64 = 96;

/// Connections of a process by its settings.
const MAX_CONNECTIONS: usize = 200;

/// Descriptors of a process: its connections, and those that it opens itself.
const MAX_DESCRIPTORS: usize = MAX_CONNECTIONS + 100;

/// Memory for the bodies of requests by the settings of an entry.
const REQUEST_MEMORY_BYTES: usize = 32 * 1024 * 1024;

/// Largest body by the settings of an entry.
const MAX_BODY_BYTES: usize = 1024 * 1024;

/// Clients whose bodies exceed the memory together.
const LARGE_CROWD: usize = 160;

/// Clients that exceed the connections together.
const WIDE_CROWD: usize = 900;

/// Largest head that the HTTP server reads.
const MAX_HEAD_BYTES: usize = 128 * 1024;

/// Connections with malformed heads, one after the other from each of a few clients.
const MALFORMED_HEADS: usize = 2_000;

/// Lines that a process may log within a second.
const MAX_LINES_PER_S: u64 = 20;

/// Longest time that an ordinary request is tried; it bounds only how long a failure takes.
const MAX_SERVE_TIME: Duration = Duration::from_secs(60);

/// Crowds run one at a time.
static CROWD: Mutex<()> = Mutex::const_new(());

/// A cluster with one entry or one endpoint that crowds come to.
struct Deployment {
    cluster: Cluster,
    address: SocketAddr,
    process: WatchedProcess,
    /// Request that is answered with status 200.
    ordinary: String,
}

/// Starts an entry with a branch that may call a service.
async fn start_entry() -> Deployment {
    let mut cluster = Cluster::new().await;
    cluster.logs_to_files = true;
    cluster.process_settings = format!("max_connections = {MAX_CONNECTIONS}");
    let settings = format!(
        "max_body_bytes = {MAX_BODY_BYTES}\nrequest_memory_bytes = {REQUEST_MEMORY_BYTES}\n\
         slow_client_timeout_ms = 2000\n"
    );
    let url = cluster.start_entry("entry-1", "or-north", &settings).await;
    let service = "idempotent = lookup\ntimeout_ms = 1000\n";
    cluster.append_edit("service bookdesk", 0, service).await;
    let branch = format!(
        "token_digest = {}\nweight = 1\nshare_percent = 50\nburst_percent = 100\n\
         models = \nservices = bookdesk\n",
        Digest::of_bytes(TOKEN.as_bytes())
    );
    cluster.append_edit("branch seaside", 0, &branch).await;
    let address = url.strip_prefix("http://").expect("a URL of an entry");
    let ordinary = format!(
        "GET /v1/addresses?branch=seaside HTTP/1.1\r\nauthorization: Bearer {TOKEN}\r\n\
         host: entry\r\nconnection: close\r\n\r\n"
    );
    Deployment::new(cluster, "entry-1", address, ordinary).await
}

/// Starts an endpoint beside a service.
async fn start_endpoint() -> Deployment {
    let mut cluster = Cluster::new().await;
    cluster.process_settings = format!("max_connections = {MAX_CONNECTIONS}");
    let address = cluster
        .start_service("desk-1", "or-north", "bookdesk", &[])
        .await;
    let ordinary = "GET /metrics HTTP/1.1\r\nhost: e\r\nconnection: close\r\n\r\n".to_owned();
    Deployment::new(cluster, "desk-1", &address, ordinary).await
}

impl Deployment {
    async fn new(mut cluster: Cluster, name: &str, address: &str, ordinary: String) -> Self {
        let address: SocketAddr = address.parse().expect("an address");
        until("an ordinary request is answered", 20, async || {
            (ask(address, &ordinary) == 200).then_some(())
        })
        .await;
        Self {
            process: WatchedProcess {
                process_id: cluster.process(name).id(),
                ip: address.ip(),
                port: Some(address.port()),
                memory_mb: MEMORY_MB,
                max_descriptors: MAX_DESCRIPTORS,
            },
            cluster,
            address,
            ordinary,
        }
    }

    /// Lets a crowd send `head` and then `piece` again and again until each has sent
    /// `body_bytes`; an ordinary request is answered afterwards.
    fn check_crowd(&self, clients: usize, head: &str, piece: &[u8], body_bytes: usize) {
        let crowd = Crowd::send(
            &self.process,
            self.address,
            clients,
            head,
            piece,
            body_bytes,
        );
        let began = Instant::now();
        while ask(self.address, &self.ordinary) != 200 {
            assert!(began.elapsed() < MAX_SERVE_TIME, "not served in time");
            std::thread::sleep(Duration::from_millis(50));
        }
        self.process.check();
        drop(crowd);
    }

    /// Lets crowds come whose messages are of the same forms at all ports.
    fn check_crowds(&self, path: &str) {
        let body = vec![b'b'; 64 * 1024];
        let (large, small) = (chunk(64 * 1024), chunk(1).repeat(2_000));
        let whole = head(path, &length(MAX_BODY_BYTES));
        let chunked = head(path, "transfer-encoding: chunked");
        self.check_crowd(LARGE_CROWD, &whole, &body, MAX_BODY_BYTES - 1);
        self.check_crowd(LARGE_CROWD, &chunked, &large, 15 * large.len());
        self.check_crowd(LARGE_CROWD, &chunked, &small, 300 * small.len());
        let over = head(path, &length(8 * MAX_BODY_BYTES));
        self.check_crowd(LARGE_CROWD, &over, &body, 8 * MAX_BODY_BYTES);
        self.check_crowd(LARGE_CROWD, &chunked, &large, 8 * MAX_BODY_BYTES);
        self.check_crowd(WIDE_CROWD, "", b"", 0);
        let mut lines = format!("POST {path} HTTP/1.1\r\nhost: e\r\n");
        while lines.len() + 100 < MAX_HEAD_BYTES {
            lines.push_str("a:b\r\n");
        }
        self.check_crowd(LARGE_CROWD, &lines, b"", 0);
        let repeated = self.ordinary.replace("connection: close\r\n", "");
        let repeated = repeated.repeat(100);
        self.check_crowd(LARGE_CROWD, "", repeated.as_bytes(), MAX_BODY_BYTES);
    }
}

/// Status of the answer to a request; 0 without one.
fn ask(address: SocketAddr, request: &str) -> u16 {
    let mut head = [0; 12];
    let answered = TcpStream::connect(address).and_then(|mut stream| {
        stream.set_read_timeout(Some(Duration::from_secs(8)))?;
        stream.write_all(request.as_bytes())?;
        stream.read_exact(&mut head)
    });
    let status = std::str::from_utf8(&head[9..]).ok();
    status
        .filter(|_| answered.is_ok())
        .and_then(|status| status.parse().ok())
        .unwrap_or(0)
}

fn length(bytes: usize) -> String {
    format!("content-length: {bytes}")
}

/// Head of a request, with a line for the framing of its body.
fn head(path: &str, framing: &str) -> String {
    format!(
        "POST {path} HTTP/1.1\r\nhost: e\r\nauthorization: Bearer {TOKEN}\r\n\
         content-type: application/json\r\n{framing}\r\n\r\n"
    )
}

/// Guards against an entry that ends over what it holds for callers.
#[actix_rt::test]
async fn entry_callers_bounded() {
    let _alone = CROWD.lock().await;
    let deployment = start_entry().await;
    deployment.check_crowds("/v1/call");
}

/// Guards against an entry that ends over requests between processes without the shared key.
#[actix_rt::test]
async fn entry_requests_without_key_bounded() {
    let _alone = CROWD.lock().await;
    let deployment = start_entry().await;
    deployment.check_crowds("/x/report");
}

/// Guards against an endpoint that ends over requests without the shared key.
#[actix_rt::test]
async fn endpoint_requests_without_key_bounded() {
    let _alone = CROWD.lock().await;
    let deployment = start_endpoint().await;
    deployment.check_crowds("/x/call");
}

/// Guards against values of a call's body that take many times their text.
#[actix_rt::test]
async fn small_values_bounded() {
    let _alone = CROWD.lock().await;
    let deployment = start_entry().await;
    let values = "0,".repeat((MAX_BODY_BYTES - 200) / 2);
    let body = format!(
        r#"{{"branch":"seaside","service":"bookdesk","path":"lookup","deadline_ms":4000,"body":[{values}0]}}"#
    );
    let head = head("/v1/call", &length(body.len()));
    deployment.check_crowd(LARGE_CROWD, &head, body.as_bytes(), body.len());
}

/// Guards against bounds that refuse a single request of the largest size.
#[actix_rt::test]
async fn largest_body_read_in_calm() {
    let _alone = CROWD.lock().await;
    let deployment = start_entry().await;
    let value = "v".repeat(MAX_BODY_BYTES - 200);
    let body =
        format!(r#"{{"branch":"seaside","service":"elsewhere","path":"lookup","body":"{value}"}}"#);
    let request = head("/v1/call", &length(body.len())) + &body;
    // It is read to its end: only then is the service known.
    assert_eq!(ask(deployment.address, &request), 404);
    assert!(body.len() <= MAX_BODY_BYTES);
}

/// Guards against a log whose volume clients decide on.
#[actix_rt::test]
async fn malformed_heads_log_bounded() {
    let _alone = CROWD.lock().await;
    let deployment = start_entry().await;
    let log = deployment.cluster.log_path("entry-1");
    let count_lines = || {
        std::fs::read_to_string(&log)
            .expect("a log")
            .lines()
            .count() as u64
    };
    let (began, lines_before) = (Instant::now(), count_lines());
    std::thread::scope(|scope| {
        for _ in 0..8 {
            scope.spawn(|| {
                for _ in 0..MALFORMED_HEADS / 8 {
                    assert_eq!(ask(deployment.address, "GET / HTTP/7.7\r\n\r\n"), 400);
                }
            });
        }
    });
    let lines = count_lines() - lines_before;
    // The first and the last second count whole.
    let limit = (began.elapsed().as_secs() + 2) * MAX_LINES_PER_S;
    assert!((MALFORMED_HEADS as u64) > limit, "too slow to tell");
    assert!(lines <= limit, "{lines} lines, {limit} allowed");
    assert_eq!(ask(deployment.address, &deployment.ordinary), 200);
}
