//! Hosts, their incarnations, and the merged live list.

mod host_record;

pub use host_record::HostRecord;
pub use host_record::HostRole;
pub use host_record::HostState;
