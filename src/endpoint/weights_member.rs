use std::net::SocketAddr;

use crate::weights::SwarmHost;

/// Host that takes part in the transfer of a version, with its address.
#[derive(Debug, Clone)]
pub struct SwarmMember {
    /// Name, region and presence, from which fetches are planned.
    pub host: SwarmHost,
    /// Address of the host's endpoint process.
    pub address: SocketAddr,
}
