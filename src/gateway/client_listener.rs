use std::rc::Rc;
use std::time::Duration;

use tokio::net::TcpListener;
use tokio::time::Instant;

use crate::calls::fingerprint;
use crate::fleet::Catalog;
use crate::fleet::Route;
use crate::gateway::Credential;
use crate::gateway::Dialect;
use crate::gateway::active_request::ActiveRequest;
use crate::gateway::active_request::wait_until_ending;
use crate::gateway::connection_reuse::ConnectionReuse;
use crate::gateway::end_causes::STOPPING;
use crate::gateway::gateway_handle::Gateway;
use crate::gateway::local_response::local_response;
use crate::gateway::routed_request::RoutedRequest;
use crate::http1::BodyDecoder;
use crate::http1::Connection;
use crate::http1::Framing;
use crate::http1::Http1Error;
use crate::http1::RequestHead;
use crate::http1::read_request_head;
use crate::observe::Event;
use crate::observe::LogLine;

/// Time after a stop signal during which requests are still accepted, while clients
/// learn of it and connect to other entries.
pub const STOP_ACCEPT_TIME: Duration = Duration::from_millis(2_500);

/// Deadline of a request that states none, in ms.
const DEFAULT_DEADLINE_MS: u64 = 60_000;

/// Timeout of writing a response that the gateway itself generates.
const LOCAL_RESPONSE_TIMEOUT: Duration = Duration::from_secs(1);

/// Retry-After of a refusal while this entry has no configuration, in ms.
const RETRY_AFTER_START_MS: u64 = 500;

/// Retry-After of a refusal by an entry that is stopping, in ms: other entries accept
/// the request at once.
const RETRY_AFTER_STOP_MS: u64 = 10;

/// Idle timeout of a connection after a stop signal, so that a request that the
/// client has already sent is still served.
const STOPPING_IDLE_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Response to a request that is refused before a replica is chosen.
#[derive(Debug)]
struct LocalRefusal {
    status: u16,
    cause: &'static str,
    retry_after_ms: Option<u64>,
}

impl LocalRefusal {
    fn new(status: u16, cause: &'static str) -> Self {
        Self {
            status,
            cause,
            retry_after_ms: None,
        }
    }
}

