use std::net::SocketAddr;

/// What an endpoint process is told at its start.
#[derive(Debug, Clone)]
pub struct StagingSettings {
    /// Name of the host.
    pub name: String,
    /// Failure domain.
    pub failure_domain: String,
    /// Region of each failure domain.
    pub regions: Vec<(String, String)>,
    /// Address of the replica on this host.
    pub replica: SocketAddr,
    /// Service of the replica.
    pub service: String,
    /// Address for datagrams and internal calls.
    pub internal: SocketAddr,
    /// Address on which metrics are read.
    pub metrics: SocketAddr,
    /// Time within which new weights must answer every request.
    pub weights_apply_ms: u64,
}

impl StagingSettings {
    /// Region of a failure domain; its own name when it is not listed.
    pub fn region<'a>(&'a self, failure_domain: &'a str) -> &'a str {
        self.regions
            .iter()
            .find(|pair| pair.0 == failure_domain)
            .map_or(failure_domain, |pair| pair.1.as_str())
    }
}
