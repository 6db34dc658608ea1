//! Small stand-ins for the platform, with faults to order.

pub mod hosts;
pub mod log;

mod handle;

pub use handle::Handle;
