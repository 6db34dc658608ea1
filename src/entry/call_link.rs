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

/// Silence after which a connection is left; an endpoint beats twice a second.
const SILENCE_MS: u64 = 1_250;

/// Longest answer read from an endpoint.
const MAX_ANSWER_BYTES: usize = 8 << 20;

/// What came back over one connection to an endpoint.
#[derive(Debug)]
pub(super) enum Heard {
    /// A whole answer to this request.
    Told(CallReport),
    /// No byte of the request left.
    NotSent,
    /// The request left and no usable answer came.
    Lost(&'static str),
    /// The deadline passed first.
    StillRunning,
}

/// Which connection to use.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Connection {
    /// One from the pool, which may have gone silent unnoticed.
    Pooled,
    /// A new one of its own.
    Fresh,
}

/// Sends `question` to an endpoint and reads its answer, however long it beats.
pub(super) async fn exchange(
    http: &HttpClient,
    connection: Connection,
    url: &str,
    request_id: &str,
    question: &impl Serialize,
    deadline: Instant,
) -> Heard {
    let Ok(body) = rmp_serde::to_vec_named(question) else {
        return Heard::NotSent;
    };
    let request = match connection {
        Connection::Pooled => http.request(Method::POST, url),
        Connection::Fresh => http.request_on_new_connection(Method::POST, url),
    };
    let wait_ms = left_ms(deadline).min(SILENCE_MS);
    let mut answer = match HttpClient::send(request, body, wait_ms).await {
        Ok(answer) if answer.status().is_success() => answer,
        Ok(_) => return Heard::Lost("status"),
        Err(LinkError::NotSent(_)) => return Heard::NotSent,
        Err(LinkError::Timeout { timeout_ms }) if timeout_ms < SILENCE_MS => {
            return Heard::StillRunning;
        }
        Err(LinkError::Timeout { .. }) => return Heard::Lost("silent"),
        Err(_) => return Heard::Lost("broken"),
    };
    let mut whole = BytesMut::new();
    loop {
        let wait_ms = left_ms(deadline).min(SILENCE_MS);
        match timeout(Duration::from_millis(wait_ms), answer.next()).await {
            Ok(Some(Ok(chunk))) => whole.extend_from_slice(&chunk),
            Ok(Some(Err(_))) => return Heard::Lost("broken"),
            Ok(None) => return decode(&whole, request_id),
            Err(_) if wait_ms < SILENCE_MS => return Heard::StillRunning,
            Err(_) => return Heard::Lost("silent"),
        }
        if whole.len() > MAX_ANSWER_BYTES {
            return Heard::Lost("too_large");
        }
    }
}

fn left_ms(deadline: Instant) -> u64 {
    let left = deadline.saturating_duration_since(Instant::now());
    u64::try_from(left.as_millis()).unwrap_or(u64::MAX)
}

/// Takes an answer only if it is whole and belongs to the request.
fn decode(whole: &[u8], request_id: &str) -> Heard {
    let beats = whole
        .iter()
        .take_while(|byte| **byte == HEARTBEAT_BYTE)
        .count();
    match rmp_serde::from_slice::<ServiceReply>(&whole[beats..]) {
        Ok(reply) if reply.request_id == request_id => Heard::Told(reply.told),
        Ok(_) => Heard::Lost("crossed"),
        Err(_) => Heard::Lost("malformed"),
    }
}
