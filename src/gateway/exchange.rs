use std::cell::Cell;
use std::net::SocketAddr;
use std::time::Duration;

use tokio::time::Instant;

use crate::fleet::ReplicaNotice;
use crate::gateway::Dialect;
use crate::gateway::ResponseFacts;
use crate::gateway::SendFacts;
use crate::gateway::answer_memory::HeldAnswer;
use crate::gateway::routed_request::RoutedRequest;
use crate::http1::BodyDecoder;
use crate::http1::Connection;
use crate::http1::Framing;
use crate::http1::Headers;
use crate::http1::Http1Error;
use crate::http1::ResponseHead;

/// Timeout of opening a connection to a replica: many round trips between regions,
/// and well below any latency target.
pub const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);

/// Largest head of a replica's response, in bytes.
const MAX_HEAD_BYTES: usize = 32 * 1024;

/// Largest body of a response that is not streamed, in bytes: it is buffered in
/// memory.
pub const MAX_RESPONSE_BYTES: usize = 8 * 1024 * 1024;

/// Headers that apply to one connection only, or that the gateway sets itself because
/// they describe the framing of the body.
const HOP_BY_HOP_HEADERS: [&str; 10] = [
    "connection",
    "keep-alive",
    "proxy-connection",
    "proxy-authenticate",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
    "content-length",
    "expect",
];

/// A complete response of a replica.
#[derive(Debug)]
pub struct ReplicaResponse {
    /// Status and headers.
    pub head: ResponseHead,
    /// How the replica marked the end of the body.
    pub framing: Framing,
    /// Complete body.
    pub body: Vec<u8>,
    /// Room that the body takes; returned when the response is dropped.
    pub _held: HeldAnswer,
}

/// A response of a replica that is a stream of events, of which the head was read.
#[derive(Debug)]
pub struct EventStream {
    /// Status and headers.
    pub head: ResponseHead,
    /// Connection to the replica.
    pub connection: Connection,
    /// How the replica marks the end of the body.
    pub framing: Framing,
    /// Decoder of the body's framing, with the state of its progress.
    pub decoder: BodyDecoder,
    /// Room for the event that is not complete.
    pub held: HeldAnswer,
}

