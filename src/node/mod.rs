//! What every process of the system has: an identity, the hosts it knows, the
//! configuration it has folded, and the reports it exchanges with entries.

mod admission;
mod beat_receiver;
mod config_request;
#[allow(clippy::module_inception)]
mod node;
mod reporter;
mod routes;
mod targets;
mod watcher;

pub use admission::Admission;
pub use admission::CUT_OFF_MS;
pub use config_request::ConfigRequest;
pub use config_request::emit_notices;
pub use config_request::fetch_config;
pub use node::Node;
pub use reporter::Reporter;
pub use routes::routes;
pub use watcher::Watcher;
