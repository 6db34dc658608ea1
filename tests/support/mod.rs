//! Runs a cluster of separate processes on loopback for integration tests.
#![allow(dead_code)]
#![allow(unused_imports)]

mod cluster;
mod process;
mod wait;

pub use cluster::Cluster;
pub use cluster::TOKEN;
pub use process::Process;
pub use wait::until;
