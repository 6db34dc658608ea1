//! Engines whose token streams contain bytes that are no events of them.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;

use actix_web::HttpRequest;
use actix_web::HttpResponse;
use actix_web::http::Method;
use actix_web::http::StatusCode;
use actix_web::web;
use serde_json::Value;

use crate::generate_cluster::GenerateCluster;
use bergamotfork::clients::GenerateOrder;
use bergamotfork::links::HttpClient;
use bergamotfork::links::LinkError;
use bergamotfork::links::ServeOptions;
use bergamotfork::links::serve;

/// Bytes within a stream, after its first two tokens.
const FOREIGN_BYTES: [&str; 6] = [
    "HTTP/1.1 500 X\r\nContent-Length: 6\r\n\r\nfailed",
    "Internal Server Error\n",
    "{\"error\":\"failed\"}\n",
    "{\"kind\":\"token\",\"index\":9,\"text\":\"x\"}\n",
    "{\"kind\":\"token\",\"index\":0,\"text\":\"x\"}\n",
    "{\"kind\":\"error\",\"code\":\"other\",\"message\":\"failed\"}\n",
];

/// Number of tokens of each answer.
const TOKENS: u32 = 6;

/// Longest wait for the answer of the engine, in milliseconds.
const FORWARD_TIMEOUT_MS: u64 = 20_000;

/// Streams by prompt.
type StreamCounts = Arc<Mutex<HashMap<String, u32>>>;

/// Proxy of an engine that inserts foreign bytes into the first streams of each prompt.
#[derive(Debug)]
struct InsertingProxy {
    engine: String,
    /// Streams of all engines.
    streams: StreamCounts,
    /// Streams of a prompt into which bytes are inserted.
    faulty_streams: u32,
}

/// Forwards one call to the engine.
async fn forward(
    proxy: web::Data<InsertingProxy>,
    request: HttpRequest,
    body: web::Bytes,
) -> HttpResponse {
    let url = format!("http://{}{}", proxy.engine, request.path());
    let method = Method::from_bytes(request.method().as_str().as_bytes()).expect("a method");
    let forwarded = HttpClient::to_platform()
        .request(method, &url)
        .insert_header(("content-type", "application/json"));
    let answer = HttpClient::send_and_read(forwarded, body.clone(), FORWARD_TIMEOUT_MS).await;
    let answer = match answer {
        Ok(answer) => answer,
        Err(LinkError::Status { status, body, .. }) => {
            return HttpResponse::build(StatusCode::from_u16(status).expect("a status")).body(body);
        }
        Err(_) => return HttpResponse::BadGateway().finish(),
    };
    let order = (request.path() == "/v1/generate")
        .then(|| serde_json::from_slice::<GenerateOrder>(&body).expect("an order"));
    let case = order.and_then(|order| Some((case_no(&order.prompt)?, order.prompt)));
    let Some((case, prompt)) = case else {
        return HttpResponse::Ok().body(answer);
    };
    let stream_count = {
        let mut streams = proxy.streams.lock().unwrap();
        let count = streams.entry(prompt).or_default();
        *count += 1;
        *count
    };
    if stream_count > proxy.faulty_streams {
        return HttpResponse::Ok().body(answer);
    }
    let is_token = |line: &&[u8]| line.starts_with(b"{\"kind\":\"token\"");
    let lines: Vec<&[u8]> = answer.split_inclusive(|byte| *byte == b'\n').collect();
    let second = lines
        .iter()
        .enumerate()
        .filter(|line| is_token(line.1))
        .nth(1);
    let (front, back) = lines.split_at(second.map_or(0, |second| second.0 + 1));
    let foreign = FOREIGN_BYTES[case].as_bytes();
    HttpResponse::Ok().body([&front.concat(), foreign, &back.concat()].concat())
}

/// Number of the case in a prompt.
fn case_no(prompt: &str) -> Option<usize> {
    prompt.strip_prefix("case ")?.parse().ok()
}

/// Starts a cluster whose engines insert foreign bytes into the first `faulty_streams` of each
/// prompt; returns also the number of streams.
async fn start_cluster(replicas: usize, faulty_streams: u32) -> (GenerateCluster, StreamCounts) {
    let streams = StreamCounts::default();
    let start_proxy = |engine: &str| {
        let proxy = web::Data::new(InsertingProxy {
            engine: engine.to_owned(),
            streams: Arc::clone(&streams),
            faulty_streams,
        });
        let listen = SocketAddr::from(([127, 0, 0, 1], 0));
        let handle = serve(listen, &ServeOptions::default(), move |app| {
            app.app_data(proxy.clone())
                .default_service(web::to(forward));
        })
        .expect("the address is free");
        let address = handle.address().to_string();
        // It serves until the test ends.
        std::mem::forget(handle);
        address
    };
    let cluster = GenerateCluster::start_with_proxies(replicas, start_proxy).await;
    (cluster, streams)
}

/// Guards against foreign bytes in an answer whose engine fails and whose rest comes from
/// another one.
#[actix_rt::test]
async fn generate_foreign_bytes_resumed() {
    let (cluster, streams) = start_cluster(2, 1).await;
    for case in 0..FOREIGN_BYTES.len() {
        let prompt = format!("case {case}");
        let answer = cluster.generate(&prompt, TOKENS).await;
        cluster.assert_answer(&answer.expect("the entry answers"), &prompt, TOKENS);
        assert_eq!(streams.lock().unwrap().get(&prompt), Some(&2), "{prompt}");
    }
}

/// Guards against an answer that looks complete, or contains foreign bytes, where no other
/// engine is left.
#[actix_rt::test]
async fn generate_foreign_bytes_not_complete() {
    let (cluster, _) = start_cluster(1, u32::MAX).await;
    for case in 0..FOREIGN_BYTES.len() {
        let answer = cluster.generate(&format!("case {case}"), TOKENS).await;
        let answer = answer.expect("the stream has begun");
        let lines = answer.split(|byte| *byte == b'\n');
        let events: Vec<Value> = lines
            .filter(|line| !line.is_empty())
            .map(|line| serde_json::from_slice(line).expect("a line is an event"))
            .filter(|event: &Value| event["kind"] != "beat")
            .collect();
        let (last, tokens) = events.split_last().expect("there are events");
        assert_eq!(last["kind"], "error", "case {case}: {last}");
        for (index, token) in tokens.iter().enumerate() {
            assert_eq!(token["kind"], "token", "case {case}");
            assert_eq!(token["index"], index, "case {case}");
            assert_ne!(token["text"], "x", "case {case}");
        }
    }
}
