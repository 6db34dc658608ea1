//! The endpoint role: the only process that gives its engine or service orders or calls.

mod generate_queue;
mod generate_run;
mod generate_server;

pub use generate_queue::GenerateQueue;
pub use generate_server::GenerateServer;
