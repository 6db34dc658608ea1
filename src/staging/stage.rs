use std::rc::Rc;

use crate::staging::Gathering;
use crate::weights::ChunkBitmap;
use crate::weights::PieceManifest;

/// Versions kept of one model: the one held and the next two.
const MAX_COPIES: usize = 3;

/// One version of weights that is gathered, or was.
#[derive(Debug)]
pub struct WeightsCopy {
    /// Digests of its pieces.
    pub manifest: PieceManifest,
    /// Where gathering it stands; times are steady.
    pub began_ms: i64,
    /// Steady time of the last new piece.
    pub progress_ms: i64,
    // Pieces in memory, until the engine was ordered to load them.
    pieces: Vec<Option<Rc<Vec<u8>>>>,
}

/// The weights of one model on this host: what lies in the engine's staging
/// area, and the pieces in memory.
///
/// The staging area holds one piece of each index. While a version that lies
/// there waits for its order, a later one gathers in memory.
#[derive(Debug)]
pub struct Stage {
    /// Model.
    pub model: String,
    /// Version of each staged piece, as checked; 0 when unknown.
    staged: Vec<u64>,
    // By rising version.
    copies: Vec<WeightsCopy>,
}

impl Stage {
    /// Nothing known of `model`.
    pub fn new(model: &str) -> Self {
        Self {
            model: model.to_owned(),
            staged: Vec::new(),
            copies: Vec::new(),
        }
    }

    /// Begins to gather a version, or goes on with it.
    pub fn begin(&mut self, manifest: PieceManifest, now_ms: i64) {
        self.staged.resize(manifest.digests.len(), 0);
        let found = self
            .copies
            .binary_search_by_key(&manifest.version, |copy| copy.manifest.version);
        match found {
            Ok(at) => self.copies[at].progress_ms = now_ms,
            Err(at) => {
                let pieces = vec![None; manifest.digests.len()];
                self.copies.insert(
                    at,
                    WeightsCopy {
                        manifest,
                        began_ms: now_ms,
                        progress_ms: now_ms,
                        pieces,
                    },
                );
                if self.copies.len() > MAX_COPIES {
                    self.copies.remove(0);
                }
            }
        }
    }

    /// Copy of `version`.
    pub fn copy(&self, version: u64) -> Option<&WeightsCopy> {
        let at = self
            .copies
            .binary_search_by_key(&version, |copy| copy.manifest.version)
            .ok()?;
        Some(&self.copies[at])
    }

    /// All copies, by rising version.
    pub fn copies(&self) -> &[WeightsCopy] {
        &self.copies
    }

    /// Version of the staged piece `index`; 0 when unknown.
    pub fn staged(&self, index: u32) -> u64 {
        self.staged.get(index as usize).copied().unwrap_or(0)
    }

    /// Notes the version of the staged piece `index`.
    pub fn set_staged(&mut self, index: u32, version: u64) {
        if let Some(staged) = self.staged.get_mut(index as usize) {
            *staged = version;
        }
    }

    /// A piece in memory.
    pub fn piece(&self, version: u64, index: u32) -> Option<Rc<Vec<u8>>> {
        self.copy(version)?.pieces.get(index as usize)?.clone()
    }

    /// Keeps a piece in memory.
    pub fn keep_piece(&mut self, version: u64, index: u32, bytes: Vec<u8>, now_ms: i64) {
        let copy = self
            .copies
            .iter_mut()
            .find(|copy| copy.manifest.version == version);
        if let Some(copy) = copy
            && let Some(piece) = copy.pieces.get_mut(index as usize)
        {
            *piece = Some(Rc::new(bytes));
            copy.progress_ms = now_ms;
        }
    }

    /// Notes that gathering `version` goes on.
    pub fn note_progress(&mut self, version: u64, now_ms: i64) {
        for copy in &mut self.copies {
            if copy.manifest.version == version {
                copy.progress_ms = now_ms;
            }
        }
    }

    /// Pieces of `version` that are held.
    pub fn have(&self, version: u64) -> ChunkBitmap {
        let mut have = ChunkBitmap::empty(u32::try_from(self.staged.len()).unwrap_or(u32::MAX));
        for (index, staged) in (0u32..).zip(&self.staged) {
            if *staged == version || self.piece(version, index).is_some() {
                have.insert(index);
            }
        }
        have
    }

    /// Whether every piece of `version` is held.
    pub fn is_whole(&self, version: u64) -> bool {
        self.copy(version).is_some() && self.have(version).is_complete()
    }

    /// Where gathering each version stands.
    pub fn gatherings(&self) -> Vec<Gathering> {
        self.copies
            .iter()
            .map(|copy| Gathering {
                version: copy.manifest.version,
                began_ms: copy.began_ms,
                progress_ms: copy.progress_ms,
                is_whole: self.is_whole(copy.manifest.version),
            })
            .collect()
    }

    /// Frees the pieces in memory of `version` and those before it.
    pub fn release(&mut self, version: u64) {
        for copy in &mut self.copies {
            if copy.manifest.version <= version {
                copy.pieces.iter_mut().for_each(|piece| *piece = None);
            }
        }
    }
}