/// Accepts connections of clients until the process closes its listener.
pub async fn serve_clients<D: Dialect + 'static>(listener: TcpListener, gateway: Gateway<D>) {
    let open_connections = Rc::new(());
    let closed = wait_until_closed(&gateway);
    let mut closed = std::pin::pin!(closed);
    loop {
        let accepted = tokio::select! {
            biased;
            accepted = listener.accept() => accepted,
            () = &mut closed => return,
        };
        match accepted {
            // The loop itself holds one of the references.
            Ok(_)
                if Rc::strong_count(&open_connections)
                    > gateway.state.borrow().settings.max_client_connections =>
            {
                gateway.metrics.record_refusal("connection");
            }
            Ok((stream, _)) => {
                let (gateway, open_connections) = (gateway.clone(), open_connections.clone());
                actix_rt::spawn(async move {
                    serve_client(Connection::new(stream), &gateway).await;
                    drop(open_connections);
                });
            }
            Err(error) => {
                log::warn!("cannot accept a client's connection: {error}");
                tokio::time::sleep(Duration::from_millis(20)).await;
            }
        }
    }
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
            return;
        }
        let _active = ActiveRequest::begin(&gateway.state);
        let request = tokio::select! {
            biased;
            request = read_request(&mut client, gateway) => request,
            () = wait_until_ending(&gateway.state) => {
                refuse_unread(&client, gateway).await;
                return;
            }
        };
        let (head, body, received_at) = match request {
            Ok(request) => request,
            Err(error) => {
                refuse_unreadable(&client, gateway, &error).await;
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

/// Waits for the first byte of the next request; after a stop signal, with the shorter idle
/// timeout.
async fn wait_for_request<D: Dialect>(
    client: &mut Connection,
    gateway: &Gateway<D>,
) -> Result<(), Http1Error> {
    let (stop_notice, is_stopping) = {
        let state = gateway.state.borrow();
        (state.stop_notice.clone(), state.stopping_since.is_some())
    };
    if !is_stopping {
        let stopped = stop_notice.notified();
        tokio::select! {
            biased;
            arrived = wait_while_idle(client, gateway) => return arrived,
            () = stopped => {}
        }
    }
    wait_for_first_byte(client, Instant::now() + STOPPING_IDLE_TIMEOUT).await
}

/// Waits for the first byte of the next request for as long as the idle timeout allows: the
/// one in force when the connection became idle, or a longer one that came into force since,
/// by which its client may go already.
async fn wait_while_idle<D: Dialect>(
    client: &mut Connection,
    gateway: &Gateway<D>,
) -> Result<(), Http1Error> {
    let idle_since = Instant::now();
    let mut idle_until = idle_since;
    loop {
        let idle_timeout_ms = gateway.state.borrow().limits().idle_timeout_ms;
        let until = idle_since + Duration::from_millis(idle_timeout_ms);
        if until <= idle_until {
            return Err(Http1Error::Closed);
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
    let body = read_body(client, gateway, &head).await?;
    Ok((head, body, received_at))
}

/// Reads the body of a request within the configured limits.
async fn read_body<D: Dialect>(
    client: &mut Connection,
    gateway: &Gateway<D>,
    head: &RequestHead,
) -> Result<Vec<u8>, Http1Error> {
    let limits = gateway.state.borrow().limits();
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

/// Matches a request to a route and a service, and identifies its client; the error is
/// the refusal.
fn route_request<D: Dialect>(
    gateway: &Gateway<D>,
    head: RequestHead,
    body: Vec<u8>,
    received_at: Instant,
) -> Result<Box<RoutedRequest>, (RequestHead, LocalRefusal)> {
    let mut state = gateway.state.borrow_mut();
    let stopping_since = state.stopping_since;
    if state.is_ending || stopping_since.is_some_and(|since| since.elapsed() >= STOP_ACCEPT_TIME) {
        let refusal = LocalRefusal {
            status: 503,
            cause: STOPPING,
            retry_after_ms: Some(RETRY_AFTER_STOP_MS),
        };
        return Err((head, refusal));
    }
    let Some(catalog) = state.catalog.clone() else {
        let refusal = LocalRefusal {
            status: 503,
            cause: "no_configuration",
            retry_after_ms: Some(RETRY_AFTER_START_MS),
        };
        return Err((head, refusal));
    };
    let mut hosts = head.headers.values("host");
    let host = match (hosts.next(), hosts.next()) {
        (Some(host), None) => String::from_utf8_lossy(host).trim().to_ascii_lowercase(),
        _ => {
            drop(hosts);
            return Err((head, LocalRefusal::new(400, "host_line")));
        }
    };
    drop(hosts);
    let host = host.split(':').next().unwrap_or_default().to_owned();
    let Some(route) = catalog.route(&host, head.path()).cloned() else {
        return Err((head, LocalRefusal::new(404, "no_route")));
    };
    let facts = gateway.dialect.request_facts(&head);
    let (workspace, priority) = match identify_caller(&catalog, &route, &facts.credential) {
        Ok(caller) => caller,
        Err(refusal) => return Err((head, refusal)),
    };
    let deadline_ms = facts.deadline_ms.unwrap_or(DEFAULT_DEADLINE_MS);
    let waited_before_ms = state.waited_before_ms(&route.name, deadline_ms);
    let deadline = received_at + Duration::from_millis(deadline_ms.min(route.timeout_ms));
    let service = choose_service(&route, state.random_bits());
    state.count_request(&service);
    // By service: what one service of a split route runs to an end may crash the other.
    let caller = workspace.as_deref().unwrap_or_default();
    let run = format!("{service} {host}{} {caller}", head.target);
    let fingerprint = fingerprint(&run, &body);
    let is_late = waited_before_ms > 0;
    Ok(Box::new(RoutedRequest {
        fingerprint,
        head,
        body,
        facts,
        catalog,
        route,
        service,
        workspace,
        urgency: engine_urgency(priority, is_late),
        received_at,
        deadline,
        waited_before_ms,
        tried_replicas: Vec::new(),
        sends: 0,
    }))
}

/// Workspace and priority of the client that sent a request.
fn identify_caller(
    catalog: &Rc<Catalog>,
    route: &Route,
    credential: &Credential,
) -> Result<(Option<String>, u32), LocalRefusal> {
    if !catalog.has_workspaces() || route.allows_anonymous {
        return Ok((None, route.priority));
    }
    let Credential::Key(key) = credential else {
        return Err(LocalRefusal::new(401, "no_key"));
    };
    match catalog.workspace(key) {
        Some(workspace) => Ok((
            Some(workspace.name.clone()),
            workspace.priority.unwrap_or(route.priority),
        )),
        None => Err(LocalRefusal::new(401, "unknown_key")),
    }
}

/// Rank in an engine's queue: 1 to 4 by priority, 5 to 8 for a request that is late.
fn engine_urgency(priority: u32, is_late: bool) -> u8 {
    let rank = u8::try_from(priority.min(3)).unwrap_or(3);
    if is_late { 5 + rank } else { 1 + rank }
}

/// Chooses a service of the route at random, by the weights of its traffic split.
fn choose_service(route: &Route, random: u64) -> String {
    let total: u64 = route.services.iter().map(|s| u64::from(s.1)).sum();
    let mut at = random % total.max(1);
    for (name, weight) in &route.services {
        if at < u64::from(*weight) {
            return name.clone();
        }
        at -= u64::from(*weight);
    }
    route
        .services
        .first()
        .map_or_else(String::new, |service| service.0.clone())
}

/// Sends a refusal, and logs and counts it.
async fn refuse<D: Dialect>(
    client: &Connection,
    gateway: &Gateway<D>,
    head: &RequestHead,
    refusal: &LocalRefusal,
) -> ConnectionReuse {
    let close = head.wants_close() || gateway.state.borrow().stopping_since.is_some();
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
    let bytes = local_response(refusal.status, refusal.retry_after_ms, close);
    let deadline = Instant::now() + LOCAL_RESPONSE_TIMEOUT;
    match client.write_with_deadline(&bytes, deadline).await {
        Ok(()) if !close => ConnectionReuse::Keep,
        _ => ConnectionReuse::Close,
    }
}

/// Refuses a request that has not been read to its end when the grace period of a stop is
/// over; the connection is then closed.
async fn refuse_unread<D: Dialect>(client: &Connection, gateway: &Gateway<D>) {
    LogLine::new(Event::RequestEnded)
        .number("status", 503)
        .text("cause", STOPPING)
        .enqueue();
    gateway.metrics.record_refusal(STOPPING);
    let bytes = local_response(503, Some(RETRY_AFTER_STOP_MS), true);
    let deadline = Instant::now() + LOCAL_RESPONSE_TIMEOUT;
    if let Err(error) = client.write_with_deadline(&bytes, deadline).await {
        log::debug!("cannot send a refusal to a client: {error}");
    }
}

/// Responds to bytes that are no valid request; the connection is then closed.
async fn refuse_unreadable<D: Dialect>(
    client: &Connection,
    gateway: &Gateway<D>,
    error: &Http1Error,
) {
    let status = match error {
        Http1Error::Closed | Http1Error::Io(_) | Http1Error::NotConnected(_) => return,
        Http1Error::IncompleteMessage => return,
        Http1Error::Malformed(_) => 400,
        Http1Error::HeadTooLarge => 431,
        Http1Error::BodyTooLarge => 413,
        Http1Error::NoMemory => 503,
        Http1Error::TimedOut => 408,
    };
    LogLine::new(Event::RequestEnded)
        .number("status", status)
        .text("cause", error.label())
        .enqueue();
    gateway.metrics.record_refusal(error.label());
    let bytes = local_response(status, None, true);
    let deadline = Instant::now() + LOCAL_RESPONSE_TIMEOUT;
    if let Err(error) = client.write_with_deadline(&bytes, deadline).await {
        log::debug!("cannot send a refusal to a client: {error}");
    }
}
