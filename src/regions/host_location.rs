/// Region and failure domain of a host.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct HostLocation {
    /// Name of the region.
    pub region: String,
    /// Name of the failure domain within the region.
    pub domain: String,
}
