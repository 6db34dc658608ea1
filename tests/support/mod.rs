//! Starts the system as separate processes on loopback and ends them by id.
#![allow(dead_code)]
#![allow(unused_imports)]

mod cluster;
mod process;
mod wait;

pub use cluster::Cluster;
pub use cluster::TOKEN;
pub use process::Process;
pub use wait::until;
