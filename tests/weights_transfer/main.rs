//! Tests of transfers between hosts over loopback TCP, with faults of the origin and
//! of peers that a transfer must tolerate.

mod faults;
mod fleet;
mod peers;
