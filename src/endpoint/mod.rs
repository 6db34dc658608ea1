//! The endpoint role: the only process that gives its engine or service orders or calls.

mod call;
mod call_beats;
mod call_desk;
mod call_run;
mod call_ticker;
mod generate;
mod server;
mod state;
mod weights_engine;
mod weights_http;
mod weights_keeper;
mod weights_links;
mod weights_member;
mod weights_share;
mod weights_signal;
mod weights_tracked;
mod weights_transfer;
mod weights_turns;
mod weights_version;

pub use server::EndpointHandle;
pub use server::start;
pub use state::EndpointState;
pub use weights_http::WeightsHosts;
pub use weights_http::configure_weights;
pub use weights_keeper::WeightsKeeper;
pub use weights_links::WeightLink;
pub use weights_links::WeightLinks;
pub use weights_member::SwarmMember;
pub use weights_share::WeightsShare;
pub use weights_transfer::SetMembers;
pub use weights_transfer::StopTransfer;
pub use weights_transfer::Transfer;
pub use weights_transfer::TransferOptions;
pub use weights_version::StageName;
pub use weights_version::WeightsVersion;
