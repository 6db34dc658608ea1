//! bergamotfork distributes the weights of models to many hosts at once and routes
//! requests to the replicas that serve the models.
//!
//! The logic that decides does no I/O and takes the time as an argument: the fold of
//! the configuration log into a document, the plan of transfers, the table of permits
//! and the fair queue. Tests, specifications and the running system share this code.

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
