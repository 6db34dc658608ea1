//! The entry role: the HTTP API for callers and administrators.
//!
//! An entry lists the addresses of entries, issues permits, routes requests to
//! endpoints and edits the configuration.

mod addresses;
pub mod admin;
pub mod api_error;
mod auth;
mod call;
mod call_answer;
mod call_exchange;
mod call_permits;
mod error_code;
mod generate;
mod generate_attempt;
mod generate_event;
mod generate_relay;
mod generate_routing;
mod idempotent_call;
mod log_reader;
mod non_idempotent_call;
mod server;
mod service_access;
mod service_call_state;
mod state;
mod status;
mod status_view;
mod tailer;

pub use api_error::ApiError;
pub use error_code::ErrorCode;
pub use generate::post_generate;
pub use generate_routing::GenerateRouting;
pub use server::EntryHandle;
pub use server::start_entry;
pub use state::EntryState;
pub use status_view::HoldView;
pub use status_view::HostView;
pub use status_view::ModelView;
pub use status_view::StatusView;
