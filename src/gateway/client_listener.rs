use std::rc::Rc;
use std::time::Duration;

use futures_util::FutureExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::time::Instant;

use crate::fleet::ClientLimits;
use crate::gateway::Dialect;
use crate::gateway::active_request::ActiveRequest;
use crate::gateway::active_request::wait_until_ending;
use crate::gateway::connection_reuse::ConnectionReuse;
use crate::gateway::end_causes::CONNECTION_LIMIT;
use crate::gateway::gateway_handle::Gateway;
use crate::gateway::local_refusals::LOCAL_RESPONSE_TIMEOUT;
use crate::gateway::local_refusals::LocalRefusal;
use crate::gateway::local_refusals::refuse;
use crate::gateway::local_refusals::refuse_unread;
use crate::gateway::local_refusals::refuse_unreadable;
use crate::gateway::request_routing::STOP_ACCEPT_TIME;
use crate::gateway::request_routing::route_request;
use crate::http1::BodyDecoder;
use crate::http1::Connection;
use crate::http1::Framing;
use crate::http1::Http1Error;
use crate::http1::RequestHead;
use crate::http1::read_request_head;
use crate::observe::Event;
use crate::observe::LogLine;

/// Connections beyond the limit whose requests are read and refused at the same time. More are
/// closed unread: file descriptors are kept for those that are served.
const MAX_REFUSED_CONNECTIONS: usize = 64;

/// Time in which the request on a connection beyond the limit begins.
const REFUSED_CONNECTION_TIME: Duration = Duration::from_secs(1);

/// Time for which a connection is read after a refusal, so that the client gets to read it.
const LINGER_TIME: Duration = Duration::from_secs(1);

/// Accepts connections of clients until the process closes its listener.
pub async fn serve_clients<D: Dialect + 'static>(tcp: TcpListener, gateway: Gateway<D>) {
    let listener = ClientListener {
        gateway,
        open_connections: Rc::new(()),
        refused_connections: Rc::new(()),
    };
    let closed = wait_until_closed(&listener.gateway);
    let mut closed = std::pin::pin!(closed);
    loop {
        let accepted = tokio::select! {
            biased;
            accepted = tcp.accept() => accepted,
            () = &mut closed => break,
        };
        match accepted {
            Ok((stream, _)) => listener.serve(stream),
            Err(error) => {
                log::warn!("cannot accept a client's connection: {error}");
                tokio::time::sleep(Duration::from_millis(20)).await;
            }
        }
    }
    // Requests that have arrived on connections not accepted yet are refused.
    tokio::task::yield_now().await;
    while let Some(Ok((stream, _))) = tcp.accept().now_or_never() {
        listener.serve(stream);
    }
}

/// What is done with the connections of clients, and how many are open.
struct ClientListener<D> {
    gateway: Gateway<D>,
    // Each connection holds a reference besides the one here.
    open_connections: Rc<()>,
    refused_connections: Rc<()>,
}

impl<D: Dialect + 'static> ClientListener<D> {
    /// Serves a connection, or refuses its request if too many are open.
    fn serve(&self, stream: TcpStream) {
        let gateway = self.gateway.clone();
        let limit = gateway.state.borrow().settings.max_client_connections;
        let mut client = Connection::new(stream);
        if Rc::strong_count(&self.open_connections) <= limit {
            let open = self.open_connections.clone();
            actix_rt::spawn(async move {
                serve_client(client, &gateway).await;
                drop(open);
            });
            return;
        }
        gateway.metrics.record_closed_connection("limit");
        if Rc::strong_count(&self.refused_connections) > MAX_REFUSED_CONNECTIONS {
            log_unread("limit", 0);
            return;
        }
        let refused = self.refused_connections.clone();
        actix_rt::spawn(async move {
            refuse_connection(&mut client, &gateway).await;
            drop(refused);
        });
    }
}

/// Refuses the request of a connection beyond the limit.
async fn refuse_connection<D: Dialect + 'static>(client: &mut Connection, gateway: &Gateway<D>) {
    let begin_by = Instant::now() + REFUSED_CONNECTION_TIME;
    if wait_for_first_byte(client, begin_by).await.is_err() {
        return;
    }
    let _active = ActiveRequest::begin(&gateway.state);
    match read_request(client, gateway).await {
        Ok((head, ..)) => {
            let refusal = LocalRefusal {
                closes_connection: true,
                ..LocalRefusal::elsewhere(CONNECTION_LIMIT)
            };
            refuse(client, gateway, &head, &refusal).await;
        }
        Err(error) => refuse_unreadable(client, gateway, &error).await,
    }
    client.linger(Instant::now() + LINGER_TIME).await;
}

/// Waits for the stop signal and for the time in which requests are still accepted.
async fn wait_until_closed<D: Dialect>(gateway: &Gateway<D>) {
    let notice = gateway.state.borrow().stop_notice.clone();
    notice.notified().await;
    tokio::time::sleep(STOP_ACCEPT_TIME).await;
}

