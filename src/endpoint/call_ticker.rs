use std::sync::Arc;
use std::time::Duration;

use actix::Actor;
use actix::AsyncContext;
use actix::Context;

use crate::endpoint::EndpointState;
use crate::endpoint::call_registry::TICK_INTERVAL_MS;

/// Runs the periodic housekeeping of calls.
#[derive(Debug)]
pub(super) struct CallTicker {
    state: Arc<EndpointState>,
}

impl CallTicker {
    pub(super) fn new(state: Arc<EndpointState>) -> Self {
        Self { state }
    }
}

impl Actor for CallTicker {
    type Context = Context<Self>;

    fn started(&mut self, context: &mut Self::Context) {
        self.state.run_call_housekeeping();
        let pause = Duration::from_millis(TICK_INTERVAL_MS);
        context.run_interval(pause, |this, _| this.state.run_call_housekeeping());
    }
}

impl EndpointState {
    /// Detects pauses of the process, drops expired suspects and advances the permit epoch.
    pub(super) fn run_call_housekeeping(&self) {
        let now_ms = self.node.now_ms();
        self.calls.pauses().tick(now_ms);
        self.node.suspects().drop_expired(now_ms);
        let epoch = {
            let mut permits = self.permits();
            permits.advance_epoch(now_ms);
            permits.epoch()
        };
        self.node.own_state().permit_epoch = epoch;
    }
}
