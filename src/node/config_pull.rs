use std::net::SocketAddr;

use serde::Deserialize;
use serde::Serialize;

use crate::document::Checkpoint;
use crate::node::Node;
use crate::observe::Event;
use crate::observe::emit;

/// Time a peer has to answer a pull.
const PULL_WAIT_MS: u64 = 3000;

/// The configuration of a peer.
#[derive(Debug, Serialize, Deserialize)]
pub struct ConfigPage {
    /// Its state at its head.
    pub checkpoint: Checkpoint,
}

/// Takes over the configuration of the peer at `address` if it is further on.
pub async fn pull_config(node: &Node, address: SocketAddr) {
    let url = format!("http://{address}/x/config");
    let page: Result<ConfigPage, _> = node.ask(&url, &(), PULL_WAIT_MS).await;
    let Ok(page) = page else { return };
    let before = node.fold().head();
    node.fold().adopt(&page.checkpoint);
    let head = node.fold().head();
    if head > before {
        node.set_ready(true);
        emit(
            Event::ConfigAdvanced,
            &[("host", &node.name()), ("offset", &head)],
        );
    }
}
