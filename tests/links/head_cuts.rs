//! Answers that break off in their heads, as the clients of our own interface read them: those
//! of the engine, the service, the platform's log, its list of hosts, the origin and peers.

use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use serde::Deserialize;
use serde::Serialize;

use bergamotfork::clients::EngineClient;
use bergamotfork::clients::EngineRole;
use bergamotfork::clients::EngineState;
use bergamotfork::clients::HostsClient;
use bergamotfork::clients::LogClient;
use bergamotfork::clients::OriginClient;
use bergamotfork::clients::ServiceClient;
use bergamotfork::clients::ServiceRequest;
use bergamotfork::links::HttpClient;
use bergamotfork::links::LinkError;
use bergamotfork::weights::Digest;

const TIMEOUT_MS: u64 = 2_000;

/// What comes after the cut: nothing, or line ends that complete a line or the head.
const LINE_ENDS: [&str; 4] = ["", "\r\n", "\r\n\r\n", "\n\n"];

/// What comes before an answer.
const INTERIM: [&str; 2] = ["", "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n"];

/// Lets the bytes arrive, which a reset would overtake.
const BEFORE_RESET: Duration = Duration::from_millis(2);

/// An answer that breaks off.
#[derive(Debug, Clone)]
struct Cut {
    bytes: Vec<u8>,
    is_reset: bool,
    is_whole: bool,
}

/// Whole answers with this body, by the order and kind of their header lines.
fn whole_answers(body: &[u8]) -> Vec<Vec<u8>> {
    let length = format!("Content-Length: {}\r\n", body.len());
    let date = "Date: Sat, 5 Dec 2026 07:00:00 GMT\r\n";
    let chunked = "Transfer-Encoding: chunked\r\n";
    let mut chunks = format!("{:x}\r\n", body.len()).into_bytes();
    chunks.extend_from_slice(body);
    chunks.extend_from_slice(b"\r\n0\r\n\r\n");
    let answer = |version: &str, lines: String, body: &[u8]| {
        [format!("{version} 200 OK\r\n{lines}\r\n").as_bytes(), body].concat()
    };
    vec![
        answer("HTTP/1.1", format!("{date}{length}"), body),
        answer("HTTP/1.1", format!("{length}{date}"), body),
        answer("HTTP/1.1", format!("{date}{chunked}"), &chunks),
        answer("HTTP/1.0", format!("{date}{length}"), body),
        answer("HTTP/1.0", date.to_owned(), body),
    ]
}

/// Every cut of every form of an answer with this body.
fn all_cuts(body: &[u8]) -> Vec<Cut> {
    let mut cuts = Vec::new();
    for (form, answer) in whole_answers(body).into_iter().enumerate() {
        let head = answer.windows(4).position(|four| four == b"\r\n\r\n");
        for interim in INTERIM {
            let head_bytes = interim.len() + head.expect("the head ends") + 4;
            let whole = [interim.as_bytes(), &answer].concat();
            for length in 0..=whole.len() {
                for line_end in LINE_ENDS {
                    for is_reset in [false, true] {
                        // A line end within a body takes the place of what was cut.
                        let is_odd = length > head_bytes && !line_end.is_empty();
                        let is_extra = (is_reset || !interim.is_empty()) && form > 0;
                        if is_odd || is_extra || is_reset && line_end.len() == 2 {
                            continue;
                        }
                        cuts.push(Cut {
                            bytes: [&whole[..length], line_end.as_bytes()].concat(),
                            is_reset,
                            is_whole: length == whole.len() && interim.is_empty(),
                        });
                    }
                }
            }
        }
    }
    cuts
}

/// A server that sends the answer that it is told, and closes or resets the connection.
#[derive(Debug, Clone)]
struct CuttingServer {
    address: SocketAddr,
    cut: Arc<Mutex<Option<Cut>>>,
}

