//! The endpoint role: the only process that gives its engine or service orders or calls.

mod call;
mod call_beats;
mod call_desk;
mod call_run;
mod call_ticker;
mod engine_watch;
mod generate;
mod generate_load;
mod generate_queue;
mod generate_run;
mod generate_server;
mod peer_routes;
mod server;
mod state;
mod weights_naive;

pub use generate_queue::GenerateQueue;
pub use generate_server::GenerateServer;
pub use server::EndpointHandle;
pub use server::start;
pub use state::EndpointState;
pub use state::SLOTS_PER_RESERVED;
