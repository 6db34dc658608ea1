use std::net::SocketAddr;

use serde::Deserialize;
use serde::Serialize;

/// Role of the process on a host.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum HostRole {
    /// An entry process.
    Entry,
    /// An endpoint process.
    Endpoint,
}

/// State of a host in the platform's list.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ListedState {
    /// The host takes work.
    Live,
    /// The host is draining and will stop.
    Leaving,
}

/// One host in the platform's list, which may lag behind the actual hosts.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct HostRecord {
    /// Name of the host, unique in the list.
    pub name: String,
    /// Address of the process on the host.
    pub address: SocketAddr,
    /// Role of the process.
    pub role: HostRole,
    /// Region of the host.
    pub region: String,
    /// Failure domain within the region.
    pub domain: String,
    /// Plain service that the endpoint serves; `None` if it serves models.
    #[serde(default)]
    pub service: Option<String>,
    /// Whether the host takes work or is draining.
    pub state: ListedState,
}
