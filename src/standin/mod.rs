//! Small stand-ins for the services of the platform, with faults that tests can inject.

pub mod engine;
pub mod hosts;
pub mod log;
pub mod origin;
pub mod service;

mod http_server_handle;
mod origin_store;

pub use http_server_handle::HttpServerHandle;
