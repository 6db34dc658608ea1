use std::future::Future;
use std::rc::Rc;
use std::time::Duration;

use tokio::net::TcpListener;
use tokio::time::Instant;

use crate::http1::BodyDecoder;
use crate::http1::Connection;
use crate::http1::HeldRequest;
use crate::http1::Http1Error;
use crate::http1::ListenerLoad;
use crate::http1::MemoryBudget;
use crate::http1::RequestHead;
use crate::http1::RoomUse;
use crate::http1::connection_slots::ConnectionSlot;
use crate::http1::connection_slots::ConnectionSlots;
use crate::http1::connection_slots::ConnectionStage;
use crate::http1::head_search::HeadSearch;
use crate::observe::PortRefusals;

/// Largest head of an internal request, in bytes.
const MAX_HEAD_BYTES: usize = 8 * 1024;

/// Largest body of an internal request, in bytes.
const MAX_BODY_BYTES: usize = 1024 * 1024;

/// Largest body of a response that is written together with its head, in bytes.
const MAX_JOINED_BODY_BYTES: usize = 16 * 1024;

/// Retry-After of a refusal for which there is no memory, in s.
const RETRY_AFTER_MEMORY_S: f64 = 0.5;

/// Time that an internal connection may stay idle between two requests.
const IDLE_TIMEOUT: Duration = Duration::from_secs(20);

/// Time to read the head of an internal request, then its body, then to write the
/// response.
const MESSAGE_TIMEOUT: Duration = Duration::from_secs(5);

/// Request from another process of the system.
#[derive(Debug)]
pub struct InternalRequest {
    /// Request line and headers.
    pub head: RequestHead,
    /// Complete body, decoded.
    pub body: Vec<u8>,
}

/// Response to an internal request.
#[derive(Debug)]
pub struct InternalResponse {
    /// Status code.
    pub status: u16,
    /// Value of Content-Type.
    pub content_type: &'static str,
    /// Complete body.
    pub body: Vec<u8>,
}

impl InternalResponse {
    /// Creates a response with metrics in the Prometheus text format.
    pub fn metrics(text: String) -> Self {
        Self {
            status: 200,
            content_type: "text/plain; version=0.0.4",
            body: text.into_bytes(),
        }
    }

    /// Creates a response without a body.
    pub fn without_body(status: u16) -> Self {
        Self {
            status,
            content_type: "text/plain",
            body: Vec::new(),
        }
    }
}

/// Time for which a connection is read after a refusal, so that the peer gets to read it.
const LINGER_TIME: Duration = Duration::from_secs(1);

/// What an internal listener may hold for its peers.
#[derive(Debug, Clone)]
pub struct InternalLimits {
    /// Name of the port in logs.
    pub port: &'static str,
    /// Budget of the process.
    pub memory: MemoryBudget,
    /// Connections that are served at once.
    pub load: ListenerLoad,
    /// Peers that are refused.
    pub refusals: PortRefusals,
}

/// Handles the requests of an internal listener.
pub trait InternalHandler: 'static {
    /// Handles one request.
    fn handle(&self, request: InternalRequest) -> impl Future<Output = InternalResponse>;
}

/// Reads the head of a request.
///
/// Waits at most `idle_timeout` for its first byte, then at most `head_timeout` for the
/// rest of the head, which `held` has room for.
///
/// # Errors
///
/// [`Http1Error::Closed`] when no byte of a request arrived; any other error concerns
/// a request that had begun.
pub async fn read_request_head(
    connection: &mut Connection,
    max_head_bytes: usize,
    idle_timeout: Duration,
    head_timeout: Duration,
    held: &mut HeldRequest,
) -> Result<RequestHead, Http1Error> {
    let mut deadline = Instant::now() + idle_timeout;
    let mut has_started = !connection.read_buffer.is_empty();
    if has_started {
        deadline = Instant::now() + head_timeout;
    }
    let mut search = HeadSearch::default();
    loop {
        let buffered_bytes = connection.read_buffer.len();
        if search.is_due(&connection.read_buffer, max_head_bytes)
            && let Some(head) =
                RequestHead::parse_from(&mut connection.read_buffer, max_head_bytes)?
        {
            held.end_head(buffered_bytes - connection.read_buffer.len())?;
            return Ok(head);
        }
        if has_started {
            held.admit_head(buffered_bytes)?;
        }
        match connection.fill_buffer_with_deadline(deadline).await {
            Ok(0) if has_started => return Err(Http1Error::IncompleteMessage),
            Ok(0) => return Err(Http1Error::Closed),
            Ok(_) => {}
            Err(Http1Error::TimedOut) if !has_started => return Err(Http1Error::Closed),
            Err(error) => return Err(error),
        }
        if !has_started {
            has_started = true;
            deadline = Instant::now() + head_timeout;
        }
    }
}