/// Serves the requests of one connection, one after the other.
async fn serve_client<D: Dialect + 'static>(mut client: Connection, gateway: &Gateway<D>) {
    loop {
        if let Err(error) = wait_for_request(&mut client, gateway).await {
            log::debug!("no further request on a client's connection: {error}");
            if matches!(error, Http1Error::TimedOut) {
                record_idle_close(&mut client, gateway);
            }
            return;
        }
        let _active = ActiveRequest::begin(&gateway.state);
        let request = tokio::select! {
            biased;
            request = read_request(&mut client, gateway) => request,
            () = wait_until_ending(&gateway.state) => {
                refuse_unread(&client, gateway).await;
                client.linger(Instant::now() + LINGER_TIME).await;
                return;
            }
        };
        let (head, body, received_at) = match request {
            Ok(request) => request,
            Err(error) => {
                refuse_unreadable(&client, gateway, &error).await;
                client.linger(Instant::now() + LINGER_TIME).await;
                return;
            }
        };
        let reuse = match route_request(gateway, head, body, received_at) {
            Ok(request) => gateway.forward(&mut client, *request).await,
            Err((head, refusal)) => refuse(&client, gateway, &head, &refusal).await,
        };
        if reuse == ConnectionReuse::Close {
            return;
        }
    }
}

/// Counts an idle connection that is closed before its client has closed it, and logs it if
/// bytes of a request have arrived meanwhile.
fn record_idle_close<D: Dialect>(client: &mut Connection, gateway: &Gateway<D>) {
    gateway.metrics.record_closed_connection("idle");
    if client.has_surplus() && !client.read_buffer.is_empty() {
        log_unread("idle", client.read_buffer.len());
    }
}

/// Logs a connection that is closed with bytes of a request that is not read.
fn log_unread(cause: &str, received: usize) {
    LogLine::new(Event::RequestUnread)
        .text("cause", cause)
        .number("bytes", received)
        .enqueue();
}

/// Waits for the first byte of the next request for as long as the idle timeout allows: the
/// one in force when the connection became idle, or a longer one that came into force since,
/// by which its client may go already. As long as a client may not have heard of a shorter
/// one, the connection is open beyond it.
///
/// A stop closes no idle connection before the process ends: its client goes by the addresses
/// that it was told, and learns of the stop from the answer to its next request.
async fn wait_for_request<D: Dialect>(
    client: &mut Connection,
    gateway: &Gateway<D>,
) -> Result<(), Http1Error> {
    let idle_since = Instant::now();
    let mut idle_until = idle_since;
    loop {
        let idle_time_ms = {
            let state = gateway.state.borrow();
            let idle_ms = state.limits().idle_timeout_ms;
            idle_ms.saturating_add(state.settings.config_apply_ms)
        };
        let until = idle_since + Duration::from_millis(idle_time_ms);
        if until <= idle_until {
            return Err(Http1Error::TimedOut);
        }
        idle_until = until;
        match wait_for_first_byte(client, idle_until).await {
            Err(Http1Error::TimedOut) => {}
            arrived => return arrived,
        }
    }
}

/// Waits until bytes of a request have arrived.
async fn wait_for_first_byte(client: &mut Connection, until: Instant) -> Result<(), Http1Error> {
    if !client.read_buffer.is_empty() {
        return Ok(());
    }
    match client.fill_buffer_with_deadline(until).await? {
        0 => Err(Http1Error::Closed),
        _ => Ok(()),
    }
}

/// Reads a request whose first bytes have arrived; returns its head, its body and the time at
/// which the head was complete.
async fn read_request<D: Dialect>(
    client: &mut Connection,
    gateway: &Gateway<D>,
) -> Result<(RequestHead, Vec<u8>, Instant), Http1Error> {
    let limits = gateway.state.borrow().limits();
    let head_time = Duration::from_millis(limits.head_timeout_ms);
    let head = read_request_head(client, limits.max_head_bytes, head_time, head_time).await?;
    let received_at = Instant::now();
    // A client goes by the limits that were in force when it began, or by later ones.
    let limits = limits.most_lenient(gateway.state.borrow().limits());
    let body = read_body(client, &head, limits).await?;
    Ok((head, body, received_at))
}

/// Reads the body of a request within these limits.
async fn read_body(
    client: &mut Connection,
    head: &RequestHead,
    limits: ClientLimits,
) -> Result<Vec<u8>, Http1Error> {
    let framing = head.framing()?;
    if matches!(framing, Framing::Length(length) if length > limits.max_body_bytes as u64) {
        return Err(Http1Error::BodyTooLarge);
    }
    let decoder = BodyDecoder::new(framing);
    if !decoder.is_done() && head.headers.has_token("expect", "100-continue") {
        client
            .write_with_deadline(
                b"HTTP/1.1 100 Continue\r\n\r\n",
                Instant::now() + LOCAL_RESPONSE_TIMEOUT,
            )
            .await?;
    }
    let idle = Duration::from_millis(limits.idle_timeout_ms);
    client
        .read_body(decoder, limits.max_body_bytes, || Instant::now() + idle)
        .await
}
