use std::net::SocketAddr;
use std::time::Duration;

use tokio::time::Instant;

use crate::gateway::Dialect;
use crate::gateway::ResponseFacts;
use crate::gateway::SendFacts;
use crate::gateway::admitted_request::AdmittedRequest;
use crate::http1::BodyDecoder;
use crate::http1::Connection;
use crate::http1::Headers;
use crate::http1::Http1Error;
use crate::http1::ResponseHead;

/// Time to open a connection to a replica: many round trips between regions,
/// and well under any target.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);

/// Largest head of a replica's answer, in bytes.
const MAX_HEAD_BYTES: usize = 32 * 1024;

/// Largest answer that is kept in memory, in bytes.
const MAX_RESPONSE_BYTES: usize = 8 * 1024 * 1024;

/// Header lines that concern one connection only, or that framing sets anew.
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

/// A whole answer of a replica.
#[derive(Debug)]
pub struct ReplicaResponse {
    /// Head.
    pub head: ResponseHead,
    /// Whole body.
    pub body: Vec<u8>,
}

/// An answer that comes as a stream of events.
#[derive(Debug)]
pub struct EventStream {
    /// Head.
    pub head: ResponseHead,
    /// Connection to the replica.
    pub connection: Connection,
    /// Where the body stands.
    pub decoder: BodyDecoder,
}

/// What became of one send.
#[derive(Debug)]
pub enum SendOutcome {
    /// Nothing was sent.
    Unreachable(Http1Error),
    /// The replica states that the request did not run.
    NotRun,
    /// Another replica has the address; the request did not run.
    Misplaced,
    /// The replica holds other weights than expected; the request did not run.
    OtherWeights,
    /// It may have run, and there is no valid answer.
    Broken(&'static str),
    /// The answer.
    Response(ReplicaResponse),
    /// The beginning of a stream.
    Stream(Box<EventStream>),
}

/// Sends `request` to the replica at `address` and reads its answer.
///
/// The head of the answer must come before `head_until`. A connection carries
/// one request only: whatever a replica sends after its answer, or too late,
/// can then belong to no other.
pub async fn send_to_replica(
    dialect: &impl Dialect,
    request: &AdmittedRequest,
    address: SocketAddr,
    facts: &SendFacts<'_>,
    head_deadline: Instant,
) -> SendOutcome {
    let mut connection = match Connection::open(address, CONNECT_TIMEOUT).await {
        Ok(connection) => connection,
        Err(error) => return SendOutcome::Unreachable(error),
    };
    connection.reset_on_drop();
    let bytes = request_bytes(dialect, request, facts);
    match connection.write_or_readable(&bytes, request.deadline).await {
        Ok(_) => {}
        Err(error) => return SendOutcome::Broken(error.label()),
    }
    let head = match read_head(&mut connection, head_deadline.min(request.deadline)).await {
        Ok(head) => head,
        Err(Http1Error::TimedOut) => return SendOutcome::Broken("silent"),
        Err(error) => return SendOutcome::Broken(error.label()),
    };
    let answer = dialect.response_facts(&head);
    if let Some(outcome) = reject_response(&answer, &head, request, facts) {
        return outcome;
    }
    let framing = match head.framing(&request.head.method) {
        Ok(framing) => framing,
        Err(error) => return SendOutcome::Broken(error.label()),
    };
    let decoder = BodyDecoder::new(framing);
    if request.route.kind.is_streaming() && head.status == 200 {
        return SendOutcome::Stream(Box::new(EventStream {
            head,
            connection,
            decoder,
        }));
    }
    let read = connection.read_body(decoder, MAX_RESPONSE_BYTES, || request.deadline);
    match read.await {
        Ok(body) => SendOutcome::Response(ReplicaResponse { head, body }),
        Err(error) => SendOutcome::Broken(error.label()),
    }
}

/// Outcome of an answer that is not the replica's answer to this request.
fn reject_response(
    answer: &ResponseFacts,
    head: &ResponseHead,
    request: &AdmittedRequest,
    facts: &SendFacts<'_>,
) -> Option<SendOutcome> {
    let is_other_attempt = answer
        .attempt_id
        .as_ref()
        .is_some_and(|id| *id != request.facts.attempt_id);
    if is_other_attempt {
        return Some(SendOutcome::Broken("other_answer"));
    }
    if answer.is_misdirected {
        let is_expected_replica = answer.replica_id.as_deref() == Some(facts.replica_id);
        return Some(if is_expected_replica {
            SendOutcome::OtherWeights
        } else {
            SendOutcome::Misplaced
        });
    }
    if answer.is_not_run && head.status >= 400 {
        return Some(SendOutcome::NotRun);
    }
    if !answer.is_signed {
        return Some(SendOutcome::Broken("unsigned"));
    }
    answer.is_encoded.then_some(SendOutcome::Broken("encoded"))
}

async fn read_head(
    connection: &mut Connection,
    deadline: Instant,
) -> Result<ResponseHead, Http1Error> {
    loop {
        match ResponseHead::take(&mut connection.inbox, MAX_HEAD_BYTES)? {
            Some(head) if head.status < 200 => continue,
            Some(head) => return Ok(head),
            None => {}
        }
        if connection.fill_until(deadline).await? == 0 {
            return Err(Http1Error::BrokenOff);
        }
    }
}

fn request_bytes(
    dialect: &impl Dialect,
    request: &AdmittedRequest,
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

/// Whether a header line concerns only the connection it came on.
pub fn is_hop_by_hop_header(name: &str, headers: &Headers) -> bool {
    HOP_BY_HOP_HEADERS
        .iter()
        .any(|line| line.eq_ignore_ascii_case(name))
        || headers.has_token("connection", name)
}

/// Appends one header line.
pub fn write_header(name: &str, value: &[u8], out: &mut Vec<u8>) {
    out.extend_from_slice(name.as_bytes());
    out.extend_from_slice(b": ");
    out.extend_from_slice(value);
    out.extend_from_slice(b"\r\n");
}
