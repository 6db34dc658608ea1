use std::sync::Arc;
use std::time::Duration;

use actix::Actor;
use actix::AsyncContext;
use actix::Context;
use actix::WrapFuture;

use crate::clients::HostsClient;
use crate::node::Node;
use crate::observe::CounterKind;

/// Polls the platform's list of hosts and merges it into the roster.
#[derive(Debug)]
pub struct HostListWatcher {
    node: Arc<Node>,
    client: HostsClient,
}

impl HostListWatcher {
    /// Creates the watcher for the platform of `node`.
    pub fn new(node: Arc<Node>) -> Self {
        let client = HostsClient::new(&node.platform().hosts_url)
            .with_simulated_partition(Arc::clone(node.simulated_partition()));
        Self { node, client }
    }
}

impl Actor for HostListWatcher {
    type Context = Context<Self>;

    fn started(&mut self, context: &mut Self::Context) {
        let node = Arc::clone(&self.node);
        let client = self.client.clone();
        let watching = async move {
            let pause = Duration::from_millis(node.cluster().hosts_poll_ms);
            loop {
                poll_list(&node, &client).await;
                actix_rt::time::sleep(pause).await;
            }
        };
        context.spawn(watching.into_actor(self));
    }
}

/// Reads the list once and merges it; removes only expired hosts if the list has not
/// changed or is unavailable.
async fn poll_list(node: &Node, client: &HostsClient) {
    node.metrics()
        .add(CounterKind::PlatformCalls, 1, "call", "hosts_read");
    let since = node.roster().list_version();
    let read = client.fetch_list(since).await;
    let now_ms = node.now_ms();
    match read {
        Ok(Some(list)) => {
            node.roster().merge_list(&list, now_ms);
        }
        // An outage of the list keeps the listed hosts.
        Ok(None) | Err(_) => node.roster().remove_expired(now_ms),
    }
}
