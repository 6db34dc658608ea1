//! Location of hosts in regions and failure domains.

mod host_location;
mod spread;

pub use host_location::HostLocation;
pub use spread::spread_over_domains;
