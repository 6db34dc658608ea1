//! Tests of rollouts with separate processes: load slots, held versions, lost replies,
//! paused and restarted processes.

#[path = "../support/cut_source.rs"]
mod cut_source;
#[path = "../support/mod.rs"]
mod support;

mod holds;
mod late_orders;
mod load_slots;
mod other_content;
mod proxy;
mod site;
