use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
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
use crate::gateway::local_refusals::CLIENT_PORT;
use crate::gateway::local_refusals::LOCAL_RESPONSE_TIMEOUT;
use crate::gateway::local_refusals::LocalRefusal;
use crate::gateway::local_refusals::refuse;
use crate::gateway::local_refusals::refuse_unread;
use crate::gateway::local_refusals::refuse_unreadable;
use crate::gateway::request_routing::STOP_ACCEPT_TIME;
use crate::gateway::request_routing::route_request;
use crate::gateway::routed_request::ReadRequest;
use crate::http1::BodyDecoder;
use crate::http1::Connection;
use crate::http1::ConnectionSlot;
use crate::http1::ConnectionSlots;
use crate::http1::ConnectionStage;
use crate::http1::HeldRequest;
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

/// The same after a refusal for lack of memory: clients that send the whole body before they
/// read get to read it, as far as their links allow.
const MEMORY_LINGER_TIME: Duration = Duration::from_secs(4);

/// Time without a byte after which a new connection may be closed for another one.
const SILENT_CONNECTION_TIME: Duration = Duration::from_secs(1);

/// Accepts connections of clients until the process closes its listener.
pub async fn serve_clients<D: Dialect + 'static>(tcp: TcpListener, gateway: Gateway<D>) {
    let listener = ClientListener {
        gateway,
        open_connections: Rc::default(),
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
            Ok((stream, peer)) => listener.serve(stream, peer),
            Err(error) => {
                log::warn!("cannot accept a client's connection: {error}");
                tokio::time::sleep(Duration::from_millis(20)).await;
            }
        }
    }
    // Requests that have arrived on connections not accepted yet are refused.
    tokio::task::yield_now().await;
    while let Some(Ok((stream, peer))) = tcp.accept().now_or_never() {
        listener.serve(stream, peer);
    }
}

/// What is done with the connections of clients, and how many are open.
struct ClientListener<D> {
    gateway: Gateway<D>,
    open_connections: Rc<ConnectionSlots>,
    // Each connection holds a reference besides the one here.
    refused_connections: Rc<()>,
}

impl<D: Dialect + 'static> ClientListener<D> {
    /// Serves a connection, or refuses its request if too many are open and none of them has
    /// been silent since it was opened.
    fn serve(&self, stream: TcpStream, peer: SocketAddr) {
        let gateway = self.gateway.clone();
        let limit = gateway
            .state
            .borrow()
            .settings
            .client_load()
            .max_connections;
        let mut client = Connection::new(stream);
        if self.open_connections.count() < limit || self.close_silent() {
            let slot = self.open_connections.add();
            actix_rt::spawn(async move {
                tokio::select! {
                    biased;
                    () = slot.closed() => {
                        gateway.metrics.record_closed_connection("silent");
                        gateway.refusals.record(CLIENT_PORT, "silent", Some(peer));
                    }
                    () = serve_client(client, &gateway, &slot) => {}
                }
            });
            return;
        }
        gateway.metrics.record_closed_connection("limit");
        gateway
            .refusals
            .record(CLIENT_PORT, CONNECTION_LIMIT, Some(peer));
        if Rc::strong_count(&self.refused_connections) > MAX_REFUSED_CONNECTIONS {
            LogLine::new(Event::RequestUnread)
                .text("cause", "limit")
                .enqueue();
            return;
        }
        let refused = self.refused_connections.clone();
        actix_rt::spawn(async move {
            refuse_connection(&mut client, &gateway).await;
            drop(refused);
        });
    }

    /// Closes the connection that has been silent for the longest time since it was opened, if
    /// the memory of the process is limited; returns whether there was one.
    fn close_silent(&self) -> bool {
        let is_limited = self
            .gateway
            .state
            .borrow()
            .answer_memory
            .budget()
            .is_limited();
        is_limited
            && self
                .open_connections
                .close_one(ConnectionStage::Idle, SILENT_CONNECTION_TIME)
    }
}

