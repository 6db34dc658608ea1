/// Where a host stands.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct HostLocation {
    /// Region.
    pub region: String,
    /// Failure domain inside the region.
    pub domain: String,
}
