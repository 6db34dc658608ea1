use std::sync::Arc;

use bytes::Bytes;

use crate::weights::ChunkBitmap;
use crate::weights::ChunkStore;
use crate::weights::Digest;
use crate::weights::HoldReason;
use crate::weights::InsertOutcome;
use crate::weights::Manifest;
use crate::weights::MemoryBudget;

/// The version is wanted; nothing is known but its manifest's digest.
#[derive(Debug)]
pub struct Announced {
    digest: Digest,
}

/// Chunks are arriving.
#[derive(Debug)]
pub struct Fetching {
    store: ChunkStore,
}

/// Every chunk and the whole are correct.
#[derive(Debug)]
pub struct Verified {
    store: ChunkStore,
}

/// The engine holds the version and reported the right digest.
#[derive(Debug)]
pub struct Loaded {
    store: ChunkStore,
}

/// The replica answers requests.
#[derive(Debug)]
pub struct Serving {
    store: ChunkStore,
}

/// One version on one host, in the state `S` of its life cycle.
#[derive(Debug)]
pub struct WeightsReplica<S> {
    state: S,
}

impl WeightsReplica<Announced> {
    /// A version that is wanted here.
    pub fn announced(digest: Digest) -> Self {
        Self {
            state: Announced { digest },
        }
    }

    /// Digest of the manifest.
    pub fn digest(&self) -> Digest {
        self.state.digest
    }

    /// Starts the transfer, once the manifest is known.
    ///
    /// # Errors
    ///
    /// Returns [`HoldReason`] when the manifest is wrong or doesn't fit.
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
    /// Stores one chunk if it is correct.
    pub fn insert_chunk(&mut self, index: u32, bytes: Bytes) -> InsertOutcome {
        self.state.store.insert(index, bytes)
    }

    /// Checks the whole; the transfer goes on when chunks are missing.
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

/// Result of checking a transfer.
#[derive(Debug)]
pub enum Verification {
    /// Chunks are missing.
    Incomplete(WeightsReplica<Fetching>),
    /// Everything matches.
    Verified(WeightsReplica<Verified>),
    /// The manifest contradicts itself; the chunks are given up.
    Held(HoldReason),
}

impl WeightsReplica<Verified> {
    /// All bytes in order, for the engine of this host.
    pub fn chunks(&self) -> impl Iterator<Item = Bytes> {
        self.state.store.chunks()
    }

    /// Takes the engine's word for what it loaded.
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
    /// The engine holds the version.
    Loaded(WeightsReplica<Loaded>),
    /// The engine holds something else.
    Held(WeightsReplica<Verified>, HoldReason),
}

impl WeightsReplica<Loaded> {
    /// Opens the replica for requests.
    pub fn start_serving(self) -> WeightsReplica<Serving> {
        WeightsReplica {
            state: Serving {
                store: self.state.store,
            },
        }
    }
}

impl WeightsReplica<Serving> {
    /// Goes back to where the engine must load again, after it lost its state.
    pub fn require_reload(self) -> WeightsReplica<Verified> {
        WeightsReplica {
            state: Verified {
                store: self.state.store,
            },
        }
    }
}

macro_rules! with_chunks {
    ($($state:ident)*) => {
        $(impl WeightsReplica<$state> {
            /// One verified chunk, for a peer.
            pub fn chunk(&self, index: u32) -> Option<Bytes> {
                self.state.store.chunk(index)
            }

            /// Chunks held.
            pub fn held_chunks(&self) -> &ChunkBitmap {
                self.state.store.held_chunks()
            }

            /// The manifest.
            pub fn manifest(&self) -> &Arc<Manifest> {
                self.state.store.manifest()
            }
        })*
    };
}

with_chunks! { Fetching Verified Loaded Serving }