/// Refuses the request of a connection beyond the limit.
async fn refuse_connection<D: Dialect + 'static>(client: &mut Connection, gateway: &Gateway<D>) {
    let begin_by = Instant::now() + REFUSED_CONNECTION_TIME;
    if wait_for_first_byte(client, begin_by).await.is_err() {
        return;
    }
    let _active = ActiveRequest::begin(&gateway.state);
    let mut held = hold_request(gateway);
    let read = tokio::select! {
        biased;
        read = read_head(client, gateway, &mut held) => read,
        () = wait_until_ending(&gateway.state) => return refuse_unread(client, gateway).await,
    };
    match read {
        Ok(head) => {
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
async fn serve_client<D: Dialect + 'static>(
    mut client: Connection,
    gateway: &Gateway<D>,
    slot: &ConnectionSlot,
) {
    loop {
        if let Err(error) = wait_for_request(&mut client, gateway).await {
            log::debug!("no further request on a client's connection: {error}");
            if matches!(error, Http1Error::TimedOut) {
                gateway.metrics.record_closed_connection("idle");
            }
            return;
        }
        // Its client may hold it for kept from now on.
        slot.enter(ConnectionStage::Handling);
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
        let request = match request {
            Ok(request) => request,
            Err(error) => {
                refuse_unreadable(&client, gateway, &error).await;
                let linger_time = match error {
                    Http1Error::NoMemory => MEMORY_LINGER_TIME,
                    _ => LINGER_TIME,
                };
                client.linger(Instant::now() + linger_time).await;
                return;
            }
        };
        let reuse = match route_request(gateway, request) {
            Ok(request) => gateway.forward(&mut client, *request).await,
            Err((head, refusal)) => refuse(&client, gateway, &head, &refusal).await,
        };
        if client.has_discarded() {
            let peer = client.peer();
            gateway.refusals.record(CLIENT_PORT, "sent_ahead", peer);
            client.linger(Instant::now() + LINGER_TIME).await;
            return;
        }
        if reuse == ConnectionReuse::Close {
            return;
        }
    }
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

/// Reads the head of a request whose first bytes have arrived.
async fn read_head<D: Dialect>(
    client: &mut Connection,
    gateway: &Gateway<D>,
    held: &mut HeldRequest,
) -> Result<RequestHead, Http1Error> {
    let limits = gateway.state.borrow().limits();
    let head_time = Duration::from_millis(limits.head_timeout_ms);
    read_request_head(client, limits.max_head_bytes, head_time, head_time, held).await
}

/// Room for a request that begins to arrive.
fn hold_request<D: Dialect>(gateway: &Gateway<D>) -> HeldRequest {
    HeldRequest::of_client(gateway.state.borrow().answer_memory.budget())
}

/// Reads a request whose first bytes have arrived, unless it is closed for another one.
async fn read_request<D: Dialect>(
    client: &mut Connection,
    gateway: &Gateway<D>,
) -> Result<ReadRequest, Http1Error> {
    let mut held = hold_request(gateway);
    let arriving = held.arriving();
    let (head, body, received_at) = tokio::select! {
        biased;
        () = arriving.closed() => return Err(Http1Error::NoMemory),
        read = read_message(client, gateway, &mut held) => read?,
    };
    held.finish();
    Ok(ReadRequest {
        head,
        body,
        held,
        received_at,
    })
}

/// Reads a request within its room; returns its head, its body and the time at which the head
/// was complete.
async fn read_message<D: Dialect>(
    client: &mut Connection,
    gateway: &Gateway<D>,
    held: &mut HeldRequest,
) -> Result<(RequestHead, Bytes, Instant), Http1Error> {
    let limits = gateway.state.borrow().limits();
    let head = read_head(client, gateway, held).await?;
    let received_at = Instant::now();
    // A client goes by the limits that were in force when it began, or by later ones.
    let limits = limits.most_lenient(gateway.state.borrow().limits());
    let body = read_body(client, &head, limits, held).await?;
    Ok((head, Bytes::from(body), received_at))
}

/// Reads the body of a request within these limits.
async fn read_body(
    client: &mut Connection,
    head: &RequestHead,
    limits: ClientLimits,
    held: &mut HeldRequest,
) -> Result<Vec<u8>, Http1Error> {
    let framing = head.framing()?;
    held.begin_body(framing.announced_bytes(), limits.max_body_bytes)?;
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
        .read_body(decoder, held, || Instant::now() + idle)
        .await
}
