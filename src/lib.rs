//! bergamotfork distributes model weights to hosts in bursts and routes live
//! requests to the replicas that serve them.
//!
//! Decision logic (the document fold, the transfer plan, the permit table, the
//! fair queue) does no I/O and takes time as an argument, so that tests,
//! specifications and the running system execute the same code.

pub mod bench;
pub mod calls;
pub mod cli;
pub mod clients;
pub mod conf;
pub mod contracts;
pub mod document;
pub mod endpoint;
pub mod entry;
pub mod fleet;
pub mod gateway;
pub mod hosts;
pub mod http1;
pub mod links;
pub mod node;
pub mod observe;
pub mod regions;
pub mod staging;
pub mod standin;
pub mod weights;
