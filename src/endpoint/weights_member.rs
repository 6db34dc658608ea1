use std::net::SocketAddr;

use crate::weights::SwarmHost;

/// A host of the swarm and its address.
#[derive(Debug, Clone)]
pub struct SwarmMember {
    /// The host as the plan sees it.
    pub host: SwarmHost,
    /// Address of its process.
    pub address: SocketAddr,
}
