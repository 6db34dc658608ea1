//! Small stand-ins for the platform, with faults to order.

pub mod engine;
mod handle;
pub mod hosts;
pub mod log;

pub use handle::Handle;
