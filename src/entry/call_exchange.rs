use std::time::Duration;
use std::time::Instant;

use actix_rt::time::timeout;
use actix_web::http::Method;
use bytes::BytesMut;
use futures_util::StreamExt;
use serde::Serialize;

use crate::calls::CallReport;
use crate::calls::HEARTBEAT_BYTE;
use crate::calls::ServiceReply;
use crate::links::HttpClient;
use crate::links::LinkError;

/// Silence after which a connection is given up, in milliseconds.
///
/// Endpoints send a heartbeat every 500 ms.
const MAX_SILENCE_MS: u64 = 1_250;

/// Largest answer that is read from an endpoint, in bytes.
const MAX_ANSWER_BYTES: usize = 8 << 20;

/// Result of one exchange with an endpoint.
#[derive(Debug)]
pub(super) enum ExchangeResult {
    /// The endpoint sent a complete answer to this message.
    Report(CallReport),
    /// No byte of the message was sent.
    NotSent,
    /// The message may have been sent, and no usable answer was received; with the cause.
    Lost(&'static str),
    /// The deadline passed before the answer.
    StillRunning,
}

/// Kind of connection to use.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum ConnectionKind {
    /// A pooled connection, which may have broken unnoticed.
    Pooled,
    /// A new connection.
    Fresh,
}

/// Sends a message to an endpoint and reads its answer.
///
/// Waits until the deadline as long as the endpoint sends heartbeats.
pub(super) async fn exchange_message(
    http: &HttpClient,
    connection: ConnectionKind,
    url: &str,
    request_id: &str,
    message: &impl Serialize,
    deadline: Instant,
) -> ExchangeResult {
    let Ok(body) = rmp_serde::to_vec_named(message) else {
        return ExchangeResult::NotSent;
    };
    let request = match connection {
        ConnectionKind::Pooled => http.request(Method::POST, url),
        ConnectionKind::Fresh => http.request_on_new_connection(Method::POST, url),
    };
    let wait_ms = left_ms(deadline).min(MAX_SILENCE_MS);
    let mut response = match HttpClient::send(request, body, wait_ms).await {
        Ok(response) if response.status().is_success() => response,
        Ok(_) => return ExchangeResult::Lost("status"),
        Err(LinkError::NotSent(_)) => return ExchangeResult::NotSent,
        Err(LinkError::Timeout { timeout_ms }) if timeout_ms < MAX_SILENCE_MS => {
            return ExchangeResult::StillRunning;
        }
        Err(LinkError::Timeout { .. }) => return ExchangeResult::Lost("silent"),
        Err(_) => return ExchangeResult::Lost("broken"),
    };
    let mut received = BytesMut::new();
    loop {
        let wait_ms = left_ms(deadline).min(MAX_SILENCE_MS);
        match timeout(Duration::from_millis(wait_ms), response.next()).await {
            Ok(Some(Ok(chunk))) => received.extend_from_slice(&chunk),
            Ok(Some(Err(_))) => return ExchangeResult::Lost("broken"),
            Ok(None) => return decode_reply(&received, request_id),
            Err(_) if wait_ms < MAX_SILENCE_MS => return ExchangeResult::StillRunning,
            Err(_) => return ExchangeResult::Lost("silent"),
        }
        if received.len() > MAX_ANSWER_BYTES {
            return ExchangeResult::Lost("too_large");
        }
    }
}

/// Time left until the deadline, in milliseconds.
fn left_ms(deadline: Instant) -> u64 {
    let left = deadline.saturating_duration_since(Instant::now());
    u64::try_from(left.as_millis()).unwrap_or(u64::MAX)
}

/// Decodes an answer; it must be complete and belong to the request.
fn decode_reply(received: &[u8], request_id: &str) -> ExchangeResult {
    let heartbeats = received
        .iter()
        .take_while(|byte| **byte == HEARTBEAT_BYTE)
        .count();
    match rmp_serde::from_slice::<ServiceReply>(&received[heartbeats..]) {
        Ok(reply) if reply.request_id == request_id => ExchangeResult::Report(reply.told),
        Ok(_) => ExchangeResult::Lost("crossed"),
        Err(_) => ExchangeResult::Lost("malformed"),
    }
}
