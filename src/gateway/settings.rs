use std::net::SocketAddr;

/// What an entry process is told at its start.
#[derive(Debug, Clone)]
pub struct GatewaySettings {
    /// Name of the host.
    pub name: String,
    /// Failure domain.
    pub failure_domain: String,
    /// Region of each failure domain.
    pub regions: Vec<(String, String)>,
    /// Address for clients.
    pub front: SocketAddr,
    /// Address of the readiness check.
    pub ready: Option<SocketAddr>,
    /// Address of the directory.
    pub directory: Option<SocketAddr>,
    /// Address for beats, internal calls and metrics.
    pub internal: SocketAddr,
    /// Address on which metrics are read.
    pub metrics: SocketAddr,
    /// Time between a stop signal and the kill.
    pub grace_ms: u64,
    /// Time that clients keep a directory answer.
    pub directory_ttl_s: u64,
    /// Share of the requests that may be sent once more.
    pub retry_ratio: f64,
    /// Further sends that all entries may make within a window.
    pub retry_extra: f64,
    /// Window of the budget.
    pub retry_window_ms: u64,
    /// Time within which new weights must answer every request.
    pub weights_apply_ms: u64,
    /// Bandwidth of the host's link.
    pub link_mbps: f64,
    /// Connections of clients that may be open at once.
    pub max_client_connections: usize,
}
