//! Answers that are cut, as the clients of our own interface read them.

mod head_cuts;

use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::pin::pin;
use std::time::Duration;
use std::time::Instant;

use actix_web::http::Method;
use bytes::Bytes;
use futures_util::poll;

use bergamotfork::clients::EngineClient;
use bergamotfork::clients::GenerateOrder;
use bergamotfork::clients::HostsClient;
use bergamotfork::clients::ServiceClient;
use bergamotfork::clients::ServiceRequest;
use bergamotfork::clients::StreamEvent;
use bergamotfork::links::HttpClient;
use bergamotfork::links::LinkError;
use bergamotfork::weights::Digest;

const TIMEOUT_MS: u64 = 2_000;

/// Starts a server that sends `parts` after each request, with a pause of `pause` between
/// them, and then closes the connection.
fn serve(parts: Vec<String>, pause: Duration) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("the server listens");
    let address = listener.local_addr().expect("it has an address");
    std::thread::spawn(move || {
        for mut stream in listener.incoming().flatten() {
            let mut request = [0; 8192];
            let _ = stream.read(&mut request);
            for part in &parts {
                // The client may have closed the connection.
                let _ = stream.write_all(part.as_bytes());
                std::thread::sleep(pause);
            }
        }
    });
    address
}

/// A complete JSON answer, cut after its first `length` bytes.
fn cut_answer(framing: &str, body: &str, length: usize) -> SocketAddr {
    let text = format!("HTTP/1.1 200 OK\r\n{framing}\r\n\r\n{body}");
    let head_bytes = text.len() - body.len();
    serve(vec![text[..head_bytes + length].to_owned()], Duration::ZERO)
}

/// Guards against a body that was cut and is taken for a whole one.
#[actix_rt::test]
async fn send_and_read_cut_body_broken() {
    let http = HttpClient::to_platform();
    for length in 0..8 {
        let address = cut_answer("Content-Length: 8", "12345678", length);
        let request = http.request(Method::GET, &format!("http://{address}/x"));
        let answer = HttpClient::send_and_read(request, Bytes::new(), TIMEOUT_MS).await;
        assert!(
            matches!(answer, Err(LinkError::Broken(_))),
            "{length}: {answer:?}"
        );
    }
    let address = cut_answer("Content-Length: 8", "12345678", 8);
    let request = http.request(Method::GET, &format!("http://{address}/x"));
    let answer = HttpClient::send_and_read(request, Bytes::new(), TIMEOUT_MS).await;
    assert_eq!(answer.unwrap(), Bytes::from_static(b"12345678"));
}

/// Guards against a crash in the middle of an answer that is not noticed as one: the
/// request would not be suspected.
#[actix_rt::test]
async fn service_call_cut_answer_broken() {
    let body = r#"{"request_id":"r-1","execution":1,"echo":{}}"#;
    let chunked = format!("{:x}\r\n{body}\r\n0\r\n\r\n", body.len());
    let framings = [
        (format!("Content-Length: {}", body.len()), body.to_owned()),
        ("Transfer-Encoding: chunked".to_owned(), chunked),
        ("Connection: close".to_owned(), body.to_owned()),
    ];
    for (framing, sent) in &framings {
        for length in (0..body.len() - 1).step_by(7) {
            let address = cut_answer(framing, sent, length);
            let call = ServiceRequest {
                path: "x".to_owned(),
                request_id: "r-1".to_owned(),
                key: None,
                body: Bytes::from_static(b"{}"),
                deadline: Instant::now() + Duration::from_millis(TIMEOUT_MS),
                timeout_ms: TIMEOUT_MS,
            };
            let client = ServiceClient::new(&format!("http://{address}"));
            let answer = client.call(call).await;
            assert!(
                matches!(answer, Err(LinkError::Broken(_))),
                "{framing}, {length} bytes: {answer:?}"
            );
        }
    }
}

