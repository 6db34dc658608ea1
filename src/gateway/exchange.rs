use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use tokio::time::Instant;

use crate::calls::PortSign;
use crate::fleet::ReplicaNotice;
use crate::gateway::Dialect;
use crate::gateway::ResponseFacts;
use crate::gateway::SendFacts;
use crate::gateway::answer_memory::HeldAnswer;
use crate::gateway::event_stream::EventStream;
use crate::gateway::port_probe::probe_at_close;
use crate::http1::BodyDecoder;
use crate::http1::Connection;
use crate::http1::ConnectionOptions;
use crate::http1::Framing;
use crate::http1::Http1Error;
use crate::http1::RequestHead;
use crate::http1::ResponseHead;

/// Timeout of opening a connection to a replica: many round trips between regions,
/// and well below any latency target.
pub const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);

/// Largest head of a replica's response, in bytes.
const MAX_HEAD_BYTES: usize = 32 * 1024;

/// Largest body of a response that is not streamed, in bytes: it is buffered in
/// memory.
pub const MAX_RESPONSE_BYTES: usize = 8 * 1024 * 1024;

/// Largest body of a request that is copied behind its head, so that both are written at once,
/// in bytes.
pub const MAX_JOINED_BODY_BYTES: usize = 16 * 1024;

/// Cause of a failed send whose answer is one to another request.
const OTHER_ANSWER: &str = "other_answer";

