use std::rc::Rc;

use crate::staging::DownloadProgress;
use crate::staging::next_load::MIN_SHARE_TO_FINISH;
use crate::staging::order_ledger::UNANSWERED_CALL_EXPIRY_MS;
use crate::weights::ChunkBitmap;
use crate::weights::PieceManifest;

/// Versions kept of one model: the loaded one and the next two.
const MAX_VERSIONS: usize = 3;

/// Time for which a version whose manifest could not be found counts as stalled, in ms,
/// unless it is searched for again before.
const SEARCH_RETRY_MS: i64 = 5_000;

/// The download of one version of weights, in progress or complete.
#[derive(Debug)]
pub struct VersionDownload {
    /// Manifest with the digest of each piece.
    pub manifest: PieceManifest,
    /// Monotonic time at which the download started, in ms.
    pub started_ms: i64,
    /// Monotonic time of the last new piece, or at which its fetches were resumed, in ms.
    pub last_progress_ms: i64,
    /// Monotonic time at which its fetches were started or last resumed, in ms.
    pub fetching_since_ms: i64,
    // Pieces held in memory until the engine is ordered to load this version.
    buffered: Vec<Option<Rc<Vec<u8>>>>,
}

/// A write of a piece that got no answer and may be carried out later.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct OpenWrite {
    version: u64,
    sent_ms: i64,
}

/// Weights of one model on this host: the pieces in the engine's staging area and
/// those buffered in memory.
///
/// The staging area holds one piece for each index. While a complete version there
/// waits to be loaded, a later version is downloaded into memory.
#[derive(Debug)]
pub struct StagedModel {
    /// Name of the model.
    pub model: String,
    /// Monotonic time at which what an earlier process has staged was last examined, in ms.
    pub examined_ms: Option<i64>,
    // Verified version of each staged piece; 0 when unknown.
    staged_versions: Vec<u64>,
    // Versions whose manifest is searched for, with the monotonic time of the start, in ms.
    searches: Vec<(u64, i64)>,
    // Writes that may still be carried out.
    open_writes: Vec<OpenWrite>,
    // In ascending order of versions.
    downloads: Vec<VersionDownload>,
}

impl StagedModel {
    /// Creates the state of `model`, with no piece and no download.
    pub fn new(model: &str) -> Self {
        Self {
            model: model.to_owned(),
            examined_ms: None,
            staged_versions: Vec::new(),
            searches: Vec::new(),
            open_writes: Vec::new(),
            downloads: Vec::new(),
        }
    }

    /// Adds the download of a version, unless there is one.
    ///
    /// Drops the lowest version when more than `MAX_VERSIONS` would be kept.
    pub fn start_download(&mut self, manifest: PieceManifest, now_ms: i64) {
        self.searches.retain(|search| search.0 != manifest.version);
        self.staged_versions.resize(manifest.digests.len(), 0);
        let found = self
            .downloads
            .binary_search_by_key(&manifest.version, |download| download.manifest.version);
        let Err(at) = found else {
            return;
        };
        let buffered = vec![None; manifest.digests.len()];
        self.downloads.insert(
            at,
            VersionDownload {
                manifest,
                started_ms: now_ms,
                last_progress_ms: now_ms,
                fetching_since_ms: now_ms,
                buffered,
            },
        );
        if self.downloads.len() > MAX_VERSIONS {
            // The version that was asked for stays, even if it is the lowest.
            self.downloads.remove(usize::from(at == 0));
        }
    }

    /// Records that the fetches of `version` start or are resumed now, after the staged pieces
    /// were verified.
    pub fn start_fetches(&mut self, version: u64, now_ms: i64) {
        let mut downloads = self.downloads.iter_mut();
        if let Some(download) = downloads.find(|download| download.manifest.version == version) {
            download.last_progress_ms = now_ms;
            download.fetching_since_ms = now_ms;
        }
    }

    /// Replaces the manifest of a download and drops the pieces whose digests have changed;
    /// returns whether any has.
    pub fn replace_manifest(&mut self, manifest: PieceManifest) -> bool {
        let version = manifest.version;
        let known = self
            .downloads
            .iter_mut()
            .find(|download| download.manifest.version == version);
        let Some(download) = known.filter(|known| known.manifest != manifest) else {
            return false;
        };
        let digests = download.manifest.digests.iter().zip(&manifest.digests);
        let staged = self.staged_versions.iter_mut().zip(&mut download.buffered);
        for ((before, after), (staged_version, buffered)) in digests.zip(staged) {
            if before != after {
                *buffered = None;
                if *staged_version == version {
                    *staged_version = 0;
                }
            }
        }
        download.manifest = manifest;
        true
    }

    /// Returns the download of `version`, if there is one.
    pub fn version_download(&self, version: u64) -> Option<&VersionDownload> {
        let at = self
            .downloads
            .binary_search_by_key(&version, |download| download.manifest.version)
            .ok()?;
        Some(&self.downloads[at])
    }

    /// Returns all downloads, in ascending order of versions.
    pub fn downloads(&self) -> &[VersionDownload] {
        &self.downloads
    }