/// Result of sending a request to one replica.
#[derive(Debug)]
pub enum SendOutcome {
    /// The connection could not be opened; nothing was sent.
    Unreachable(Http1Error),
    /// The replica states that it did not run the request.
    NotRun,
    /// Another replica than the expected one uses the address; the request did not
    /// run.
    WrongReplica,
    /// The replica has another version of the weights than the expected one; the
    /// request did not run.
    OtherWeights,
    /// The request may have run, but there is no valid response, for this cause.
    Broken(&'static str),
    /// A complete response.
    Response(ReplicaResponse),
    /// A stream of which the head was received.
    Stream(Box<EventStream>),
}

/// Sends `request` to the replica at `address` and reads its response.
///
/// The head of the response must arrive before `head_deadline`. Each connection
/// carries only one request, so that bytes that a replica sends late or after its
/// response can't be taken for the response to another request.
pub async fn send_to_replica(
    dialect: &impl Dialect,
    request: &RoutedRequest,
    address: SocketAddr,
    facts: &SendFacts<'_>,
    head_deadline: Instant,
    mut held: HeldAnswer,
    notice: &Cell<ReplicaNotice>,
) -> SendOutcome {
    let mut connection = match Connection::connect(address, CONNECT_TIMEOUT).await {
        Ok(connection) => connection,
        Err(error) => return SendOutcome::Unreachable(error),
    };
    connection.reset_on_drop();
    let bytes = request_bytes(dialect, request, facts);
    match connection
        .write_until_readable(&bytes, request.deadline)
        .await
    {
        Ok(_) => {}
        Err(error) => return SendOutcome::Broken(error.label()),
    }
    let head_deadline = head_deadline.min(request.deadline);
    let head = match connection
        .read_response_head(MAX_HEAD_BYTES, || head_deadline)
        .await
    {
        Ok(head) => head,
        Err(Http1Error::TimedOut) => return SendOutcome::Broken("silent"),
        Err(error) => return SendOutcome::Broken(error.label()),
    };
    let response = dialect.response_facts(&head);
    // Another replica that has taken over the address speaks of itself.
    if !response.is_misdirected || response.replica_id.as_deref() == Some(facts.replica_id) {
        notice.set(response.notice);
    }
    if let Some(outcome) = reject_response(&response, &head, request, facts) {
        return outcome;
    }
    let framing = match head.framing(&request.head.method) {
        Ok(framing) => framing,
        Err(error) => return SendOutcome::Broken(error.label()),
    };
    let decoder = BodyDecoder::new(framing);
    if request.route.kind.is_streaming() && head.status == 200 && framing != Framing::None {
        return SendOutcome::Stream(Box::new(EventStream {
            head,
            connection,
            framing,
            decoder,
            held,
        }));
    }
    let read = connection.read_body(decoder, &mut held, || request.deadline);
    match read.await {
        Ok(body) => SendOutcome::Response(ReplicaResponse {
            head,
            framing,
            body,
            _held: held,
        }),
        Err(error) => SendOutcome::Broken(error.label()),
    }
}

/// Outcome of a send whose response does not show that the expected replica ran this
/// request; None if the response is valid.
fn reject_response(
    response: &ResponseFacts,
    head: &ResponseHead,
    request: &RoutedRequest,
    facts: &SendFacts<'_>,
) -> Option<SendOutcome> {
    let is_other_attempt = response
        .attempt_id
        .as_ref()
        .is_some_and(|id| *id != request.facts.attempt_id);
    if is_other_attempt {
        return Some(SendOutcome::Broken("other_answer"));
    }
    if response.is_misdirected {
        let is_expected_replica = response.replica_id.as_deref() == Some(facts.replica_id);
        return Some(if is_expected_replica {
            SendOutcome::OtherWeights
        } else {
            SendOutcome::WrongReplica
        });
    }
    if response.was_not_run && head.status >= 400 {
        return Some(SendOutcome::NotRun);
    }
    if !response.is_signed {
        return Some(SendOutcome::Broken("unsigned"));
    }
    response
        .is_encoded
        .then_some(SendOutcome::Broken("encoded"))
}

/// Encodes the request with the headers for the replica.
fn request_bytes(
    dialect: &impl Dialect,
    request: &RoutedRequest,
    facts: &SendFacts<'_>,
) -> Vec<u8> {
    let head = &request.head;
    let mut bytes = Vec::with_capacity(1024 + request.body.len());
    bytes.extend_from_slice(head.method.as_bytes());
    bytes.push(b' ');
    bytes.extend_from_slice(head.target.as_bytes());
    bytes.extend_from_slice(b" HTTP/1.1\r\n");
    for (name, value) in head.headers.iter() {
        let is_dropped =
            is_hop_by_hop_header(name, &head.headers) || !dialect.is_forwarded_header(name);
        if !is_dropped {
            write_header(name, value, &mut bytes);
        }
    }
    dialect.write_send_headers(facts, &mut bytes);
    let has_length = head.headers.values("content-length").next().is_some()
        || head.headers.values("transfer-encoding").next().is_some();
    if has_length {
        let length = request.body.len().to_string();
        write_header("Content-Length", length.as_bytes(), &mut bytes);
    }
    bytes.extend_from_slice(b"Connection: close\r\n\r\n");
    bytes.extend_from_slice(&request.body);
    bytes
}

/// Whether a header applies only to the connection on which it was received.
pub fn is_hop_by_hop_header(name: &str, headers: &Headers) -> bool {
    HOP_BY_HOP_HEADERS
        .iter()
        .any(|line| line.eq_ignore_ascii_case(name))
        || headers.has_token("connection", name)
}

/// Appends a header to `out`.
pub fn write_header(name: &str, value: &[u8], out: &mut Vec<u8>) {
    out.extend_from_slice(name.as_bytes());
    out.extend_from_slice(b": ");
    out.extend_from_slice(value);
    out.extend_from_slice(b"\r\n");
}
