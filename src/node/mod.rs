//! What every process of the system has: an identity, the hosts it knows, the
//! configuration it has folded, and the reports it exchanges with entries.

mod config_pull;
#[allow(clippy::module_inception)]
mod node;
mod reporter;
mod routes;
mod watcher;

pub use config_pull::ConfigPage;
pub use config_pull::pull_config;
pub use node::Node;
pub use reporter::Reporter;
pub use routes::routes;
pub use watcher::Watcher;
