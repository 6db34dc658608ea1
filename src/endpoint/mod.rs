//! Endpoint role: the process in front of one engine or plain service.
//!
//! Every order to the engine and every call to the service passes through it.
//! Beside an engine it also fetches model weights and has the engine load them.

mod call;
mod call_heartbeats;
mod call_registry;
mod call_run;
mod call_ticker;
mod engine_health;
mod generate;
mod generate_load;
mod generate_queue;
mod generate_run;
mod generate_server;
mod server;
mod state;
mod weights_engine;
mod weights_http;
mod weights_links;
mod weights_manager;
mod weights_member;
mod weights_rollout;
mod weights_signal;
mod weights_state;
mod weights_tracked;
mod weights_transfer;
mod weights_version;

pub use generate_queue::GenerateQueue;
pub use generate_server::GenerateServer;
pub use server::EndpointHandle;
pub use server::start_endpoint;
pub use state::EndpointState;
pub use state::SLOTS_PER_RESERVED_SLOT;
pub use weights_http::WeightsHosts;
pub use weights_http::configure_weights_routes;
pub use weights_links::WeightLink;
pub use weights_links::WeightLinks;
pub use weights_manager::WeightsManager;
pub use weights_member::SwarmMember;
pub use weights_state::WeightsState;
pub use weights_transfer::SetMembers;
pub use weights_transfer::StopTransfer;
pub use weights_transfer::TransferOptions;
pub use weights_transfer::WeightsTransfer;
pub use weights_version::VersionStageKind;
pub use weights_version::WeightsVersion;