impl CuttingServer {
    fn start() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("the server listens");
        let address = listener.local_addr().expect("it has an address");
        let cut: Arc<Mutex<Option<Cut>>> = Arc::default();
        let told = cut.clone();
        std::thread::spawn(move || {
            for mut stream in listener.incoming().flatten() {
                let mut request = [0; 8192];
                let _ = stream.read(&mut request);
                let cut = told.lock().unwrap().clone().expect("a cut is told");
                // The client may have closed the connection.
                let _ = stream.write_all(&cut.bytes);
                if cut.is_reset {
                    std::thread::sleep(BEFORE_RESET);
                    socket2::SockRef::from(&stream)
                        .set_linger(Some(Duration::ZERO))
                        .expect("the linger option is set");
                }
            }
        });
        Self { address, cut }
    }

    fn url(&self) -> String {
        format!("http://{}", self.address)
    }
}

/// Reads every cut of an answer with this body: what is read is what was sent.
async fn check<T: PartialEq + std::fmt::Debug>(
    body: &[u8],
    sent: T,
    read: impl AsyncFn(&CuttingServer) -> Option<T>,
) {
    let server = CuttingServer::start();
    let cuts = all_cuts(body);
    let mut failures = Vec::new();
    let mut taken_count = 0;
    for cut in &cuts {
        *server.cut.lock().unwrap() = Some(cut.clone());
        let taken = read(&server).await;
        taken_count += usize::from(taken.is_some());
        let is_right = match &taken {
            Some(taken) => *taken == sent,
            None => !cut.is_whole || cut.is_reset,
        };
        if !is_right {
            let bytes = String::from_utf8_lossy(&cut.bytes);
            failures.push(format!("{bytes:?}, reset {}: {taken:?}", cut.is_reset));
        }
    }
    let failed = failures.len();
    failures.truncate(10);
    assert!(
        failures.is_empty(),
        "{failed} of {}: {failures:#?}",
        cuts.len()
    );
    assert!(taken_count > 0);
}

/// Guards against MIXED: an answer of a service that is short and passed on as whole.
#[actix_rt::test]
async fn service_call_cut_in_head() {
    let body = br#"{"request_id":"r-1","execution":1,"echo":{}}"#;
    check(body, (200, body.to_vec()), async |server| {
        let call = ServiceRequest {
            path: "x".to_owned(),
            request_id: "r-1".to_owned(),
            key: None,
            body: Bytes::from_static(b"{}"),
            deadline: Instant::now() + Duration::from_millis(TIMEOUT_MS),
            timeout_ms: TIMEOUT_MS,
        };
        let answer = ServiceClient::new(&server.url()).call(call).await.ok()?;
        Some((answer.status, answer.body))
    })
    .await;
}

/// Guards against an order to an engine that counts as carried out without its word.
#[actix_rt::test]
async fn engine_order_cut_in_head() {
    check(b"null", (), async |server| {
        EngineClient::new(server.address).cancel("r-1").await.ok()
    })
    .await;
}

/// Guards against the state of an engine without work.
#[actix_rt::test]
async fn engine_state_cut_in_head() {
    let state = EngineState {
        loaded: Vec::new(),
        highest_order: None,
        running: 31,
        queued: 4,
        cached_blocks: 5,
        started: 67,
        prompt_blocks: 8,
        hit_blocks: 9,
        role: EngineRole::Both,
    };
    let body = serde_json::to_vec(&state).expect("it is encoded");
    check(&body, (31, 4, 67), async |server| {
        let state = EngineClient::new(server.address).fetch_state().await.ok()?;
        Some((state.running, state.queued, state.started))
    })
    .await;
}

/// Guards against records of the log that are passed over.
#[actix_rt::test]
async fn log_read_cut_in_head() {
    let body = br#"{"earliest":0,"next":12,"records":[{"offset":11,"body_hex":"6162"}]}"#;
    check(body, (12, vec![(11, b"ab".to_vec())]), async |server| {
        let client = LogClient::new(&server.url(), "config");
        let read = client.read(11, 10, 0).await.ok()?;
        let records = read.records.iter().map(|r| (r.offset, r.body())).collect();
        Some((read.next, records))
    })
    .await;
}

