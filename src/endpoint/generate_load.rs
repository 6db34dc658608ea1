use std::sync::Arc;
use std::time::Duration;

use actix::Actor;
use actix::AsyncContext;
use actix::Context;

use crate::endpoint::EndpointState;

/// Interval at which the reported load is updated.
const REFRESH_INTERVAL: Duration = Duration::from_millis(200);

/// Copies the load of the queue into the state that the process reports.
#[derive(Debug)]
pub struct LoadUpdater {
    state: Arc<EndpointState>,
}

impl LoadUpdater {
    /// Updater for the load of `state`.
    pub fn new(state: Arc<EndpointState>) -> Self {
        Self { state }
    }
}

impl Actor for LoadUpdater {
    type Context = Context<Self>;

    fn started(&mut self, context: &mut Self::Context) {
        context.run_interval(REFRESH_INTERVAL, |this, _| {
            if let Some(server) = &this.state.generate {
                this.state.node.own_state().load = server.queue().load();
            }
        });
    }
}
