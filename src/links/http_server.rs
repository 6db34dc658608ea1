use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;

use actix_web::App;
use actix_web::Error;
use actix_web::HttpRequest;
use actix_web::HttpResponse;
use actix_web::HttpServer;
use actix_web::body::BoxBody;
use actix_web::body::MessageBody;
use actix_web::dev::ServiceRequest;
use actix_web::dev::ServiceResponse;
use actix_web::http::ConnectionType;
use actix_web::http::Method;
use actix_web::middleware::Next;
use actix_web::middleware::from_fn;
use actix_web::web::ServiceConfig;
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::http1::ListenerLoad;
use crate::http1::RECEIVE_BUFFER_BYTES;
use crate::links::CallRejection;
use crate::links::DrainEnd;
use crate::links::LinkError;
use crate::links::RequestGate;
use crate::links::RequestsUnderWay;
use crate::links::SHARED_KEY_HEADER;
use crate::links::body_timeout::limit_body_time;
use crate::links::guarded_body::GuardedBody;
use crate::links::request_gate::hold_body;
use crate::standin::HttpServerHandle;

/// Time limits of an HTTP server.
#[derive(Debug, Clone)]
pub struct ServeOptions {
    /// Time a client has to send the head of a request, and again for its body, in ms.
    pub client_timeout_ms: u64,
    /// Time that requests in progress have after a stop, in ms.
    pub drain_ms: u64,
    /// End of the drain, at which a body that is still arriving is refused.
    pub drain_end: Arc<DrainEnd>,
    /// Connections that are served at once.
    pub load: ListenerLoad,
    /// Key without which a request between processes is refused before its body is read.
    pub shared_key: Option<Arc<str>>,
    /// Decides whether bodies are read; None to read all.
    pub gate: Option<Arc<RequestGate>>,
}

/// Prefix of the paths for requests between processes.
const INTERNAL_PATHS: &str = "/x/";

/// Connections that a server without other settings serves at once.
const DEFAULT_LOAD: ListenerLoad = ListenerLoad {
    max_connections: 4_096,
    receive_buffer_bytes: RECEIVE_BUFFER_BYTES,
};

impl Default for ServeOptions {
    fn default() -> Self {
        Self {
            client_timeout_ms: 5000,
            drain_ms: 30_000,
            drain_end: Arc::default(),
            load: DEFAULT_LOAD,
            shared_key: None,
            gate: None,
        }
    }
}

/// Starts an HTTP server on `listen` with one worker thread.
///
/// # Errors
///
/// The I/O error when the address cannot be bound.
pub fn serve(
    listen: SocketAddr,
    options: &ServeOptions,
    configure: impl Fn(&mut ServiceConfig) + Clone + Send + 'static,
) -> io::Result<HttpServerHandle> {
    let client_timeout = Duration::from_millis(options.client_timeout_ms);
    let is_closing: Arc<AtomicBool> = Arc::default();
    let shared = Arc::clone(&is_closing);
    let drain_end = Arc::clone(&options.drain_end);
    let under_way: Arc<RequestsUnderWay> = Arc::default();
    let requests = Arc::clone(&under_way);
    let (gate, shared_key) = (options.gate.clone(), options.shared_key.clone());
    let app = move || {
        let is_closing = Arc::clone(&shared);
        let drain_end = Arc::clone(&drain_end);
        let requests = Arc::clone(&requests);
        let (gate, shared_key) = (gate.clone(), shared_key.clone());
        App::new()
            .wrap(from_fn(move |request, next| {
                hold_body(gate.clone(), request, next)
            }))
            .wrap(from_fn(move |request, next| {
                limit_body_time(client_timeout, Arc::clone(&drain_end), request, next)
            }))
            .wrap(from_fn(move |request, next| {
                hold_request(Arc::clone(&requests), request, next)
            }))
            .wrap(from_fn(move |request, next| {
                check_key(shared_key.clone(), request, next)
            }))
            .wrap(from_fn(move |request, next| {
                close_connection(Arc::clone(&is_closing), request, next)
            }))
            .configure(configure.clone())
    };
    let server = HttpServer::new(app)
        .workers(1)
        .client_request_timeout(client_timeout)
        // A refusal that comes before the end of a body stays readable while the client has time
        // to send.
        .client_disconnect_timeout(client_timeout)
        .shutdown_timeout(options.drain_ms.div_ceil(1000))
        .disable_signals()
        .max_connections(options.load.max_connections)
        .listen(options.load.listen(listen)?.into_std()?)?;
    let address = server.addrs().first().copied().unwrap_or(listen);
    let server = server.run();
    let handle = HttpServerHandle::new(address, server.handle(), is_closing, under_way);
    actix_rt::spawn(server);
    Ok(handle)
}

