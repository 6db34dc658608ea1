use crate::weights::Digest;

/// Name of the model.
pub(super) const MODEL: &str = "chat";

/// Bearer token of every branch.
pub(super) const TOKEN: &str = "a token of the bench";

/// Weights that the engines load.
pub(super) const WEIGHTS: &[u8] = b"weights of a small model";

/// Digest of the model's manifest; the manifest itself does not exist.
pub(super) fn manifest_digest() -> Digest {
    Digest::of_bytes(b"manifest of a small model")
}

/// Digest of the model's complete weights.
pub(super) fn weights_digest() -> Digest {
    Digest::of_bytes(WEIGHTS)
}
