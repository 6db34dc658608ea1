//! Tests of manifests, chunks, the replica life cycle and the transfer plan.

mod chunks;
mod links;
mod origin;
mod origin_turns;
mod plan;
mod ranking;
mod replica;
mod samples;
