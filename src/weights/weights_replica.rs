use std::sync::Arc;

use bytes::Bytes;

use crate::weights::ChunkBitmap;
use crate::weights::ChunkStore;
use crate::weights::Digest;
use crate::weights::HoldReason;
use crate::weights::InsertOutcome;
use crate::weights::Manifest;
use crate::weights::MemoryBudget;

/// State: the version is wanted, and only the digest of its manifest is known.
#[derive(Debug)]
pub struct Announced {
    digest: Digest,
}

/// State: chunks are being fetched.
#[derive(Debug)]
pub struct Fetching {
    store: ChunkStore,
}

/// State: every chunk and the complete content match their digests.
#[derive(Debug)]
pub struct Verified {
    store: ChunkStore,
}

/// State: the engine has loaded the version and reported the correct digest.
#[derive(Debug)]
pub struct Loaded {
    store: ChunkStore,
}

/// State: the replica serves requests.
#[derive(Debug)]
pub struct Serving {
    store: ChunkStore,
}

/// One version of a model on one host, in the state `S` of its life cycle.
#[derive(Debug)]
pub struct WeightsReplica<S> {
    state: S,
}

impl WeightsReplica<Announced> {
    /// Creates the replica of a wanted version from the digest of its manifest.
    pub fn announced(digest: Digest) -> Self {
        Self {
            state: Announced { digest },
        }
    }

    /// Digest of the version's manifest.
    pub fn digest(&self) -> Digest {
        self.state.digest
    }

    /// Reserves memory and moves on to fetching, once the manifest is known.
    ///
    /// # Errors
    ///
    /// Returns [`HoldReason`] when the manifest is invalid or the version doesn't fit.
    pub fn start_fetching(
        &self,
        manifest: Arc<Manifest>,
        budget: &Arc<MemoryBudget>,
    ) -> Result<WeightsReplica<Fetching>, HoldReason> {
        manifest.validate_with_digest(self.state.digest)?;
        let store = ChunkStore::new(manifest, budget)?;
        Ok(WeightsReplica {
            state: Fetching { store },
        })
    }
}

impl WeightsReplica<Fetching> {
    /// Stores a received chunk if it is correct.
    pub fn insert_chunk(&mut self, index: u32, bytes: Bytes) -> InsertOutcome {
        self.state.store.insert(index, bytes)
    }

    /// Verifies the complete content; fetching continues if chunks are missing.
    pub fn verify(self) -> Verification {
        let expected = self.state.store.manifest().whole;
        match self.state.store.content_digest() {
            None => Verification::Incomplete(self),
            Some(found) if found != expected => {
                Verification::Held(HoldReason::ContentMismatch { expected, found })
            }
            Some(_) => Verification::Verified(WeightsReplica {
                state: Verified {
                    store: self.state.store,
                },
            }),
        }
    }
}

/// Result of verifying the complete content of a version.
#[derive(Debug)]
pub enum Verification {
    /// Chunks are still missing.
    Incomplete(WeightsReplica<Fetching>),
    /// The content matches the manifest.
    Verified(WeightsReplica<Verified>),
    /// Each chunk matches its digest but the content does not match its own, so the manifest
    /// contradicts itself; the fetched chunks are dropped.
    Held(HoldReason),
}

impl WeightsReplica<Verified> {
    /// All chunks in order, to be loaded by the engine of this host.
    pub fn chunks(&self) -> impl Iterator<Item = Bytes> {
        self.state.store.chunks()
    }

    /// Compares `found`, the digest that the engine reports, with the manifest.
    pub fn confirm_loaded(self, found: Digest) -> LoadCheck {
        let expected = self.state.store.manifest().whole;
        if found != expected {
            return LoadCheck::Held(self, HoldReason::EngineMismatch { expected, found });
        }
        LoadCheck::Loaded(WeightsReplica {
            state: Loaded {
                store: self.state.store,
            },
        })
    }
}

/// Result of comparing what the engine loaded with the manifest.
#[derive(Debug)]
pub enum LoadCheck {
    /// The engine has loaded the version.
    Loaded(WeightsReplica<Loaded>),
    /// The engine has loaded something else; the version stays verified.
    Held(WeightsReplica<Verified>, HoldReason),
}

impl WeightsReplica<Loaded> {
    /// Starts to serve requests.
    pub fn start_serving(self) -> WeightsReplica<Serving> {
        WeightsReplica {
            state: Serving {
                store: self.state.store,
            },
        }
    }
}

impl WeightsReplica<Serving> {
    /// Returns to the verified state after the engine lost what it had loaded.
    pub fn require_reload(self) -> WeightsReplica<Verified> {
        WeightsReplica {
            state: Verified {
                store: self.state.store,
            },
        }
    }
}

/// Implements the methods of the states in which chunks are stored.
macro_rules! with_chunks {
    ($($state:ident)*) => {
        $(impl WeightsReplica<$state> {
            /// Returns chunk `index` for a peer; None when it is not held.
            pub fn chunk(&self, index: u32) -> Option<Bytes> {
                self.state.store.chunk(index)
            }

            /// Set of the chunks that are held.
            pub fn held_chunks(&self) -> &ChunkBitmap {
                self.state.store.held_chunks()
            }

            /// Manifest of the version.
            pub fn manifest(&self) -> &Arc<Manifest> {
                self.state.store.manifest()
            }
        })*
    };
}

with_chunks! { Fetching Verified Loaded Serving }
