//! Calls of plain services across separate processes, under faults.

#[path = "../support/mod.rs"]
mod support;

mod caller;
mod desk;
mod forwarder;
mod history;
mod leaving;
mod poison;
mod silence;
mod storm;