/// Middleware that counts a request as under way until its answer is whole.
async fn hold_request(
    under_way: Arc<RequestsUnderWay>,
    request: ServiceRequest,
    next: Next<impl MessageBody + 'static>,
) -> Result<ServiceResponse<impl MessageBody>, Error> {
    let guard = under_way.add();
    let response = next.call(request).await?;
    Ok(response.map_body(|_, body| GuardedBody::new(body, guard)))
}

/// Middleware that refuses a request between processes without the shared key before its body
/// is read.
async fn check_key(
    shared_key: Option<Arc<str>>,
    request: ServiceRequest,
    next: Next<impl MessageBody + 'static>,
) -> Result<ServiceResponse<BoxBody>, Error> {
    let is_refused = shared_key.is_some_and(|key| {
        request.method() == Method::POST
            && request.path().starts_with(INTERNAL_PATHS)
            && !has_shared_key(request.request(), &key)
    });
    if is_refused {
        return Ok(request.into_response(CallRejection::WrongKey.response()));
    }
    Ok(next.call(request).await?.map_into_boxed_body())
}

/// Middleware that closes the connection after the answer if `is_closing` is set.
async fn close_connection(
    is_closing: Arc<AtomicBool>,
    request: ServiceRequest,
    next: Next<impl MessageBody>,
) -> Result<ServiceResponse<impl MessageBody>, Error> {
    let mut response = next.call(request).await?;
    if is_closing.load(Ordering::Acquire) {
        let head = response.response_mut().head_mut();
        head.set_connection_type(ConnectionType::Close);
    }
    Ok(response)
}

/// Whether `request` carries `shared_key`.
pub fn has_shared_key(request: &HttpRequest, shared_key: &str) -> bool {
    let given = request
        .headers()
        .get(SHARED_KEY_HEADER)
        .map_or(&b""[..], |value| value.as_bytes());
    // The time to compare digests tells an attacker nothing about the key.
    blake3::hash(given) == blake3::hash(shared_key.as_bytes())
}

/// Decodes a MessagePack body.
///
/// # Errors
///
/// [`LinkError::Malformed`] when the body does not decode.
pub fn decode_rmp<T: DeserializeOwned>(body: &[u8]) -> Result<T, LinkError> {
    rmp_serde::from_slice(body).map_err(|error| LinkError::Malformed(error.to_string()))
}

/// Checks the shared key of a request between processes and decodes its body.
///
/// # Errors
///
/// [`CallRejection`], which gives the response to send.
pub fn decode_call<T: DeserializeOwned>(
    request: &HttpRequest,
    body: &[u8],
    shared_key: &str,
) -> Result<T, CallRejection> {
    if !has_shared_key(request, shared_key) {
        return Err(CallRejection::WrongKey);
    }
    decode_rmp(body).map_err(CallRejection::Malformed)
}

/// Creates a response with `answer` as MessagePack; status 500 if it can't be encoded.
pub fn rmp_response(answer: &impl Serialize) -> HttpResponse {
    match rmp_serde::to_vec_named(answer) {
        Ok(body) => HttpResponse::Ok()
            .content_type("application/msgpack")
            .body(body),
        Err(error) => HttpResponse::InternalServerError().body(error.to_string()),
    }
}
