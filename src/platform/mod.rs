//! Clients of the platform: log, origin, host list, engine and service.

mod hosts_client;
mod log_client;
mod order_no;
mod service_client;

pub use hosts_client::HostList;
pub use hosts_client::HostsClient;
pub use log_client::LogClient;
pub use log_client::LogEntry;
pub use log_client::LogSlice;
pub use order_no::OrderNo;
pub use service_client::IDEMPOTENCY_KEY_HEADER;
pub use service_client::REQUEST_ID_HEADER;
pub use service_client::ServiceAnswer;
pub use service_client::ServiceCall;
pub use service_client::ServiceClient;
