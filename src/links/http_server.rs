use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use actix_web::App;
use actix_web::HttpRequest;
use actix_web::HttpResponse;
use actix_web::HttpServer;
use actix_web::middleware::from_fn;
use actix_web::web::ServiceConfig;
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::links::CallFault;
use crate::links::LinkError;
use crate::links::SHARED_KEY_HEADER;
use crate::links::body_timeout::limit_body_time;
use crate::standin::HttpServerHandle;

/// How a process serves HTTP.
#[derive(Debug, Clone)]
pub struct ServeOptions {
    /// Time a client has to send the head of a request, and again for its body.
    pub client_timeout_ms: u64,
    /// Time requests in progress have after a stop.
    pub drain_ms: u64,
}

impl Default for ServeOptions {
    fn default() -> Self {
        Self {
            client_timeout_ms: 5000,
            drain_ms: 30_000,
        }
    }
}

/// Serves on `listen` with one worker thread.
///
/// # Errors
///
/// The I/O error when the address cannot be bound.
pub fn serve(
    listen: SocketAddr,
    options: &ServeOptions,
    configure: impl Fn(&mut ServiceConfig) + Clone + Send + 'static,
) -> io::Result<HttpServerHandle> {
    let wait = Duration::from_millis(options.client_timeout_ms);
    let app = move || {
        App::new()
            .wrap(from_fn(move |request, next| {
                limit_body_time(wait, request, next)
            }))
            .configure(configure.clone())
    };
    let server = HttpServer::new(app)
        .workers(1)
        .client_request_timeout(wait)
        .shutdown_timeout(options.drain_ms.div_ceil(1000))
        .disable_signals()
        .bind(listen)?;
    let address = server.addrs().first().copied().unwrap_or(listen);
    let running = server.run();
    let handle = HttpServerHandle::new(address, running.handle());
    actix_rt::spawn(running);
    Ok(handle)
}

/// Whether `request` carries the shared key.
pub fn has_key(request: &HttpRequest, shared_key: &str) -> bool {
    let given = request
        .headers()
        .get(SHARED_KEY_HEADER)
        .map_or(&b""[..], |value| value.as_bytes());
    // Comparing digests takes the same time whatever the given key is.
    blake3::hash(given) == blake3::hash(shared_key.as_bytes())
}

/// Decodes a MessagePack body.
///
/// # Errors
///
/// [`LinkError::Malformed`] when the body does not decode.
pub fn read_rmp<T: DeserializeOwned>(body: &[u8]) -> Result<T, LinkError> {
    rmp_serde::from_slice(body).map_err(|error| LinkError::Malformed(error.to_string()))
}

/// Decodes a call between processes, which must carry the shared key.
///
/// # Errors
///
/// [`CallFault`], whose response refuses the call.
pub fn open_call<T: DeserializeOwned>(
    request: &HttpRequest,
    body: &[u8],
    shared_key: &str,
) -> Result<T, CallFault> {
    if !has_key(request, shared_key) {
        return Err(CallFault::WrongKey);
    }
    read_rmp(body).map_err(CallFault::Malformed)
}

/// A response with a MessagePack body.
pub fn rmp_response(answer: &impl Serialize) -> HttpResponse {
    match rmp_serde::to_vec_named(answer) {
        Ok(body) => HttpResponse::Ok()
            .content_type("application/msgpack")
            .body(body),
        Err(error) => HttpResponse::InternalServerError().body(error.to_string()),
    }
}
