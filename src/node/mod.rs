//! Parts common to all processes: identity, roster of hosts, configuration, and
//! the heartbeats and reports exchanged with entries.

mod config_admission;
mod config_request;
mod datagram_receiver;
mod host_list_watcher;
#[allow(clippy::module_inception)]
mod node;
mod report_targets;
mod reporter;
mod routes;

pub use config_admission::CUT_OFF_MS;
pub use config_admission::ConfigAdmission;
pub use config_request::ConfigRequest;
pub use config_request::emit_notices;
pub use config_request::fetch_config;
pub use host_list_watcher::HostListWatcher;
pub use node::Node;
pub use reporter::Reporter;
pub use routes::routes;