/// Guards against an append that counts as acknowledged, or at a smaller offset.
#[actix_rt::test]
async fn log_append_cut_in_head() {
    check(br#"{"offset":123}"#, 123, async |server| {
        let client = LogClient::new(&server.url(), "config");
        client.append(b"ab".to_vec()).await.ok()
    })
    .await;
}

/// Guards against hosts that vanish from a list that was cut.
#[actix_rt::test]
async fn host_list_cut_in_head() {
    let host = |name: &str| {
        format!(
            "{{\"name\":\"{name}\",\"address\":\"127.0.0.1:70\",\"role\":\"entry\",\
             \"region\":\"r\",\"domain\":\"d\",\"state\":\"live\"}}"
        )
    };
    let body = format!("{{\"version\":71,\"hosts\":[{},{}]}}", host("a"), host("b"));
    check(body.as_bytes(), Some((71, 2)), async |server| {
        let list = HostsClient::new(&server.url()).fetch_list(0).await.ok()?;
        Some(list.map(|list| (list.version, list.hosts.len())))
    })
    .await;
}

/// Guards against a chunk that is short: its end may not be known, so that its digest is what
/// tells.
#[actix_rt::test]
async fn origin_chunk_cut_in_head() {
    let chunk = b"bytes of a chunk";
    let digest = Digest::of_bytes(chunk);
    check(chunk, chunk.to_vec(), async |server| {
        let client = OriginClient::new(server.url());
        let bytes = client.fetch_chunk(digest, 0, TIMEOUT_MS).await.ok()?;
        (Digest::of_bytes(&bytes) == digest).then(|| bytes.to_vec())
    })
    .await;
}

/// A message between processes.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
struct PeerMessage {
    ends: [u64; 2],
    name: String,
}

/// Guards against a message of a peer that is short.
#[actix_rt::test]
async fn peer_message_cut_in_head() {
    let message = PeerMessage {
        ends: [1 << 40, 7],
        name: "entry-1".to_owned(),
    };
    let body = rmp_serde::to_vec_named(&message).expect("it is encoded");
    check(&body, message, async |server| {
        let client = HttpClient::to_processes("key");
        client.call_rmp(&server.url(), &(), TIMEOUT_MS).await.ok()
    })
    .await;
}

/// Starts a server that sends an interim response first to the first request, and answers each
/// request of all connections with its number as the offset, on connections that it keeps.
fn start_interim_server() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("the server listens");
    let address = listener.local_addr().expect("it has an address");
    let count = Arc::new(Mutex::new(0));
    std::thread::spawn(move || {
        for mut stream in listener.incoming().flatten() {
            let count = count.clone();
            std::thread::spawn(move || {
                let mut request = [0; 8192];
                while stream.read(&mut request).is_ok_and(|length| length > 0) {
                    *count.lock().unwrap() += 1;
                    let number = *count.lock().unwrap();
                    if number == 1 {
                        let _ = stream.write_all(INTERIM[1].as_bytes());
                        std::thread::sleep(FINAL_AFTER);
                    }
                    let text = format!(
                        "HTTP/1.1 200 OK\r\nContent-Length: 12\r\n\r\n{{\"offset\":{number}}}"
                    );
                    let _ = stream.write_all(text.as_bytes());
                }
            });
        }
    });
    address
}

/// Pause between an interim response and the final one.
const FINAL_AFTER: Duration = Duration::from_millis(100);

/// Guards against MIXED: the final response after an interim one is taken for that to the next
/// call on the connection.
#[actix_rt::test]
async fn log_append_after_interim_response() {
    let client = LogClient::new(&format!("http://{}", start_interim_server()), "config");
    let first = client.append(b"a".to_vec()).await;
    let second = client.append(b"b".to_vec()).await;
    assert!(
        matches!((&first, &second), (Err(LinkError::Broken(_)), Ok(2))),
        "{first:?}, {second:?}"
    );
}
