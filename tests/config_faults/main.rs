//! Configuration under faults across separate processes: concurrent editors, lost replies,
//! hosts replaced during an outage of the log, a trimmed log and paused processes.

#[path = "../support/mod.rs"]
mod support;

mod api;
mod history;
mod outage;
mod pause;
mod race;
mod trim;
