//! The configuration under faults, with real processes: racing operators, lost
//! replies, an outage of the log with hosts replaced, a trimmed log, a pause.

#[path = "../support/mod.rs"]
mod support;

mod api;
mod history;
mod outage;
mod pause;
mod race;
mod trim;
