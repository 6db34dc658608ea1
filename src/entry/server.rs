use std::io;
use std::pin::pin;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use actix::Actor;
use actix_rt::time::sleep;
use actix_rt::time::timeout;
use actix_web::Resource;
use actix_web::Route;
use actix_web::web;
use futures_util::future::select;

use crate::conf::EntrySettings;
use crate::entry::EntryState;
use crate::entry::addresses;
use crate::entry::admin;
use crate::entry::api_error;
use crate::entry::call;
use crate::entry::call_permits;
use crate::entry::generate;
use crate::entry::status;
use crate::entry::tailer::Tailer;
use crate::links::LAST_ANSWERS_TIME;
use crate::links::RequestGate;
use crate::links::RequestMemory;
use crate::links::ServeOptions;
use crate::links::serve;
use crate::node;
use crate::node::HostListWatcher;
use crate::node::Node;
use crate::node::Reporter;
use crate::observe::Event;
use crate::observe::emit_event;
use crate::standin::HttpServerHandle;

/// Time for which connections stay open after their answers: their clients were not told of the
/// stop if the answers had begun before it, and their next requests may be on the way.
const KEPT_TIME: Duration = Duration::from_millis(500);

/// Handle of a running entry.
#[derive(Debug, Clone)]
pub struct EntryHandle {
    server: HttpServerHandle,
    state: Arc<EntryState>,
}

/// Starts an entry: its HTTP server, host list watcher, heartbeats and log tailer.
///
/// # Errors
///
/// The I/O error when an address cannot be bound.
pub async fn start_entry(settings: EntrySettings) -> io::Result<EntryHandle> {
    let listen = settings.process.listen;
    let state = Arc::new(EntryState::new(settings));
    let settings = &state.settings;
    let options = ServeOptions {
        client_timeout_ms: settings.slow_client_timeout_ms,
        // The time until addresses have expired is a part of the drain.
        drain_ms: settings.drain_ms - settings.address_lifetime_ms.min(settings.drain_ms),
        drain_end: Arc::clone(&state.drain_end),
        load: settings.process.listener_load(),
        shared_key: Some(settings.cluster.shared_key.as_str().into()),
        gate: Some(Arc::new(RequestGate::new(
            RequestMemory::new(settings.request_memory_bytes),
            settings.max_body_bytes,
            api_error::no_memory,
            Arc::clone(state.node.metrics()),
        ))),
    };
    let shared = Arc::clone(&state);
    let server = serve(listen, &options, move |app| {
        let max_body_bytes = shared.settings.max_body_bytes;
        app.app_data(web::Data::from(Arc::clone(&shared)))
            .app_data(api_error::json_config(max_body_bytes))
            .app_data(api_error::payload_config(max_body_bytes))
            .app_data(api_error::query_config())
            .service(single_method_resource(
                "/v1/addresses",
                web::get().to(addresses::get_addresses),
            ))
            .service(single_method_resource(
                "/v1/generate",
                web::post().to(generate::post_generate),
            ))
            .service(single_method_resource(
                "/v1/call",
                web::post().to(call::post_call),
            ))
            .service(single_method_resource(
                "/v1/permits",
                web::get().to(call_permits::get_permits),
            ))
            .service(single_method_resource(
                "/v1/status",
                web::get().to(status::get_status),
            ))
            .default_service(web::to(api_error::unknown_path));
        admin::add_routes(app);
        for path in admin::PATHS {
            let refuse = web::to(api_error::wrong_method);
            app.service(web::resource(path).default_service(refuse));
        }
        node::routes(app, &shared.node);
    })?;
    HostListWatcher::new(Arc::clone(&state.node)).start();
    Reporter::bind(Arc::clone(&state.node))?.start();
    Tailer::new(Arc::clone(&state)).start();
    emit_event(
        Event::ProcessStarted,
        &[("host", &state.node.name()), ("address", &server.address())],
    );
    Ok(EntryHandle { server, state })
}

/// A path that accepts one method; any other is answered with `wrong_method`.
fn single_method_resource(path: &str, route: Route) -> Resource {
    web::resource(path)
        .route(route)
        .default_service(web::to(api_error::wrong_method))
}

impl EntryHandle {
    /// Identity of the process, known hosts and configuration.
    pub fn node(&self) -> &Arc<Node> {
        &self.state.node
    }

    /// Base URL of the entry.
    pub fn url(&self) -> String {
        self.server.url()
    }

    /// Stops at once; requests in progress are cut off.
    pub async fn kill(&self) {
        self.server.kill().await;
    }

    /// Shuts down gracefully.
    ///
    /// The entry removes itself from the addresses, serves until those that callers
    /// hold have expired, and then completes the requests in progress. Those that last longer
    /// than the drain end with a refusal, and those that arrive and would last longer are
    /// refused at once.
    pub async fn stop(&self) {
        let node = &self.state.node;
        let started = Instant::now();
        let drain = Duration::from_millis(self.state.settings.drain_ms);
        let left = || drain.saturating_sub(started.elapsed());
        self.state.drain_end.start(drain);
        emit_event(Event::ProcessStopping, &[("host", &node.name())]);
        node.start_drain();
        self.server.close_after_answers();
        Reporter::send_reports(node).await;
        let lifetime = Duration::from_millis(self.state.settings.address_lifetime_ms);
        sleep(lifetime.min(left())).await;
        let earlier = pin!(self.server.wait_for_earlier());
        select(earlier, pin!(self.state.drain_end.reached())).await;
        sleep(KEPT_TIME.min(left() / 2)).await;
        let _ = timeout(left().max(LAST_ANSWERS_TIME), self.server.stop()).await;
        emit_event(Event::ProcessStopped, &[("host", &node.name())]);
    }
}
