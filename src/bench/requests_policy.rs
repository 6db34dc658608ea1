/// Policy that a fleet runs.
#[derive(Debug, Clone, Copy, PartialEq, Eq, clap::ValueEnum)]
pub enum RequestsPolicy {
    /// The entries and endpoints of this system.
    Product,
    /// Round robin over endpoints that run requests in order.
    Baseline,
    /// Both policies, one after the other.
    Both,
}