/// Accepts connections and serves their internal requests, without end.
pub async fn serve_internal(
    listener: TcpListener,
    handler: impl InternalHandler,
    limits: InternalLimits,
) {
    let handler = Rc::new(handler);
    let slots = Rc::new(ConnectionSlots::default());
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                slots.make_room(limits.load.max_connections).await;
                let (handler, limits) = (handler.clone(), limits.clone());
                let slot = slots.add();
                actix_rt::spawn(async move {
                    let mut connection = Connection::new(stream);
                    let ended = tokio::select! {
                        biased;
                        () = slot.closed() => {
                            limits.refusals.record(limits.port, "limit", connection.peer());
                            Err(Http1Error::Closed)
                        }
                        ended = serve_connection(&mut connection, &*handler, &limits, &slot) => ended,
                    };
                    if let Err(error) = ended {
                        log::debug!("an internal connection ended: {error}");
                    }
                });
            }
            Err(error) => {
                log::warn!("cannot accept an internal connection: {error}");
                tokio::time::sleep(Duration::from_millis(100)).await;
            }
        }
    }
}

/// Serves the requests of one connection until it is closed or idle for too long.
async fn serve_connection(
    connection: &mut Connection,
    handler: &impl InternalHandler,
    limits: &InternalLimits,
    slot: &ConnectionSlot,
) -> Result<(), Http1Error> {
    loop {
        if !wait_for_request(connection).await? {
            return Ok(());
        }
        slot.enter(ConnectionStage::Reading);
        let mut held = HeldRequest::new(&limits.memory);
        let arriving = held.arriving();
        let read = tokio::select! {
            biased;
            () = arriving.closed() => Err(Http1Error::NoMemory),
            read = read_request(connection, &mut held) => read,
        };
        let request = match read {
            Ok(request) => request,
            Err(error) => {
                refuse(connection, limits, &error).await?;
                return Err(error);
            }
        };
        held.finish();
        slot.enter(ConnectionStage::Handling);
        let is_last = request.head.wants_close();
        let response = handler.handle(request).await;
        let response_bytes = response.body.len().saturating_sub(MAX_JOINED_BODY_BYTES);
        let memory = &limits.memory;
        if let Err(error) = memory.change(0, response_bytes, RoomUse::Answer) {
            drop(response);
            refuse(connection, limits, &error).await?;
            return Err(error);
        }
        let written = write_response(connection, &response).await;
        memory.release(response_bytes);
        written?;
        if is_last {
            return Ok(());
        }
        slot.enter(ConnectionStage::Idle);
    }
}

/// Waits for the first byte of a request; false when none arrives in time.
async fn wait_for_request(connection: &mut Connection) -> Result<bool, Http1Error> {
    if !connection.read_buffer.is_empty() {
        return Ok(true);
    }
    let idle_until = Instant::now() + IDLE_TIMEOUT;
    match connection.fill_buffer_with_deadline(idle_until).await {
        Ok(0) | Err(Http1Error::TimedOut) => Ok(false),
        Ok(_) => Ok(true),
        Err(error) => Err(error),
    }
}

/// Reads a request whose first bytes have arrived.
async fn read_request(
    connection: &mut Connection,
    held: &mut HeldRequest,
) -> Result<InternalRequest, Http1Error> {
    let read = read_request_head(
        connection,
        MAX_HEAD_BYTES,
        IDLE_TIMEOUT,
        MESSAGE_TIMEOUT,
        held,
    );
    let head = read.await?;
    let framing = head.framing()?;
    held.begin_body(framing.announced_bytes(), MAX_BODY_BYTES)?;
    let deadline = Instant::now() + MESSAGE_TIMEOUT;
    let decoder = BodyDecoder::new(framing);
    let body = connection.read_body(decoder, held, || deadline).await?;
    Ok(InternalRequest { head, body })
}

/// Answers a request that is not read because of its size or for lack of memory; the connection
/// is then closed.
async fn refuse(
    connection: &mut Connection,
    limits: &InternalLimits,
    error: &Http1Error,
) -> Result<(), Http1Error> {
    if !matches!(error, Http1Error::Closed | Http1Error::Io(_)) {
        let peer = connection.peer();
        limits.refusals.record(limits.port, error.label(), peer);
    }
    let head = match error {
        Http1Error::BodyTooLarge => "HTTP/1.1 413 .\r\n".to_owned(),
        Http1Error::NoMemory => {
            format!("HTTP/1.1 503 .\r\nRetry-After: {RETRY_AFTER_MEMORY_S}\r\n")
        }
        _ => return Ok(()),
    };
    let text = head + "Content-Length: 0\r\nConnection: close\r\n\r\n";
    let deadline = Instant::now() + MESSAGE_TIMEOUT;
    connection
        .write_with_deadline(text.as_bytes(), deadline)
        .await?;
    connection.linger(Instant::now() + LINGER_TIME).await;
    Ok(())
}

/// Writes a response.
async fn write_response(
    connection: &Connection,
    response: &InternalResponse,
) -> Result<(), Http1Error> {
    let mut bytes = format!(
        "HTTP/1.1 {} .\r\nContent-Type: {}\r\nContent-Length: {}\r\n\r\n",
        response.status,
        response.content_type,
        response.body.len()
    )
    .into_bytes();
    let mut rest = response.body.as_slice();
    if rest.len() <= MAX_JOINED_BODY_BYTES {
        bytes.extend_from_slice(rest);
        rest = &[];
    }
    let deadline = Instant::now() + MESSAGE_TIMEOUT;
    connection
        .write_message_with_deadline(&bytes, rest, deadline)
        .await
}
