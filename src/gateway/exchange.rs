use std::net::SocketAddr;
use std::time::Duration;

use tokio::time::Instant;

use crate::gateway::Dialect;
use crate::gateway::ResponseFacts;
use crate::gateway::SendFacts;
use crate::gateway::request::Request;
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
const MAX_ANSWER_BYTES: usize = 8 * 1024 * 1024;

/// Header lines that concern one connection only, or that framing sets anew.
const CONNECTION_LINES: [&str; 10] = [
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
pub struct Answer {
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
pub enum Sent {
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
    Answer(Answer),
    /// The beginning of a stream.
    Stream(Box<EventStream>),
}

/// Sends `request` to the replica at `address` and reads its answer.
///
/// The head of the answer must come before `head_until`. A connection carries
/// one request only: whatever a replica sends after its answer, or too late,
/// can then belong to no other.
pub async fn send(
    dialect: &impl Dialect,
    request: &Request,
    address: SocketAddr,
    facts: &SendFacts<'_>,
    head_until: Instant,
) -> Sent {
    let mut connection = match Connection::open(address, CONNECT_TIMEOUT).await {
        Ok(connection) => connection,
        Err(error) => return Sent::Unreachable(error),
    };
    connection.reset_on_drop();
    let bytes = request_bytes(dialect, request, facts);
    match connection.write_or_readable(&bytes, request.until).await {
        Ok(_) => {}
        Err(error) => return Sent::Broken(error.label()),
    }
    let head = match read_head(&mut connection, head_until.min(request.until)).await {
        Ok(head) => head,
        Err(Http1Error::TimedOut) => return Sent::Broken("silent"),
        Err(error) => return Sent::Broken(error.label()),
    };
    let answer = dialect.response_facts(&head);
    if let Some(outcome) = reject(&answer, &head, request, facts) {
        return outcome;
    }
    let framing = match head.framing(&request.head.method) {
        Ok(framing) => framing,
        Err(error) => return Sent::Broken(error.label()),
    };
    let decoder = BodyDecoder::new(framing);
    if request.route.kind.is_streaming() && head.status == 200 {
        return Sent::Stream(Box::new(EventStream {
            head,
            connection,
            decoder,
        }));
    }
    let read = connection.read_body(decoder, MAX_ANSWER_BYTES, || request.until);
    match read.await {
        Ok(body) => Sent::Answer(Answer { head, body }),
        Err(error) => Sent::Broken(error.label()),
    }
}

/// Outcome of an answer that is not the replica's answer to this request.
fn reject(
    answer: &ResponseFacts,
    head: &ResponseHead,
    request: &Request,
    facts: &SendFacts<'_>,
) -> Option<Sent> {
    let is_other = answer
        .attempt_id
        .as_ref()
        .is_some_and(|id| *id != request.facts.attempt_id);
    if is_other {
        return Some(Sent::Broken("other_answer"));
    }
    if answer.is_misdirected {
        let is_expected = answer.replica_id.as_deref() == Some(facts.replica_id);
        return Some(if is_expected {
            Sent::OtherWeights
        } else {
            Sent::Misplaced
        });
    }
    if answer.is_not_run && head.status >= 400 {
        return Some(Sent::NotRun);
    }
    if !answer.is_signed {
        return Some(Sent::Broken("unsigned"));
    }
    answer.is_encoded.then_some(Sent::Broken("encoded"))
}

async fn read_head(
    connection: &mut Connection,
    until: Instant,
) -> Result<ResponseHead, Http1Error> {
    loop {
        match ResponseHead::take(&mut connection.inbox, MAX_HEAD_BYTES)? {
            Some(head) if head.status < 200 => continue,
            Some(head) => return Ok(head),
            None => {}
        }
        if connection.fill_until(until).await? == 0 {
            return Err(Http1Error::BrokenOff);
        }
    }
}

fn request_bytes(dialect: &impl Dialect, request: &Request, facts: &SendFacts<'_>) -> Vec<u8> {
    let head = &request.head;
    let mut bytes = Vec::with_capacity(1024 + request.body.len());
    bytes.extend_from_slice(head.method.as_bytes());
    bytes.push(b' ');
    bytes.extend_from_slice(head.target.as_bytes());
    bytes.extend_from_slice(b" HTTP/1.1\r\n");
    for (name, value) in head.headers.iter() {
        let stays = is_connection_line(name, &head.headers) || !dialect.is_forwarded_header(name);
        if !stays {
            write_line(name, value, &mut bytes);
        }
    }
    dialect.write_send_headers(facts, &mut bytes);
    let has_length = head.headers.values("content-length").next().is_some()
        || head.headers.values("transfer-encoding").next().is_some();
    if has_length {
        let length = request.body.len().to_string();
        write_line("Content-Length", length.as_bytes(), &mut bytes);
    }
    bytes.extend_from_slice(b"Connection: close\r\n\r\n");
    bytes.extend_from_slice(&request.body);
    bytes
}

/// Whether a header line concerns only the connection it came on.
pub fn is_connection_line(name: &str, headers: &Headers) -> bool {
    CONNECTION_LINES
        .iter()
        .any(|line| line.eq_ignore_ascii_case(name))
        || headers.has_token("connection", name)
}

/// Appends one header line.
pub fn write_line(name: &str, value: &[u8], out: &mut Vec<u8>) {
    out.extend_from_slice(name.as_bytes());
    out.extend_from_slice(b": ");
    out.extend_from_slice(value);
    out.extend_from_slice(b"\r\n");
}
