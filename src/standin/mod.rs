//! Small stand-ins for the platform, with faults to order.

pub mod engine;
pub mod hosts;
pub mod log;
pub mod origin;
pub mod service;

mod http_server_handle;
mod origin_store;

pub use http_server_handle::HttpServerHandle;
