//! Transfers between hosts over loopback TCP, under the faults they must survive.

mod faults;
mod fleet;
mod peers;
