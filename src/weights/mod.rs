//! Weights: digests, manifests, chunks, the transfer plan and life cycle.

mod digest;

pub use digest::Digest;
pub use digest::DigestError;
