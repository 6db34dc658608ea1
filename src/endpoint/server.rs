use std::io;
use std::sync::Arc;
use std::time::Duration;

use actix::Actor;
use actix_rt::time::timeout;
use actix_web::web;

use crate::conf::EndpointSettings;
use crate::endpoint::EndpointState;
use crate::endpoint::WeightsHosts;
use crate::endpoint::WeightsKeeper;
use crate::endpoint::call;
use crate::endpoint::call_ticker::CallTicker;
use crate::endpoint::configure_weights;
use crate::endpoint::generate;
use crate::endpoint::generate_load::LoadKeeper;
use crate::links::ServeOptions;
use crate::links::serve;
use crate::node;
use crate::node::HostListWatcher;
use crate::node::Node;
use crate::node::Reporter;
use crate::observe::Event;
use crate::observe::emit_event;
use crate::standin::Handle;

/// Largest body of a call from an entry.
const MAX_BODY_BYTES: usize = 64 << 20;

/// A running endpoint.
#[derive(Debug, Clone)]
pub struct EndpointHandle {
    server: Handle,
    state: Arc<EndpointState>,
}

/// Starts an endpoint.
///
/// # Errors
///
/// The I/O error when the address cannot be bound.
pub async fn start(settings: EndpointSettings) -> io::Result<EndpointHandle> {
    let options = ServeOptions {
        drain_ms: settings.drain_ms,
        ..ServeOptions::default()
    };
    let listen = settings.process.listen;
    let state = Arc::new(EndpointState::new(settings));
    let shared = Arc::clone(&state);
    let server = serve(listen, &options, move |app| {
        app.app_data(web::Data::from(Arc::clone(&shared)))
            .app_data(web::PayloadConfig::new(MAX_BODY_BYTES))
            .route("/x/generate", web::post().to(generate::generate))
            .route("/x/call", web::post().to(call::call))
            .route("/x/nonce", web::post().to(call::nonce));
        let hosts = WeightsHosts::one(
            Arc::clone(&shared.weights),
            shared.node.cluster().shared_key.clone(),
        );
        configure_weights(app, hosts);
        node::routes(app, &shared.node);
    })?;
    CallTicker::new(Arc::clone(&state)).start();
    HostListWatcher::new(Arc::clone(&state.node)).start();
    Reporter::bind(Arc::clone(&state.node))?.start();
    if let Some(engine) = state.engine_address() {
        WeightsKeeper::new(Arc::clone(&state), engine).start();
        LoadKeeper::new(Arc::clone(&state)).start();
    }
    emit_event(
        Event::ProcessStarted,
        &[("host", &state.node.name()), ("address", &server.address())],
    );
    Ok(EndpointHandle { server, state })
}

impl EndpointHandle {
    /// Identity, hosts and configuration of the endpoint.
    pub fn node(&self) -> &Arc<Node> {
        &self.state.node
    }

    /// Stops at once; requests in progress are cut.
    pub async fn kill(&self) {
        self.server.kill().await;
    }

    /// Leaves: tells the entries, then finishes the requests in progress.
    pub async fn stop(&self) {
        let node = &self.state.node;
        emit_event(Event::ProcessStopping, &[("host", &node.name())]);
        node.start_drain();
        Reporter::send_reports(node).await;
        let drain = Duration::from_millis(self.state.settings.drain_ms);
        // Calls outlive their connections, which the server alone waits for.
        let _ = timeout(drain, self.state.calls.drained()).await;
        self.server.stop().await;
        emit_event(Event::ProcessStopped, &[("host", &node.name())]);
    }
}
