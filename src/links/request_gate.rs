use std::cell::Cell;
use std::cell::RefCell;
use std::io;
use std::rc::Rc;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Instant;

use actix_web::Error;
use actix_web::HttpMessage;
use actix_web::HttpResponse;
use actix_web::body::BoxBody;
use actix_web::body::MessageBody;
use actix_web::dev::Payload;
use actix_web::dev::ServiceRequest;
use actix_web::dev::ServiceResponse;
use actix_web::error::InternalError;
use actix_web::error::PayloadError;
use actix_web::http::header::CONTENT_LENGTH;
use actix_web::middleware::Next;
use bytes::Bytes;
use futures_util::StreamExt;

use crate::links::RequestMemory;
use crate::links::body_parts::BodyParts;
use crate::links::body_parts::payload_of;
use crate::links::guarded_body::GuardedBody;
use crate::links::request_memory::HeldBody;
use crate::observe::CounterKind;
use crate::observe::Event;
use crate::observe::Metrics;
use crate::observe::RefusalPace;
use crate::observe::emit_event;

/// Name of the only port in logs.
const PORT: &str = "listen";

/// Cause of a refusal for lack of memory; part of the interface.
const NO_MEMORY: &str = "no_memory";

/// Decides whether the body of a request is read, and tells who was refused.
#[derive(Debug)]
pub struct RequestGate {
    memory: RequestMemory,
    max_body_bytes: u64,
    no_memory: fn() -> HttpResponse,
    metrics: Arc<Metrics>,
    pace: Mutex<RefusalPace>,
}

impl RequestGate {
    /// Gate for bodies of at most `max_body_bytes`; `no_memory` is the response to a request for
    /// whose body there is no room.
    pub fn new(
        memory: RequestMemory,
        max_body_bytes: u64,
        no_memory: fn() -> HttpResponse,
        metrics: Arc<Metrics>,
    ) -> Self {
        Self {
            memory,
            max_body_bytes,
            no_memory,
            metrics,
            pace: Mutex::default(),
        }
    }

    /// Counts and logs a refusal.
    fn record_refusal(&self, peer: &str) {
        self.metrics.record_refusal(NO_MEMORY);
        self.metrics
            .add(CounterKind::PeerRefusals, 1, "cause", NO_MEMORY);
        let mut pace = self.pace.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some(refused) = pace.record(PORT, NO_MEMORY, Instant::now()) {
            emit_event(
                Event::PeersRefused,
                &[
                    ("port", &PORT),
                    ("cause", &NO_MEMORY),
                    ("refused", &refused),
                    ("peer", &peer),
                ],
            );
        }
    }
}

/// Request body that takes room as it arrives, and fails when there is none.
struct CountedBody {
    payload: Payload,
    room: Rc<BodyRoom>,
    received_bytes: u64,
}

/// Room of one body, which its request holds until it has its answer.
struct BodyRoom {
    held: RefCell<HeldBody>,
    is_refused: Cell<bool>,
}

impl BodyParts for CountedBody {
    async fn next(&mut self) -> Option<Result<Bytes, PayloadError>> {
        let mut part = self.payload.next().await;
        if let Some(Ok(bytes)) = &part {
            self.received_bytes += bytes.len() as u64;
            if !self.room.held.borrow_mut().admit(self.received_bytes) {
                self.room.is_refused.set(true);
                part = Some(Err(io::Error::from(io::ErrorKind::OutOfMemory).into()));
            }
        }
        part
    }
}

/// Middleware that takes room for the body of a request, up to its announced length at once,
/// and refuses the request when there is none.
pub(super) async fn hold_body(
    gate: Option<Arc<RequestGate>>,
    mut request: ServiceRequest,
    next: Next<impl MessageBody + 'static>,
) -> Result<ServiceResponse<BoxBody>, Error> {
    let payload = request.take_payload();
    let (Some(gate), false) = (gate, matches!(payload, Payload::None)) else {
        request.set_payload(payload);
        return Ok(next.call(request).await?.map_into_boxed_body());
    };
    let peer = request
        .peer_addr()
        .map_or_else(String::new, |peer| peer.to_string());
    let announced = request.headers().get(CONTENT_LENGTH);
    let announced: Option<u64> = announced.and_then(|value| value.to_str().ok()?.parse().ok());
    // A longer body is refused unread.
    let announced_bytes = announced.filter(|bytes| *bytes <= gate.max_body_bytes);
    let mut held = gate.memory.begin_body();
    if !held.admit(announced_bytes.unwrap_or(0)) {
        gate.record_refusal(&peer);
        request.set_payload(payload);
        return Ok(request.into_response((gate.no_memory)()));
    }
    let room = Rc::new(BodyRoom {
        held: RefCell::new(held),
        is_refused: Cell::default(),
    });
    let body = CountedBody {
        payload,
        room: Rc::clone(&room),
        received_bytes: 0,
    };
    request.set_payload(payload_of(body));
    let result = next.call(request).await;
    if room.is_refused.get() {
        gate.record_refusal(&peer);
        let response = (gate.no_memory)();
        return match result {
            Ok(refused) => Ok(refused.into_response(response)),
            Err(_) => Err(InternalError::from_response(NO_MEMORY, response).into()),
        };
    }
    Ok(result?.map_body(|_, body| GuardedBody::new(body, room).boxed()))
}
