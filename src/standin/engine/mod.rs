//! Stand-in for a model engine. It simulates continuous batching, a bounded prompt
//! prefix cache, priorities, cancellation, stream resumption and orders fenced by number.

mod batch;
mod generation;
mod handlers;
mod options;
mod prefix_cache;
mod state;

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;

use actix_web::App;
use actix_web::HttpServer;
use actix_web::web;

use crate::standin::HttpServerHandle;

pub use generation::token_text;
pub use options::EngineOptions;
pub use prefix_cache::PrefixCache;

/// Largest request body, in bytes.
const MAX_BODY_BYTES: usize = 1024 * 1024;

/// Longest time a graceful stop waits for running streams, in seconds.
const STOP_TIMEOUT_S: u64 = 10;

/// Starts an engine stand-in.
///
/// # Errors
///
/// The I/O error when the address cannot be bound.
pub async fn start(options: EngineOptions) -> io::Result<HttpServerHandle> {
    let listen = options.listen;
    let state = web::Data::from(Arc::new(state::Engine::new(options)));
    let server = HttpServer::new(move || {
        App::new()
            .app_data(state.clone())
            .app_data(web::JsonConfig::default().limit(MAX_BODY_BYTES))
            .service(handlers::load)
            .service(handlers::unload)
            .service(handlers::role)
            .service(handlers::state)
            .service(handlers::generate)
            .service(handlers::cancel)
            .service(handlers::inject_fault)
    })
    .workers(1)
    .disable_signals()
    .shutdown_timeout(STOP_TIMEOUT_S)
    .bind(listen)?;
    let address: SocketAddr = server.addrs()[0];
    let server = server.run();
    let handle = HttpServerHandle::new(address, server.handle(), Arc::default(), Arc::default());
    actix_rt::spawn(server);
    Ok(handle)
}