    /// Returns the verified version of the staged piece `index`; 0 when unknown.
    pub fn staged_version(&self, index: u32) -> u64 {
        self.staged_versions
            .get(index as usize)
            .copied()
            .unwrap_or(0)
    }

    /// Records the verified version of the staged piece `index`; 0 for unknown.
    pub fn set_staged_version(&mut self, index: u32, version: u64) {
        if let Some(staged) = self.staged_versions.get_mut(index as usize) {
            *staged = version;
        }
    }

    /// Records a write of a piece of `version` that was sent at `now_ms` and got no answer.
    ///
    /// It stays open for its time: that the piece is found in the staging area does not show
    /// which write has put it there, and the area survives a crash of the engine.
    pub fn record_open_write(&mut self, version: u64, now_ms: i64) {
        self.open_writes
            .retain(|write| now_ms - write.sent_ms < UNANSWERED_CALL_EXPIRY_MS);
        self.open_writes.push(OpenWrite {
            version,
            sent_ms: now_ms,
        });
    }

    /// Returns whether a piece of another version may still be written over one of
    /// `version`.
    pub fn has_open_write_of_other(&self, version: u64, now_ms: i64) -> bool {
        self.open_writes.iter().any(|write| {
            write.version != version && now_ms - write.sent_ms < UNANSWERED_CALL_EXPIRY_MS
        })
    }

    /// Returns a piece of `version` that is buffered in memory.
    pub fn buffered_piece(&self, version: u64, index: u32) -> Option<Rc<Vec<u8>>> {
        self.version_download(version)?
            .buffered
            .get(index as usize)?
            .clone()
    }

    /// Buffers a piece of `version` in memory.
    pub fn buffer_piece(&mut self, version: u64, index: u32, bytes: Vec<u8>, now_ms: i64) {
        let download = self
            .downloads
            .iter_mut()
            .find(|download| download.manifest.version == version);
        if let Some(download) = download
            && let Some(piece) = download.buffered.get_mut(index as usize)
        {
            *piece = Some(Rc::new(bytes));
            download.last_progress_ms = now_ms;
        }
    }

    /// Records that the download of `version` got a new piece.
    pub fn record_progress(&mut self, version: u64, now_ms: i64) {
        for download in &mut self.downloads {
            if download.manifest.version == version {
                download.last_progress_ms = now_ms;
            }
        }
    }

    /// Returns the pieces of `version` that are staged or buffered.
    pub fn held_pieces(&self, version: u64) -> ChunkBitmap {
        let mut have =
            ChunkBitmap::empty(u32::try_from(self.staged_versions.len()).unwrap_or(u32::MAX));
        for (index, staged) in (0u32..).zip(&self.staged_versions) {
            if *staged == version || self.buffered_piece(version, index).is_some() {
                have.insert(index);
            }
        }
        have
    }

    /// Returns whether every piece of `version` is staged or buffered.
    pub fn is_complete(&self, version: u64) -> bool {
        self.version_download(version).is_some() && self.held_pieces(version).is_complete()
    }

    /// Returns whether so much of `version` is staged or buffered that the rest is fetched
    /// before a later version.
    pub fn is_worth_finishing(&self, version: u64) -> bool {
        self.version_download(version).is_some()
            && held_share(&self.held_pieces(version)) >= MIN_SHARE_TO_FINISH
    }

    /// Records that the manifest of `version` is searched for since `now_ms`.
    pub fn start_search(&mut self, version: u64, now_ms: i64) {
        self.searches.retain(|search| search.0 != version);
        self.searches.push((version, now_ms));
    }

    /// Returns the progress of each download, and of each search for a manifest.
    pub fn download_progress(&self, now_ms: i64) -> Vec<DownloadProgress> {
        let searches = self
            .searches
            .iter()
            .filter(|search| now_ms - search.1 < SEARCH_RETRY_MS)
            .map(|(version, started_ms)| DownloadProgress {
                version: *version,
                started_ms: *started_ms,
                last_progress_ms: *started_ms,
                fetching_since_ms: *started_ms,
                held_share: 0.0,
                is_complete: false,
            });
        self.downloads
            .iter()
            .map(|download| {
                let version = download.manifest.version;
                DownloadProgress {
                    version,
                    started_ms: download.started_ms,
                    last_progress_ms: download.last_progress_ms,
                    fetching_since_ms: download.fetching_since_ms,
                    held_share: held_share(&self.held_pieces(version)),
                    is_complete: self.is_complete(version),
                }
            })
            .chain(searches)
            .collect()
    }

    /// Frees the buffered pieces of `version` and of all earlier versions.
    pub fn free_buffers(&mut self, version: u64) {
        for download in &mut self.downloads {
            if download.manifest.version <= version {
                download.buffered.iter_mut().for_each(|piece| *piece = None);
            }
        }
    }
}

/// Share of the pieces that is held, from 0 to 1.
fn held_share(held: &ChunkBitmap) -> f64 {
    f64::from(held.held_count()) / f64::from(held.chunk_count().max(1))
}
