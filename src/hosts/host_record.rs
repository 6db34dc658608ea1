use std::net::SocketAddr;

use serde::Deserialize;
use serde::Serialize;

/// What runs on a host.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum HostRole {
    /// An entry process.
    Entry,
    /// An endpoint process.
    Endpoint,
}

/// What the platform's list says of a host.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum HostState {
    /// The host takes work.
    Live,
    /// The host finishes its work and goes.
    Leaving,
}

/// One line of the platform's lagging list of hosts.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct HostRecord {
    /// Name, unique in the list.
    pub name: String,
    /// Address of the process on it.
    pub address: SocketAddr,
    /// What runs on it.
    pub role: HostRole,
    /// Region it stands in.
    pub region: String,
    /// Failure domain inside the region.
    pub domain: String,
    /// Plain service beside an endpoint; `None` beside a model engine.
    #[serde(default)]
    pub service: Option<String>,
    /// Whether it is leaving.
    pub state: HostState,
}
