//! The load and experiment tool: measurements, each against its own baseline.

mod control;
mod control_fleet;
mod control_result;
mod control_watch;

pub use control::ControlBench;
pub use control::ControlFault;
pub use control_result::ControlResult;
