//! Weights: digests, manifests, chunks, the transfer plan and life cycle.
//!
//! A version is named by the digest of its manifest, and chunks by that digest
//! and an index, so that versions never mix. A [`Replica`] walks through the
//! states of its life cycle; only [`Verified`] gives out the whole bytes. The
//! plan ([`next_fetches`]) is a pure function of what a host knows.

mod chunk_store;
mod digest;
mod errors;
mod frame;
mod have_map;
mod homes;
mod manifest;
mod memory_budget;
mod peer_note;
mod pieces;
mod placement;
mod plan;
mod replica;
mod swarm;
mod swarm_probes;

pub use chunk_store::ChunkStore;
pub use chunk_store::Inserted;
pub use chunk_store::RejectReason;
pub use digest::Digest;
pub use digest::DigestError;
pub use errors::WeightsHeld;
pub use frame::ChunkFrame;
pub use have_map::HaveMap;
pub use homes::Homes;
pub use homes::PeerKey;
pub use homes::SwarmHost;
pub(crate) use homes::mix;
pub use manifest::Manifest;
pub use manifest::ManifestError;
pub use memory_budget::MemoryBudget;
pub use memory_budget::Reservation;
pub use peer_note::PeerNote;
pub use peer_note::PeerQuestion;
pub use peer_note::ReadOutcome;
pub use pieces::OriginPort;
pub use pieces::PieceManifest;
pub use pieces::ReadFault;
pub use pieces::agreed_manifest;
pub use placement::Ahead;
pub use placement::may_change;
pub use placement::placement;
pub use plan::Fetch;
pub use plan::Neighbour;
pub use plan::PlanInput;
pub use plan::PlanSettings;
pub use plan::Source;
pub use plan::next_fetches;
pub use replica::Announced;
pub use replica::Fetching;
pub use replica::LoadCheck;
pub use replica::Loaded;
pub use replica::Replica;
pub use replica::Serving;
pub use replica::Verification;
pub use replica::Verified;
pub use swarm::Actions;
pub use swarm::PeerFailure;
pub use swarm::Swarm;
pub use swarm::SwarmSettings;
pub use swarm_probes::Probe;
