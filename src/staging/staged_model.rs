use std::rc::Rc;

use crate::staging::DownloadProgress;
use crate::weights::HaveMap;
use crate::weights::PieceManifest;

/// Versions kept of one model: the one held and the next two.
const MAX_DOWNLOADS: usize = 3;

/// One version of weights that is gathered, or was.
#[derive(Debug)]
pub struct VersionDownload {
    /// Digests of its pieces.
    pub manifest: PieceManifest,
    /// Where gathering it stands; times are steady.
    pub started_ms: i64,
    /// Steady time of the last new piece.
    pub last_progress_ms: i64,
    // Pieces in memory, until the engine was ordered to load them.
    pieces: Vec<Option<Rc<Vec<u8>>>>,
}

/// The weights of one model on this host: what lies in the engine's staging
/// area, and the pieces in memory.
///
/// The staging area holds one piece of each index. While a version that lies
/// there waits for its order, a later one gathers in memory.
#[derive(Debug)]
pub struct StagedModel {
    /// Model.
    pub model: String,
    /// Version of each staged piece, as checked; 0 when unknown.
    staged_versions: Vec<u64>,
    // By rising version.
    downloads: Vec<VersionDownload>,
}

impl StagedModel {
    /// Nothing known of `model`.
    pub fn new(model: &str) -> Self {
        Self {
            model: model.to_owned(),
            staged_versions: Vec::new(),
            downloads: Vec::new(),
        }
    }

    /// Begins to gather a version, or goes on with it.
    pub fn start_download(&mut self, manifest: PieceManifest, now_ms: i64) {
        self.staged_versions.resize(manifest.digests.len(), 0);
        let found = self
            .downloads
            .binary_search_by_key(&manifest.version, |download| download.manifest.version);
        match found {
            Ok(at) => self.downloads[at].last_progress_ms = now_ms,
            Err(at) => {
                let pieces = vec![None; manifest.digests.len()];
                self.downloads.insert(
                    at,
                    VersionDownload {
                        manifest,
                        started_ms: now_ms,
                        last_progress_ms: now_ms,
                        pieces,
                    },
                );
                if self.downloads.len() > MAX_DOWNLOADS {
                    self.downloads.remove(0);
                }
            }
        }
    }

    /// Copy of `version`.
    pub fn version_download(&self, version: u64) -> Option<&VersionDownload> {
        let at = self
            .downloads
            .binary_search_by_key(&version, |download| download.manifest.version)
            .ok()?;
        Some(&self.downloads[at])
    }

    /// All downloads, by rising version.
    pub fn downloads(&self) -> &[VersionDownload] {
        &self.downloads
    }

    /// Version of the staged piece `index`; 0 when unknown.
    pub fn staged_version(&self, index: u32) -> u64 {
        self.staged_versions
            .get(index as usize)
            .copied()
            .unwrap_or(0)
    }

    /// Notes the version of the staged piece `index`.
    pub fn set_staged_version(&mut self, index: u32, version: u64) {
        if let Some(staged) = self.staged_versions.get_mut(index as usize) {
            *staged = version;
        }
    }

    /// A piece in memory.
    pub fn buffered_piece(&self, version: u64, index: u32) -> Option<Rc<Vec<u8>>> {
        self.version_download(version)?
            .pieces
            .get(index as usize)?
            .clone()
    }

    /// Keeps a piece in memory.
    pub fn buffer_piece(&mut self, version: u64, index: u32, bytes: Vec<u8>, now_ms: i64) {
        let download = self
            .downloads
            .iter_mut()
            .find(|download| download.manifest.version == version);
        if let Some(download) = download
            && let Some(piece) = download.pieces.get_mut(index as usize)
        {
            *piece = Some(Rc::new(bytes));
            download.last_progress_ms = now_ms;
        }
    }

    /// Notes that gathering `version` goes on.
    pub fn record_progress(&mut self, version: u64, now_ms: i64) {
        for download in &mut self.downloads {
            if download.manifest.version == version {
                download.last_progress_ms = now_ms;
            }
        }
    }

    /// Pieces of `version` that are held.
    pub fn held_pieces(&self, version: u64) -> HaveMap {
        let mut have =
            HaveMap::empty(u32::try_from(self.staged_versions.len()).unwrap_or(u32::MAX));
        for (index, staged) in (0u32..).zip(&self.staged_versions) {
            if *staged == version || self.buffered_piece(version, index).is_some() {
                have.insert(index);
            }
        }
        have
    }

    /// Whether every piece of `version` is held.
    pub fn is_complete(&self, version: u64) -> bool {
        self.version_download(version).is_some() && self.held_pieces(version).is_complete()
    }

    /// Where gathering each version stands.
    pub fn download_progress(&self) -> Vec<DownloadProgress> {
        self.downloads
            .iter()
            .map(|download| DownloadProgress {
                version: download.manifest.version,
                started_ms: download.started_ms,
                last_progress_ms: download.last_progress_ms,
                is_complete: self.is_complete(download.manifest.version),
            })
            .collect()
    }

    /// Frees the pieces in memory of `version` and those before it.
    pub fn free_buffers(&mut self, version: u64) {
        for download in &mut self.downloads {
            if download.manifest.version <= version {
                download.pieces.iter_mut().for_each(|piece| *piece = None);
            }
        }
    }
}
