//! Manifests, chunks, the life cycle and the transfer plan.

mod chunks;
mod homes;
mod life;
mod links;
mod origin;
mod plan;
mod world;
