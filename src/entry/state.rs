use std::sync::Arc;

use crate::calls::PermitKey;
use crate::clients::LogClient;
use crate::conf::EntrySettings;
use crate::entry::Routing;
use crate::entry::call_book::CallBook;
use crate::node::Node;

/// State shared by the handlers of an entry.
#[derive(Debug)]
pub struct EntryState {
    /// Settings of the process.
    pub settings: EntrySettings,
    /// Identity, hosts and configuration.
    pub node: Arc<Node>,
    /// The stream of the log that carries the configuration.
    pub log: LogClient,
    /// What it remembers of the calls of plain services.
    pub calls: CallBook,
    /// Seals permits.
    pub permit_key: PermitKey,
    /// Load and pace of the endpoints, and retries left.
    pub routing: Routing,
}

impl EntryState {
    /// State of a fresh process.
    pub fn new(settings: EntrySettings) -> Self {
        let node = Arc::new(Node::new(
            settings.process.clone(),
            settings.platform.clone(),
            settings.cluster.clone(),
            None,
        ));
        let log = LogClient::new(&settings.platform.log_url, &settings.platform.config_stream)
            .with_simulated_partition(Arc::clone(node.cuts()));
        let permit_key = PermitKey::derive(&settings.cluster.shared_key);
        let routing = Routing::new(&settings.process.name, settings.retry_budget_percent);
        Self {
            settings,
            node,
            log,
            calls: CallBook::new(),
            permit_key,
            routing,
        }
    }
}
