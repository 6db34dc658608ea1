//! Small stand-ins for the platform, with faults to order.

pub mod engine;
mod handle;

pub use handle::Handle;
