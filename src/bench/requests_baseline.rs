use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;

use actix_web::HttpResponse;
use actix_web::http::Method;
use actix_web::web::Bytes;
use actix_web::web::Data;
use actix_web::web::Json;
use futures_util::StreamExt;
use futures_util::stream;
use tokio::sync::Semaphore;

use crate::clients::EngineClient;
use crate::clients::GenerateOrder;
use crate::links::HttpClient;

/// State of a baseline entry: round robin over the endpoints, without retries.
#[derive(Debug)]
pub(super) struct RoundRobin {
    endpoints: Vec<SocketAddr>,
    next: AtomicUsize,
}

impl RoundRobin {
    /// Starts with the endpoint at index `first`.
    pub(super) fn new(endpoints: Vec<SocketAddr>, first: usize) -> Self {
        Self {
            endpoints,
            next: AtomicUsize::new(first),
        }
    }
}

/// State of a baseline endpoint: requests run in order of arrival.
#[derive(Debug)]
pub(super) struct Fifo {
    slots: Arc<Semaphore>,
    engine: EngineClient,
    /// Number of calls that reached endpoints.
    pub(super) received: Arc<AtomicUsize>,
}

impl Fifo {
    /// Runs up to `slots` requests at a time.
    pub(super) fn new(slots: u32, engine: EngineClient, received: Arc<AtomicUsize>) -> Self {
        Self {
            slots: Arc::new(Semaphore::new(slots as usize)),
            engine,
            received,
        }
    }
}

/// Handler of a baseline entry: relays the request to the next endpoint.
pub(super) async fn relay_to_next(state: Data<RoundRobin>, body: Bytes) -> HttpResponse {
    let call_no = state.next.fetch_add(1, Ordering::Relaxed);
    let address = state.endpoints[call_no % state.endpoints.len()];
    let url = format!("http://{address}/generate");
    let request = HttpClient::to_platform()
        .request(Method::POST, &url)
        .insert_header(("content-type", "application/json"));
    match request.send_body(body).await {
        Ok(response) => HttpResponse::build(response.status()).streaming(response),
        Err(error) => HttpResponse::BadGateway().body(error.to_string()),
    }
}

/// Handler of a baseline endpoint: waits for a slot and streams the engine's answer.
pub(super) async fn run_in_order(state: Data<Fifo>, order: Json<GenerateOrder>) -> HttpResponse {
    state.received.fetch_add(1, Ordering::Relaxed);
    let slot = Arc::clone(&state.slots).acquire_owned().await;
    let events = match state.engine.generate(&order).await {
        Ok(events) => events,
        Err(error) => return HttpResponse::BadGateway().body(error.to_string()),
    };
    let lines = stream::unfold((events, slot), |(mut events, slot)| async move {
        let event = events.next().await?.ok()?;
        Some((Bytes::from(event.to_line()), (events, slot)))
    });
    HttpResponse::Ok().streaming(lines.map(Ok::<_, actix_web::Error>))
}
