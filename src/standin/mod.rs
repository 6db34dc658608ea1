//! Small stand-ins for the platform, with faults to order.

mod handle;

pub use handle::Handle;
