use std::sync::Arc;

use bytes::Bytes;

use crate::weights::ChunkBitmap;
use crate::weights::Digest;
use crate::weights::HoldReason;
use crate::weights::Manifest;
use crate::weights::MemoryBudget;
use crate::weights::Reservation;

/// Why a received chunk was not stored.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RejectReason {
    /// The manifest has no chunk of this index.
    UnknownIndex,
    /// The length differs from that in the manifest.
    WrongLength,
    /// The digest differs from that in the manifest.
    WrongDigest,
}

impl RejectReason {
    /// Label of the reason in metrics and logs.
    pub fn label(self) -> &'static str {
        match self {
            Self::UnknownIndex => "unknown_index",
            Self::WrongLength => "wrong_length",
            Self::WrongDigest => "wrong_digest",
        }
    }
}

/// Result of inserting a chunk.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum InsertOutcome {
    /// The chunk is correct and was stored.
    Stored,
    /// The chunk was stored before; the new bytes were dropped unchecked.
    Duplicate,
    /// The chunk was dropped as incorrect.
    Rejected(RejectReason),
}

/// In-memory store of the chunks of one version, each verified by its digest.
#[derive(Debug)]
pub struct ChunkStore {
    manifest: Arc<Manifest>,
    chunks: Vec<Option<Bytes>>,
    held_chunks: ChunkBitmap,
    /// Keeps the memory reserved for as long as the store exists.
    _reservation: Reservation,
}

impl ChunkStore {
    /// Creates an empty store and reserves the version's size from `budget`.
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

    /// Stores `bytes` as chunk `index` if their length and digest are correct.
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

    /// Returns chunk `index`; None when it is not stored.
    pub fn chunk(&self, index: u32) -> Option<Bytes> {
        self.chunks.get(index as usize)?.clone()
    }

    /// Set of the chunks that are stored.
    pub fn held_chunks(&self) -> &ChunkBitmap {
        &self.held_chunks
    }

    /// Manifest of the version.
    pub fn manifest(&self) -> &Arc<Manifest> {
        &self.manifest
    }

    /// Digest of the complete content; None while a chunk is missing.
    pub fn content_digest(&self) -> Option<Digest> {
        let mut hasher = blake3::Hasher::new();
        for chunk in &self.chunks {
            hasher.update(chunk.as_ref()?);
        }
        Some(hasher.finalize().into())
    }

    /// Chunks that are stored, in order.
    pub(super) fn chunks(&self) -> impl Iterator<Item = Bytes> {
        self.chunks.iter().flatten().cloned()
    }
}
