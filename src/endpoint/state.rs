use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;

use crate::calls::PermitLimits;
use crate::calls::PermitTable;
use crate::conf::BackendSettings;
use crate::conf::EndpointSettings;
use crate::endpoint::WeightLinks;
use crate::endpoint::WeightsShare;
use crate::endpoint::call_desk::CallDesk;
use crate::node::Node;
use crate::weights::MemoryBudget;

/// State shared by the handlers of an endpoint.
#[derive(Debug)]
pub struct EndpointState {
    /// Settings of the process.
    pub settings: EndpointSettings,
    /// Identity, hosts and configuration.
    pub node: Arc<Node>,
    /// Weights on this host.
    pub weights: Arc<WeightsShare>,
    /// Calls of the plain service that run here.
    pub calls: CallDesk,
    permits: Mutex<PermitTable>,
}

impl EndpointState {
    /// State of a fresh process.
    pub fn new(settings: EndpointSettings) -> Self {
        let service = match &settings.backend {
            BackendSettings::Engine { .. } => None,
            BackendSettings::Service { name, .. } => Some(name.clone()),
        };
        let node = Arc::new(Node::new(
            settings.process.clone(),
            settings.platform.clone(),
            settings.cluster.clone(),
            service,
        ));
        let weights = weights_share(&settings, &node);
        let now_ms = node.now_ms();
        let permits = PermitTable::new(node.incarnation(), PermitLimits::default(), now_ms);
        Self {
            settings,
            node,
            calls: CallDesk::new(now_ms),
            permits: Mutex::new(permits),
            weights,
        }
    }

    /// Permits that ran, run or were refused here.
    pub fn permits(&self) -> MutexGuard<'_, PermitTable> {
        self.permits
            .lock()
            .expect("no holder of the permit table panics")
    }

    /// Address of the engine, unless a plain service is beside this process.
    pub fn engine_address(&self) -> Option<SocketAddr> {
        match &self.settings.backend {
            BackendSettings::Engine { url, .. } => url.strip_prefix("http://")?.parse().ok(),
            BackendSettings::Service { .. } => None,
        }
    }
}

fn weights_share(settings: &EndpointSettings, node: &Node) -> Arc<WeightsShare> {
    let weights = &settings.weights;
    let links = WeightLinks::new(
        weights.up_bytes_per_s,
        weights.down_bytes_per_s,
        weights.live_share_percent,
    );
    WeightsShare::new(
        node.name(),
        settings.process.region.clone(),
        links,
        MemoryBudget::new(weights.budget_bytes),
        Arc::clone(node.metrics()),
    )
}
