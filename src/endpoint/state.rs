use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;

use crate::calls::PermitLimits;
use crate::calls::PermitTable;
use crate::clients::EngineClient;
use crate::conf::BackendSettings;
use crate::conf::EndpointSettings;
use crate::contracts::QueueLimits;
use crate::endpoint::GenerateQueue;
use crate::endpoint::GenerateServer;
use crate::endpoint::WeightLinks;
use crate::endpoint::WeightsState;
use crate::endpoint::call_registry::CallRegistry;
use crate::links::DrainEnd;
use crate::node::Node;
use crate::weights::MemoryBudget;

/// Number of engine slots for each slot that is reserved for branches below their share.
pub const SLOTS_PER_RESERVED_SLOT: u32 = 32;

/// Number of full branch queues that fit into the queue of the endpoint.
const FULL_BRANCH_QUEUES: usize = 4;

/// State shared by the handlers of an endpoint.
#[derive(Debug)]
pub struct EndpointState {
    /// Settings of the process.
    pub settings: EndpointSettings,
    /// Identity of the process, known hosts and configuration.
    pub node: Arc<Node>,
    /// Running calls to the plain service.
    pub calls: CallRegistry,
    /// Weights on this host.
    pub weights: Arc<WeightsState>,
    /// Server of generate requests; `None` beside a plain service.
    pub generate: Option<GenerateServer>,
    /// End of the drain, once the process stops.
    pub drain_end: Arc<DrainEnd>,
    permits: Mutex<PermitTable>,
}

impl EndpointState {
    /// State of a process that starts with these settings.
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
        let now_ms = node.now_ms();
        let permits = PermitTable::new(node.incarnation(), PermitLimits::default(), now_ms);
        let weights = weights_state(&settings, &node);
        let drain_end: Arc<DrainEnd> = Arc::default();
        let generate = engine_address(&settings.backend).map(|address| {
            let queue = GenerateQueue::new(QueueLimits {
                slots: settings.slots as u32,
                reserved_slots: settings.slots as u32 / SLOTS_PER_RESERVED_SLOT,
                max_waiting_per_branch: settings.queue_limit as usize,
                max_waiting: settings.queue_limit as usize * FULL_BRANCH_QUEUES,
            });
            GenerateServer::new(queue, EngineClient::new(address), Arc::clone(&drain_end))
        });
        Self {
            settings,
            node,
            calls: CallRegistry::new(now_ms),
            generate,
            drain_end,
            permits: Mutex::new(permits),
            weights,
        }
    }

    /// Permits that have run, are running or were refused here.
    pub fn permits(&self) -> MutexGuard<'_, PermitTable> {
        self.permits
            .lock()
            .expect("no holder of the permit table panics")
    }

    /// Address of the engine; `None` beside a plain service.
    pub fn engine_address(&self) -> Option<SocketAddr> {
        engine_address(&self.settings.backend)
    }
}

/// Address of the engine in the settings; `None` beside a plain service.
fn engine_address(backend: &BackendSettings) -> Option<SocketAddr> {
    match backend {
        BackendSettings::Engine { url, .. } => url.strip_prefix("http://")?.parse().ok(),
        BackendSettings::Service { .. } => None,
    }
}

/// State for weights with the links and the memory budget of the settings.
fn weights_state(settings: &EndpointSettings, node: &Node) -> Arc<WeightsState> {
    let weights = &settings.weights;
    let links = WeightLinks::new(
        weights.up_bytes_per_s,
        weights.down_bytes_per_s,
        weights.live_share_percent,
    );
    WeightsState::new(
        node.name(),
        settings.process.region.clone(),
        links,
        MemoryBudget::new(weights.budget_bytes),
        Arc::clone(node.metrics()),
    )
}
