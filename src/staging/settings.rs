use std::net::SocketAddr;

/// Settings of an endpoint process.
#[derive(Debug, Clone)]
pub struct StagingSettings {
    /// Name of the host.
    pub name: String,
    /// Failure domain of the host.
    pub failure_domain: String,
    /// Pairs of a failure domain and its region.
    pub regions: Vec<(String, String)>,
    /// Address of the replica on this host.
    pub replica: SocketAddr,
    /// Service to which the replica belongs.
    pub service: String,
    /// Address for datagrams and internal calls.
    pub internal: SocketAddr,
    /// Address that serves metrics.
    pub metrics: SocketAddr,
    /// Time after the declaration of a version within which it must serve every
    /// request, in ms.
    pub weights_apply_ms: u64,
    /// Memory of the host for this process, in bytes; None without a limit.
    pub memory_bytes: Option<usize>,
}

impl StagingSettings {
    /// Returns the region of a failure domain, or its own name when it is not listed.
    pub fn region<'a>(&'a self, failure_domain: &'a str) -> &'a str {
        self.regions
            .iter()
            .find(|pair| pair.0 == failure_domain)
            .map_or(failure_domain, |pair| pair.1.as_str())
    }
}
