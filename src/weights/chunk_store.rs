use std::sync::Arc;

use bytes::Bytes;

use crate::weights::ChunkBitmap;
use crate::weights::Digest;
use crate::weights::HoldReason;
use crate::weights::Manifest;
use crate::weights::MemoryBudget;
use crate::weights::Reservation;

/// Why a chunk was not stored.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RejectReason {
    /// The manifest has no such chunk.
    UnknownIndex,
    /// The bytes are fewer or more than the manifest says.
    WrongLength,
    /// The bytes are not those the manifest names.
    WrongDigest,
}

impl RejectReason {
    /// Label in counters.
    pub fn label(self) -> &'static str {
        match self {
            Self::UnknownIndex => "unknown_index",
            Self::WrongLength => "wrong_length",
            Self::WrongDigest => "wrong_digest",
        }
    }
}

/// What became of a chunk given to a store.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum InsertOutcome {
    /// It is new and correct.
    Stored,
    /// It was there already.
    Duplicate,
    /// It was dropped.
    Rejected(RejectReason),
}

/// The verified chunks of one manifest.
#[derive(Debug)]
pub struct ChunkStore {
    manifest: Arc<Manifest>,
    chunks: Vec<Option<Bytes>>,
    held_chunks: ChunkBitmap,
    _reservation: Reservation,
}

impl ChunkStore {
    /// An empty store for `manifest`, with its memory reserved from `budget`.
    ///
    /// # Errors
    ///
    /// Returns [`HoldReason::OverBudget`] when the version doesn't fit.
    pub fn new(manifest: Arc<Manifest>, budget: &Arc<MemoryBudget>) -> Result<Self, HoldReason> {
        let size_bytes = manifest.size_bytes;
        let reservation = budget
            .reserve(size_bytes)
            .ok_or_else(|| HoldReason::OverBudget {
                size_bytes,
                used_bytes: budget.used_bytes(),
                limit_bytes: budget.limit_bytes(),
            })?;
        let count = manifest.chunk_count();
        Ok(Self {
            chunks: vec![None; count as usize],
            held_chunks: ChunkBitmap::empty(count),
            manifest,
            _reservation: reservation,
        })
    }

    /// Stores `bytes` as chunk `index` if length and digest match.
    pub fn insert(&mut self, index: u32, bytes: Bytes) -> InsertOutcome {
        let Some(len) = self.manifest.chunk_len_bytes(index) else {
            return InsertOutcome::Rejected(RejectReason::UnknownIndex);
        };
        if self.held_chunks.contains(index) {
            return InsertOutcome::Duplicate;
        }
        if bytes.len() != len as usize {
            return InsertOutcome::Rejected(RejectReason::WrongLength);
        }
        if Digest::of_bytes(&bytes) != self.manifest.chunks[index as usize] {
            return InsertOutcome::Rejected(RejectReason::WrongDigest);
        }
        self.chunks[index as usize] = Some(bytes);
        self.held_chunks.insert(index);
        InsertOutcome::Stored
    }

    /// Chunk `index`, if held.
    pub fn chunk(&self, index: u32) -> Option<Bytes> {
        self.chunks.get(index as usize)?.clone()
    }

    /// What is held.
    pub fn held_chunks(&self) -> &ChunkBitmap {
        &self.held_chunks
    }

    /// The manifest the chunks belong to.
    pub fn manifest(&self) -> &Arc<Manifest> {
        &self.manifest
    }

    /// Digest of all chunks in order; None while one is missing.
    pub fn content_digest(&self) -> Option<Digest> {
        let mut hasher = blake3::Hasher::new();
        for chunk in &self.chunks {
            hasher.update(chunk.as_ref()?);
        }
        Some(hasher.finalize().into())
    }

    pub(super) fn chunks(&self) -> impl Iterator<Item = Bytes> {
        self.chunks.iter().flatten().cloned()
    }
}
