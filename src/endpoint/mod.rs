//! The endpoint role: the only process that gives its engine or service orders or calls.

mod call;
mod call_beats;
mod call_desk;
mod call_run;
mod call_ticker;
mod generate;
mod peer_routes;
mod server;
mod state;
mod weights_naive;

pub use server::EndpointHandle;
pub use server::start;
pub use state::EndpointState;
