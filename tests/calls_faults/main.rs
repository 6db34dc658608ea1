//! Calls of services through separate entry and endpoint processes while faults are injected.

#[path = "../support/mod.rs"]
mod support;

mod caller;
mod crashing_request;
mod forwarder;
mod history;
mod planned_stop;
mod random_faults;
mod service_fixture;
mod silent_connection;
