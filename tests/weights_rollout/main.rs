//! Rollouts by separate processes: turns, holds, lost replies, paused and restarted parts.

#[path = "../support/mod.rs"]
mod support;

mod holds;
mod proxy;
mod site;
mod turns;