/// A complete response of a replica.
#[derive(Debug)]
pub struct ReplicaResponse {
    /// Status and headers.
    pub head: ResponseHead,
    /// How the replica marked the end of the body.
    pub framing: Framing,
    /// Complete body.
    pub body: Vec<u8>,
    /// What the port of the replica has shown since the end of the connection, if that ends the
    /// body.
    pub port_at_close: Option<PortSign>,
    /// Room that the body takes; returned when the response is dropped.
    pub _held: HeldAnswer,
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

/// A request as it is sent to one replica.
#[derive(Debug)]
pub struct ReplicaSend {
    /// Address of the replica.
    pub address: SocketAddr,
    /// Id that the replica must confirm.
    pub replica_id: String,
    /// Id of the client's attempt, which the response must echo.
    pub attempt_id: String,
    /// Method of the request.
    pub method: String,
    /// Whether a response with status 200 is a stream of events.
    pub is_streaming: bool,
    /// Head, encoded, with the body if it is small.
    pub bytes: Vec<u8>,
    /// Body that follows; shared by all sends of a request.
    pub body: Bytes,
    /// Time at which the final response is due.
    pub deadline: Instant,
    /// Room for the answer.
    pub held: HeldAnswer,
    /// Where what the answer says of its replica is stored.
    pub notice: Rc<Cell<ReplicaNotice>>,
    /// Where the time is stored at which bytes of the answer last arrived.
    pub progress_at: Rc<Cell<Instant>>,
}

/// Sends a request to a replica and reads its response.
///
/// Each connection carries only one request, so that bytes that a replica sends late or
/// after its response can't be taken for the response to another request. It is reset when
/// the future is dropped.
pub async fn send_to_replica(dialect: Rc<impl Dialect>, send: ReplicaSend) -> SendOutcome {
    let receive_buffer_bytes = send.held.receive_buffer_bytes();
    let connected =
        Connection::connect_with_buffer(send.address, CONNECT_TIMEOUT, receive_buffer_bytes);
    let mut connection = match connected.await {
        Ok(connection) => connection,
        Err(error) => return SendOutcome::Unreachable(error),
    };
    connection.reset_on_drop();
    for part in [send.bytes.as_slice(), send.body.as_ref()] {
        match connection.write_until_readable(part, send.deadline).await {
            Ok(written) if written < part.len() => break,
            Ok(_) => {}
            Err(error) => return SendOutcome::Broken(error.label()),
        }
    }
    let head = match connection
        .read_response_head(MAX_HEAD_BYTES, || send.deadline)
        .await
    {
        Ok(head) => head,
        Err(Http1Error::TimedOut) => return SendOutcome::Broken("silent"),
        Err(error) => return SendOutcome::Broken(error.label()),
    };
    let response = dialect.response_facts(&head);
    let rejected = reject_response(&response, &head, &send);
    let is_refusal = rejected
        .as_ref()
        .is_some_and(|outcome| !matches!(outcome, SendOutcome::Broken(_)));
    let names_request = response.attempt_id.is_some();
    if is_refusal && !names_request && has_surplus(&mut connection, &head, &send) {
        return SendOutcome::Broken(OTHER_ANSWER);
    }
    // Another replica that has taken over the address speaks of itself, and so does an answer to
    // another request of the one that answered it.
    let is_expected_replica = response.replica_id.as_deref() == Some(&send.replica_id);
    let is_own_answer = !matches!(rejected, Some(SendOutcome::Broken(OTHER_ANSWER)));
    if is_own_answer && (!response.is_misdirected || is_expected_replica) {
        send.notice.set(response.notice);
    }
    if let Some(outcome) = rejected {
        return outcome;
    }
    let framing = match head.framing(&send.method) {
        Ok(framing) => framing,
        Err(error) => return SendOutcome::Broken(error.label()),
    };
    if send.is_streaming && head.status == 200 && framing != Framing::None {
        let source = (send.address, send.deadline);
        let stream = EventStream::new(head, connection, framing, send.held, source);
        return SendOutcome::Stream(Box::new(stream));
    }
    let decoder = BodyDecoder::new(framing);
    let mut held = send.held;
    let read = connection.read_body(decoder, &mut held, || {
        send.progress_at.set(Instant::now());
        send.deadline
    });
    match read.await {
        Ok(body) if is_head_alone(head.status, framing, &body) => {
            SendOutcome::Broken(Http1Error::IncompleteMessage.label())
        }
        Ok(body) => SendOutcome::Response(ReplicaResponse {
            port_at_close: match framing {
                Framing::UntilClose => Some(probe_at_close(send.address, send.deadline).await),
                Framing::None | Framing::Length(_) | Framing::Chunked => None,
            },
            head,
            framing,
            body,
            _held: held,
        }),
        Err(error) => SendOutcome::Broken(error.label()),
    }
}

/// Whether nothing but a head with a success has come before the end of the connection: it may
/// have broken off before the line with the length of the body.
fn is_head_alone(status: u16, framing: Framing, body: &[u8]) -> bool {
    let is_line_end = |byte: &u8| matches!(byte, b'\r' | b'\n');
    framing == Framing::UntilClose && (200..300).contains(&status) && body.iter().all(is_line_end)
}

/// Whether more bytes have come after a response. One that names no request is then not known
/// to be the one to the request that was sent.
fn has_surplus(connection: &mut Connection, head: &ResponseHead, send: &ReplicaSend) -> bool {
    let Ok(framing) = head.framing(&send.method) else {
        return true;
    };
    let mut decoder = BodyDecoder::new(framing);
    let mut body = Vec::new();
    let decoded = decoder.decode(&mut connection.read_buffer, &mut body);
    decoded.is_err() || decoder.is_done() && !connection.read_buffer.is_empty()
}

/// Outcome of a send whose response does not show that the expected replica ran this
/// request; None if the response is valid.
fn reject_response(
    response: &ResponseFacts,
    head: &ResponseHead,
    send: &ReplicaSend,
) -> Option<SendOutcome> {
    let is_other_attempt = response
        .attempt_id
        .as_ref()
        .is_some_and(|id| *id != send.attempt_id);
    if is_other_attempt {
        return Some(SendOutcome::Broken(OTHER_ANSWER));
    }
    if response.is_misdirected {
        let is_expected_replica = response.replica_id.as_deref() == Some(&send.replica_id);
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

/// Encodes a request with the headers for its replica; returns what is written first, and the
/// body that follows unless it is small.
pub fn request_bytes(
    dialect: &impl Dialect,
    head: &RequestHead,
    body: &Bytes,
    facts: &SendFacts<'_>,
) -> (Vec<u8>, Bytes) {
    let is_joined = body.len() <= MAX_JOINED_BODY_BYTES;
    let joined_bytes = if is_joined { body.len() } else { 0 };
    let mut bytes = Vec::with_capacity(1024 + joined_bytes);
    bytes.extend_from_slice(head.method.as_bytes());
    bytes.push(b' ');
    bytes.extend_from_slice(head.target.as_bytes());
    bytes.extend_from_slice(b" HTTP/1.1\r\n");
    let hop_by_hop = ConnectionOptions::of(&head.headers);
    for (name, value) in head.headers.iter() {
        if !hop_by_hop.contains(name) && dialect.is_forwarded_header(name) {
            write_header(name, value, &mut bytes);
        }
    }
    dialect.write_send_headers(facts, &mut bytes);
    let has_length = head.headers.values("content-length").next().is_some()
        || head.headers.values("transfer-encoding").next().is_some();
    if has_length {
        write_header(
            "Content-Length",
            body.len().to_string().as_bytes(),
            &mut bytes,
        );
    }
    bytes.extend_from_slice(b"Connection: close\r\n\r\n");
    if is_joined {
        bytes.extend_from_slice(body);
        return (bytes, Bytes::new());
    }
    (bytes, body.clone())
}

/// Appends a header to `out`.
pub fn write_header(name: &str, value: &[u8], out: &mut Vec<u8>) {
    out.extend_from_slice(name.as_bytes());
    out.extend_from_slice(b": ");
    out.extend_from_slice(value);
    out.extend_from_slice(b"\r\n");
}
