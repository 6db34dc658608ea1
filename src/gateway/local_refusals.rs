use std::time::Duration;

use tokio::time::Instant;

use crate::gateway::Dialect;
use crate::gateway::connection_reuse::ConnectionReuse;
use crate::gateway::end_causes::STOPPING;
use crate::gateway::gateway_handle::Gateway;
use crate::gateway::local_response::local_response;
use crate::http1::Connection;
use crate::http1::Http1Error;
use crate::http1::RequestHead;
use crate::observe::Event;
use crate::observe::LogLine;

/// Name of the port of clients in logs.
pub(super) const CLIENT_PORT: &str = "clients";

/// Timeout of writing a response that the gateway itself generates.
pub(super) const LOCAL_RESPONSE_TIMEOUT: Duration = Duration::from_secs(1);

/// Retry-After of a refusal whose cause is this entry alone, in ms: others accept the request
/// at once.
pub(super) const RETRY_AFTER_ELSEWHERE_MS: u64 = 10;

/// Retry-After of a request for which there is no memory, in ms: the time in which others that
/// have stopped growing are found and closed.
const RETRY_AFTER_MEMORY_MS: u64 = 500;

/// Response to a request that is refused before a replica is chosen.
#[derive(Debug)]
pub(super) struct LocalRefusal {
    pub(super) status: u16,
    pub(super) cause: &'static str,
    pub(super) retry_after_ms: Option<u64>,
    /// Whether the connection is closed after it in any case.
    pub(super) closes_connection: bool,
}

impl LocalRefusal {
    pub(super) fn new(status: u16, cause: &'static str) -> Self {
        Self {
            status,
            cause,
            retry_after_ms: None,
            closes_connection: false,
        }
    }

    /// A refusal for which there is no memory.
    pub(super) fn no_memory() -> Self {
        Self {
            retry_after_ms: Some(RETRY_AFTER_MEMORY_MS),
            ..Self::new(503, Http1Error::NoMemory.label())
        }
    }

    /// A refusal of what another entry accepts at once.
    pub(super) fn elsewhere(cause: &'static str) -> Self {
        Self {
            retry_after_ms: Some(RETRY_AFTER_ELSEWHERE_MS),
            ..Self::new(503, cause)
        }
    }
}

/// Sends a refusal, and logs and counts it.
pub(super) async fn refuse<D: Dialect>(
    client: &Connection,
    gateway: &Gateway<D>,
    head: &RequestHead,
    refusal: &LocalRefusal,
) -> ConnectionReuse {
    let is_stopping = gateway.state.borrow().stopping_since.is_some();
    let close = refusal.closes_connection || head.wants_close() || is_stopping;
    let facts = gateway.dialect.request_facts(head);
    let config = gateway
        .state
        .borrow()
        .catalog
        .as_ref()
        .map_or(0, |c| c.version);
    LogLine::new(Event::RequestEnded)
        .text("id", &facts.attempt_id)
        .number("status", refusal.status)
        .text("cause", refusal.cause)
        .number("config", config)
        .enqueue();
    gateway.metrics.record_refusal(refusal.cause);
    if refusal.cause == Http1Error::NoMemory.label() {
        let peer = client.peer();
        gateway.refusals.record(CLIENT_PORT, refusal.cause, peer);
    }
    let bytes = local_response(refusal.status, refusal.retry_after_ms, close);
    let deadline = Instant::now() + LOCAL_RESPONSE_TIMEOUT;
    match client.write_with_deadline(&bytes, deadline).await {
        Ok(()) if !close => ConnectionReuse::Keep,
        _ => ConnectionReuse::Close,
    }
}

/// Refuses a request that has not been read to its end when the grace period of a stop is
/// over; the connection is then closed.
pub(super) async fn refuse_unread<D: Dialect>(client: &Connection, gateway: &Gateway<D>) {
    refuse_and_close(
        client,
        gateway,
        503,
        STOPPING,
        Some(RETRY_AFTER_ELSEWHERE_MS),
    )
    .await;
}

/// Responds to bytes that are no valid request; the connection is then closed.
pub(super) async fn refuse_unreadable<D: Dialect>(
    client: &Connection,
    gateway: &Gateway<D>,
    error: &Http1Error,
) {
    let status = match error {
        Http1Error::Closed | Http1Error::Io(_) | Http1Error::NotConnected(_) => return,
        // Its client may still read, although it has ended its side.
        Http1Error::IncompleteMessage | Http1Error::Malformed(_) => 400,
        Http1Error::HeadTooLarge => 431,
        Http1Error::BodyTooLarge => 413,
        Http1Error::NoMemory => 503,
        Http1Error::TimedOut => 408,
    };
    let retry_after_ms = matches!(error, Http1Error::NoMemory).then_some(RETRY_AFTER_MEMORY_MS);
    refuse_and_close(client, gateway, status, error.label(), retry_after_ms).await;
}

/// Sends a refusal to a request that has not been read, and logs and counts it; the connection
/// is then closed.
async fn refuse_and_close<D: Dialect>(
    client: &Connection,
    gateway: &Gateway<D>,
    status: u16,
    cause: &'static str,
    retry_after_ms: Option<u64>,
) {
    LogLine::new(Event::RequestEnded)
        .number("status", status)
        .text("cause", cause)
        .enqueue();
    gateway.metrics.record_refusal(cause);
    gateway.refusals.record(CLIENT_PORT, cause, client.peer());
    let bytes = local_response(status, retry_after_ms, true);
    let deadline = Instant::now() + LOCAL_RESPONSE_TIMEOUT;
    if let Err(error) = client.write_with_deadline(&bytes, deadline).await {
        log::debug!("cannot send a refusal to a client: {error}");
    }
}
