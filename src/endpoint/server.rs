use std::io;
use std::pin::pin;
use std::sync::Arc;
use std::time::Duration;

use actix::Actor;
use actix_rt::time::timeout;
use actix_web::web;

use crate::conf::EndpointSettings;
use crate::endpoint::EndpointState;
use crate::endpoint::WeightsHosts;
use crate::endpoint::WeightsManager;
use crate::endpoint::call;
use crate::endpoint::call_ticker::CallTicker;
use crate::endpoint::configure_weights_routes;
use crate::endpoint::generate;
use crate::endpoint::generate_load::LoadUpdater;
use crate::links::LAST_ANSWERS_TIME;
use crate::links::ServeOptions;
use crate::links::serve;
use crate::node;
use crate::node::HostListWatcher;
use crate::node::Node;
use crate::node::Reporter;
use crate::observe::Event;
use crate::observe::emit_event;
use crate::standin::HttpServerHandle;

/// Largest body of a request from an entry or a peer, in bytes.
const MAX_BODY_BYTES: usize = 64 << 20;

/// Handle of a running endpoint.
#[derive(Debug, Clone)]
pub struct EndpointHandle {
    server: HttpServerHandle,
    state: Arc<EndpointState>,
}

/// Starts an endpoint: its HTTP server, host list watcher, heartbeats and housekeeping of
/// calls, and beside an engine its weights manager and load updater.
///
/// # Errors
///
/// Returns the I/O error when its address can't be bound.
pub async fn start_endpoint(settings: EndpointSettings) -> io::Result<EndpointHandle> {
    let options = ServeOptions {
        drain_ms: settings.drain_ms,
        load: settings.process.listener_load(),
        shared_key: Some(settings.cluster.shared_key.as_str().into()),
        ..ServeOptions::default()
    };
    let listen = settings.process.listen;
    let state = Arc::new(EndpointState::new(settings));
    let shared = Arc::clone(&state);
    let server = serve(listen, &options, move |app| {
        app.app_data(web::Data::from(Arc::clone(&shared)))
            .app_data(web::PayloadConfig::new(MAX_BODY_BYTES))
            .route("/x/generate", web::post().to(generate::handle_generate))
            .route("/x/call", web::post().to(call::handle_call))
            .route("/x/nonce", web::post().to(call::handle_permit_status));
        let hosts = WeightsHosts::single(
            Arc::clone(&shared.weights),
            shared.node.cluster().shared_key.clone(),
        );
        configure_weights_routes(app, hosts);
        node::routes(app, &shared.node);
    })?;
    CallTicker::new(Arc::clone(&state)).start();
    HostListWatcher::new(Arc::clone(&state.node)).start();
    Reporter::bind(Arc::clone(&state.node))?.start();
    if let Some(engine) = state.engine_address() {
        WeightsManager::new(Arc::clone(&state), engine).start();
        LoadUpdater::new(Arc::clone(&state)).start();
    }
    emit_event(
        Event::ProcessStarted,
        &[("host", &state.node.name()), ("address", &server.address())],
    );
    Ok(EndpointHandle { server, state })
}

impl EndpointHandle {
    /// Identity of the endpoint, known hosts and configuration.
    pub fn node(&self) -> &Arc<Node> {
        &self.state.node
    }

    /// Stops at once; requests in progress are cut off.
    pub async fn kill(&self) {
        self.server.kill().await;
    }

    /// Shuts down gracefully: notifies the entries, then drains the requests in progress.
    /// Those that last longer end with a refusal.
    pub async fn stop(&self) {
        let node = &self.state.node;
        emit_event(Event::ProcessStopping, &[("host", &node.name())]);
        let drain = Duration::from_millis(self.state.settings.drain_ms);
        node.start_drain();
        self.state.drain_end.start(drain);
        self.server.close_after_answers();
        Reporter::send_reports(node).await;
        let mut drained = pin!(async {
            // Stopping the server waits for connections only, and a call may outlive its
            // connection.
            self.state.calls.wait_until_drained().await;
            self.server.stop().await;
        });
        let last = LAST_ANSWERS_TIME.min(drain / 4);
        if timeout(drain - last, drained.as_mut()).await.is_err() {
            let _ = timeout(last, drained).await;
        }
        emit_event(Event::ProcessStopped, &[("host", &node.name())]);
    }
}
