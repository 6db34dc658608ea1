//! Clients of the platform: log, origin, host list, engine and service.

mod hosts_client;
mod log_client;
mod order_no;

pub use hosts_client::HostList;
pub use hosts_client::HostsClient;
pub use log_client::LogClient;
pub use log_client::LogEntry;
pub use log_client::LogSlice;
pub use order_no::OrderNo;
