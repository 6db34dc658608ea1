use std::future::ready;
use std::time::Duration;
use std::time::Instant;

use actix_web::http::Method;
use awc::ClientResponse;
use bytes::BytesMut;
use futures_util::FutureExt;
use futures_util::StreamExt;
use futures_util::future::LocalBoxFuture;
use serde::Serialize;

use crate::calls::CallReport;
use crate::calls::HEARTBEAT_BYTE;
use crate::calls::ServiceReply;
use crate::links::HttpClient;
use crate::links::LinkError;
use crate::links::wait_for_data;

/// Time without a byte after which a connection is silent, in milliseconds.
///
/// Endpoints send a heartbeat every 500 ms.
const MAX_SILENCE_MS: u64 = 1_250;

/// Time by which the last byte of a running process may lie before its last heartbeat to the
/// entries, in milliseconds.
const HEARTBEAT_INTERVAL_MS: u64 = 500;

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
    /// The connection is silent; the exchange may be waited for again.
    Silent,
}

/// Kind of connection to use.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum ConnectionKind {
    /// A pooled connection, which may have broken unnoticed.
    Pooled,
    /// A new connection.
    Fresh,
}

/// A message to an endpoint whose answer is awaited until the deadline.
pub(super) struct Exchange {
    request_id: String,
    deadline: Instant,
    /// Sends the message; `None` once the response head has been received.
    sending: Option<LocalBoxFuture<'static, Result<ClientResponse, LinkError>>>,
    response: Option<ClientResponse>,
    received: BytesMut,
    last_received_at: Instant,
}

impl Exchange {
    /// Starts to send a message.
    pub(super) fn start(
        http: &HttpClient,
        connection: ConnectionKind,
        url: &str,
        request_id: &str,
        message: &impl Serialize,
        deadline: Instant,
    ) -> Self {
        let request = match connection {
            ConnectionKind::Pooled => http.request(Method::POST, url),
            ConnectionKind::Fresh => http.request_on_new_connection(Method::POST, url),
        };
        let sending = match rmp_serde::to_vec_named(message) {
            Ok(body) => HttpClient::send(request, body, left_ms(deadline)).boxed_local(),
            Err(error) => ready(Err(LinkError::NotSent(error.to_string()))).boxed_local(),
        };
        Self {
            request_id: request_id.to_owned(),
            deadline,
            sending: Some(sending),
            response: None,
            received: BytesMut::new(),
            last_received_at: Instant::now(),
        }
    }

    /// Waits for the result, or until the connection is silent.
    pub(super) async fn wait(&mut self) -> ExchangeResult {
        loop {
            let wait_ms = left_ms(self.deadline).min(MAX_SILENCE_MS);
            match wait_for_data(Duration::from_millis(wait_ms), self.receive()).await {
                Some(Some(result)) => return result,
                Some(None) => self.last_received_at = Instant::now(),
                None if wait_ms == MAX_SILENCE_MS => return ExchangeResult::Silent,
                None => return self.result_at_deadline(),
            }
        }
    }

    /// Whether the endpoint, which was last heard `silent_ms` ago, has sent heartbeats since
    /// the connection fell silent.
    pub(super) fn is_only_connection_silent(&self, silent_ms: u64) -> bool {
        let silence_ms = self.last_received_at.elapsed().as_millis();
        u128::from(silent_ms + HEARTBEAT_INTERVAL_MS) < silence_ms
    }

    fn result_at_deadline(&self) -> ExchangeResult {
        let silence = self.last_received_at.elapsed();
        match silence < Duration::from_millis(MAX_SILENCE_MS) {
            true => ExchangeResult::StillRunning,
            false => ExchangeResult::Lost("silent"),
        }
    }

    /// Receives a part of the answer; returns the result if that was the last one.
    async fn receive(&mut self) -> Option<ExchangeResult> {
        if let Some(sending) = &mut self.sending {
            let sent = sending.await;
            self.sending = None;
            match sent {
                Ok(response) if response.status().is_success() => self.response = Some(response),
                Ok(_) => return Some(ExchangeResult::Lost("status")),
                Err(LinkError::NotSent(_)) => return Some(ExchangeResult::NotSent),
                Err(LinkError::Timeout { .. }) => return Some(self.result_at_deadline()),
                Err(_) => return Some(ExchangeResult::Lost("broken")),
            }
            return None;
        }
        let Some(response) = &mut self.response else {
            return Some(ExchangeResult::Lost("broken"));
        };
        match response.next().await {
            Some(Ok(chunk)) => self.received.extend_from_slice(&chunk),
            Some(Err(_)) => return Some(ExchangeResult::Lost("broken")),
            None => return Some(decode_reply(&self.received, &self.request_id)),
        }
        (self.received.len() > MAX_ANSWER_BYTES).then_some(ExchangeResult::Lost("too_large"))
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
