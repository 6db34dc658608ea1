use std::sync::Arc;

use crate::calls::PermitKey;
use crate::clients::LogClient;
use crate::conf::EntrySettings;
use crate::entry::GenerateRouting;
use crate::entry::service_call_state::ServiceCallState;
use crate::links::DrainEnd;
use crate::node::Node;

/// State shared by the handlers of an entry.
#[derive(Debug)]
pub struct EntryState {
    /// Settings of the entry process.
    pub settings: EntrySettings,
    /// Identity of the process, known hosts and configuration.
    pub node: Arc<Node>,
    /// Client of the log stream that holds the configuration.
    pub log: LogClient,
    /// Dispatches and retry budget of service calls.
    pub calls: ServiceCallState,
    /// Key that seals permits.
    pub permit_key: PermitKey,
    /// Statistics of the endpoints and retry budget of token streams.
    pub routing: GenerateRouting,
    /// End of the drain, once the entry stops.
    pub drain_end: Arc<DrainEnd>,
}

impl EntryState {
    /// State of a process that just started.
    pub fn new(settings: EntrySettings) -> Self {
        let node = Arc::new(Node::new(
            settings.process.clone(),
            settings.platform.clone(),
            settings.cluster.clone(),
            None,
        ));
        let log = LogClient::new(&settings.platform.log_url, &settings.platform.config_stream)
            .with_simulated_partition(Arc::clone(node.simulated_partition()));
        let permit_key = PermitKey::derive(&settings.cluster.shared_key);
        let routing = GenerateRouting::new(&settings.process.name, settings.retry_budget_percent);
        Self {
            settings,
            node,
            log,
            calls: ServiceCallState::new(),
            permit_key,
            routing,
            drain_end: Arc::default(),
        }
    }
}