/// Guards against a call that runs after its deadline because the process was paused while
/// it connected to the service.
#[actix_rt::test]
async fn service_call_paused_while_connecting_not_sent() {
    let listener = TcpListener::bind("127.0.0.1:0").expect("the server listens");
    let address = listener.local_addr().expect("it has an address");
    let call = ServiceRequest {
        path: "x".to_owned(),
        request_id: "r-1".to_owned(),
        key: Some("k-1".to_owned()),
        body: Bytes::from_static(b"{}"),
        deadline: Instant::now() + Duration::from_millis(200),
        timeout_ms: TIMEOUT_MS,
    };
    let client = ServiceClient::new(&format!("http://{address}"));
    let mut sending = pin!(client.call(call));
    // The first poll starts to connect; the thread that would go on with it then stands still.
    assert!(poll!(&mut sending).is_pending());
    std::thread::sleep(Duration::from_millis(300));
    let answer = sending.await;
    assert!(matches!(answer, Err(LinkError::NotSent(_))), "{answer:?}");
    let mut received = Vec::new();
    let (mut stream, _) = listener.accept().expect("the client has connected");
    stream
        .read_to_end(&mut received)
        .expect("the client has closed the connection");
    assert!(!received.ends_with(b"{}"), "the body was sent");
}

/// Guards against a stream of tokens that its reader cuts after the time that an order may
/// take.
#[actix_rt::test]
async fn engine_stream_longer_than_an_order() {
    let head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n".to_owned();
    let mut parts = vec![head];
    for index in 0..9 {
        let line = format!("{{\"kind\":\"token\",\"index\":{index},\"text\":\"t\"}}\n");
        parts.push(format!("{:x}\r\n{line}\r\n", line.len()));
    }
    let address = serve(parts, Duration::from_millis(450));
    let order = GenerateOrder {
        request_id: "r-1".to_owned(),
        model: "m".to_owned(),
        manifest: Digest::of_bytes(b"m"),
        prompt: "p".to_owned(),
        max_tokens: 9,
        seed: 1,
        priority: 0,
        resume_from: 0,
        deadline_ms: 10_000,
    };
    let mut stream = EngineClient::new(address).generate(&order).await.unwrap();
    for index in 0..9 {
        let text = "t".to_owned();
        let event = stream.next().await;
        assert_eq!(event, Some(Ok(StreamEvent::Token { index, text })));
    }
    // The connection ends without the last chunk and without the end event.
    assert!(!matches!(stream.next().await, Some(Ok(_))));
}

/// A list of hosts with these records, as one answer.
fn list_answer(records: &[String]) -> String {
    let body = format!("{{\"version\":7,\"hosts\":[{}]}}", records.join(","));
    format!(
        "HTTP/1.1 200 .\r\ncontent-type: application/json\r\ncontent-length: {}\r\n\r\n{body}",
        body.len()
    )
}

/// Guards against a process that no longer follows the list as one record of another writer
/// names no host.
#[actix_rt::test]
async fn fetch_list_odd_record_left_out() {
    let record = |name: &str, address: &str, role: &str| {
        format!(
            "{{\"name\":\"{name}\",\"address\":{address},\"role\":{role},\
             \"region\":\"r\",\"domain\":\"d\",\"state\":\"live\"}}"
        )
    };
    let entry = "\"entry\"";
    let nested = "[".repeat(100_000) + &"]".repeat(100_000);
    let odd = [
        nested.clone(),
        record("odd", &nested, entry),
        record("odd", "\"127.0.0.1:70000\"", entry),
        record("odd", "18446744073709551616", entry),
        record("odd", "\"127.0.0.1:7000\"", "1e400"),
        record("odd", "\"127.0.0.1:7000\"", "\"owner\""),
        "null".to_owned(),
        "{}".to_owned(),
    ];
    for odd in odd {
        let records = [
            record("a", "\"127.0.0.1:7001\"", entry),
            odd.clone(),
            record("b", "\"127.0.0.1:7002\"", entry),
        ];
        let address = serve(vec![list_answer(&records)], Duration::ZERO);
        let client = HostsClient::new(&format!("http://{address}"));
        let list = client.fetch_list(0).await;
        let name = odd.get(..80).unwrap_or(&odd);
        let list = list.unwrap_or_else(|error| panic!("{name}: {error}"));
        let list = list.expect("it has changed");
        let names: Vec<&str> = list.hosts.iter().map(|host| host.name.as_str()).collect();
        assert_eq!((list.version, names), (7, vec!["a", "b"]), "{name}");
    }
}
