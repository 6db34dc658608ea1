//! Answers under way beside silent processes, planned stops and edits of the configuration.
//!
//! Each caller uses kept connections to an entry that is a separate process.

mod calls;
mod edits;
mod kept_connection;
mod late_in_stop;
mod stops;
mod streams;
#[path = "../support/mod.rs"]
mod support;
mod system;
