//! Rollouts by separate processes: turns, holds, lost replies, paused and restarted parts.

#[path = "../support/mod.rs"]
mod support;

mod holds;
mod load_slots;
mod proxy;
mod site;
