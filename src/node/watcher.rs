use std::sync::Arc;
use std::time::Duration;

use actix::Actor;
use actix::AsyncContext;
use actix::Context;
use actix::WrapFuture;

use crate::clients::HostsClient;
use crate::node::Node;
use crate::observe::CounterKind;

/// Reads the platform's list of hosts and merges it into the roster.
#[derive(Debug)]
pub struct Watcher {
    node: Arc<Node>,
    client: HostsClient,
}

impl Watcher {
    /// Watcher of `node`'s platform.
    pub fn new(node: Arc<Node>) -> Self {
        let client = HostsClient::new(&node.platform().hosts_url)
            .with_simulated_partition(Arc::clone(node.cuts()));
        Self { node, client }
    }
}

impl Actor for Watcher {
    type Context = Context<Self>;

    fn started(&mut self, context: &mut Self::Context) {
        let node = Arc::clone(&self.node);
        let client = self.client.clone();
        let watching = async move {
            let pause = Duration::from_millis(node.cluster().hosts_poll_ms);
            loop {
                read_once(&node, &client).await;
                actix_rt::time::sleep(pause).await;
            }
        };
        context.spawn(watching.into_actor(self));
    }
}

async fn read_once(node: &Node, client: &HostsClient) {
    node.metrics()
        .add(CounterKind::PlatformCalls, 1, "call", "hosts_read");
    let since = node.roster().list_version();
    let read = client.fetch_list(since).await;
    let now_ms = node.now_ms();
    match read {
        Ok(Some(list)) => {
            node.roster().take_list(&list, now_ms);
        }
        // An outage of the list keeps the last known hosts.
        Ok(None) | Err(_) => node.roster().forget(now_ms),
    }
}
