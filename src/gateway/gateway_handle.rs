use std::cell::RefCell;
use std::rc::Rc;

use crate::gateway::GatewayState;
use crate::observe::Metrics;
use crate::observe::PortRefusals;

/// Sends the requests of clients to replicas, and the responses to the clients.
#[derive(Debug)]
pub struct Gateway<D> {
    /// State of the process.
    pub state: Rc<RefCell<GatewayState>>,
    /// Wire protocol of the platform.
    pub dialect: Rc<D>,
    /// Metrics of the process.
    pub metrics: Rc<Metrics>,
    /// Clients that are refused.
    pub refusals: PortRefusals,
}

impl<D> Clone for Gateway<D> {
    fn clone(&self) -> Self {
        Self {
            state: self.state.clone(),
            dialect: self.dialect.clone(),
            metrics: self.metrics.clone(),
            refusals: self.refusals.clone(),
        }
    }
}
