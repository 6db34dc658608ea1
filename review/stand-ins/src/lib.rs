//! Stand-ins of the platform around real processes of the project: its store, its clients and
//! its replicas, on loopback addresses. They do what the users' pages say, and no more.

pub mod crashing;
pub mod deployment;
pub mod http;
pub mod process;
pub mod record;
pub mod replica;
pub mod store;
