//! Model weights: digests, manifests, chunks, transfer planning and life cycle.
//!
//! A version is identified by the digest of its manifest, and a chunk by that
//! digest and its index, so chunks of different versions never mix. A
//! [`WeightsReplica`] is one version on one host; its type states encode the life
//! cycle, and the complete content can be read only once it is [`Verified`].
//!
//! Hosts of a swarm fetch chunks from the origin and from each other.
//! [`SwarmState`] tracks one such transfer, and [`next_fetches`] plans its reads as
//! a pure function of what the host knows.
//!
//! [`PieceManifest`] and [`OriginPort`] are used by `gateway` and `staging`, where a
//! version has a number and its parts are called pieces.

mod chunk_bitmap;
mod chunk_frame;
mod chunk_ranking;
mod chunk_store;
mod digest;
mod hold_reason;
mod manifest;
mod memory_budget;
mod origin_turns;
mod peer_messages;
mod piece_origin;
mod placement;
mod plan;
mod swarm_probes;
mod swarm_state;
mod weights_replica;

pub use chunk_bitmap::ChunkBitmap;
pub use chunk_frame::ChunkFrame;
pub use chunk_ranking::ChunkRanking;
pub use chunk_ranking::PeerKey;
pub use chunk_ranking::SwarmHost;
pub(crate) use chunk_ranking::mix64;
pub use chunk_store::ChunkStore;
pub use chunk_store::InsertOutcome;
pub use chunk_store::RejectReason;
pub use digest::Digest;
pub use digest::DigestError;
pub use hold_reason::HoldReason;
pub use manifest::Manifest;
pub use manifest::ManifestError;
pub use memory_budget::MemoryBudget;
pub use memory_budget::Reservation;
pub use origin_turns::DeclaredVersion;
pub use origin_turns::OriginTurns;
pub use origin_turns::VersionSpan;
pub use peer_messages::PeerRequest;
pub use peer_messages::PeerStatus;
pub use peer_messages::ReadOutcome;
pub use piece_origin::ExternalCallError;
pub use piece_origin::OriginPort;
pub use piece_origin::PieceManifest;
pub use piece_origin::fetch_confirmed_manifest;
pub use placement::PredecessorState;
pub use placement::may_switch_version;
pub use placement::replica_hosts;
pub use plan::ChunkFetch;
pub use plan::ChunkSource;
pub use plan::PeerState;
pub use plan::PlanInput;
pub use plan::PlanSettings;
pub use plan::next_fetches;
pub use swarm_probes::PeerProbe;
pub use swarm_state::PeerFailure;
pub use swarm_state::SwarmActions;
pub use swarm_state::SwarmSettings;
pub use swarm_state::SwarmState;
pub use weights_replica::Announced;
pub use weights_replica::Fetching;
pub use weights_replica::LoadCheck;
pub use weights_replica::Loaded;
pub use weights_replica::Serving;
pub use weights_replica::Verification;
pub use weights_replica::Verified;
pub use weights_replica::WeightsReplica;
