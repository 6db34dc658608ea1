use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::Ordering;

use bytes::Bytes;

use super::weights_signal::ChangeSignal;
use crate::weights::Announced;
use crate::weights::ChunkBitmap;
use crate::weights::Digest;
use crate::weights::Fetching;
use crate::weights::HoldReason;
use crate::weights::InsertOutcome;
use crate::weights::LoadCheck;
use crate::weights::Loaded;
use crate::weights::Manifest;
use crate::weights::MemoryBudget;
use crate::weights::PeerRequest;
use crate::weights::PeerStatus;
use crate::weights::RejectReason;
use crate::weights::Serving;
use crate::weights::Verification;
use crate::weights::Verified;
use crate::weights::WeightsReplica;

/// Largest number of peer requests that are kept until the transfer reads them.
const MAX_PEER_REQUESTS: usize = 64;

/// Stage of a version on this host, with its chunks.
#[derive(Debug)]
pub(super) enum VersionStage {
    /// The version is wanted; its manifest is not known yet.
    Announced(WeightsReplica<Announced>),
    /// Chunks are being fetched.
    Fetching(WeightsReplica<Fetching>),
    /// All chunks are held and the content matches the manifest.
    Verified(WeightsReplica<Verified>),
    /// The engine has loaded the version.
    Loaded(WeightsReplica<Loaded>),
    /// The engine serves requests with the version; the chunks are kept for peers.
    Serving(WeightsReplica<Serving>),
    /// The engine serves the version; its chunks were released here.
    EngineOnly { content_digest: Digest },
    /// The version can't proceed for this reason.
    Held(HoldReason),
}

/// Kind of a [`VersionStage`], without its content.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum VersionStageKind {
    /// The version is wanted; its manifest is not known yet.
    Announced,
    /// Chunks are being fetched.
    Fetching,
    /// All chunks are held and the content matches the manifest.
    Verified,
    /// The engine has loaded the version.
    Loaded,
    /// The engine serves requests with the version.
    Serving,
    /// The version can't proceed.
    Held,
}

/// Counts a request while it waits or runs with a version.
#[derive(Debug)]
pub(super) struct RequestGuard {
    version: Arc<WeightsVersion>,
}

impl Drop for RequestGuard {
    fn drop(&mut self) {
        self.version.requests.fetch_sub(1, Ordering::Relaxed);
    }
}

/// A version on this host, shared by its transfer and the HTTP handlers.
#[derive(Debug)]
pub struct WeightsVersion {
    digest: Digest,
    stage: Mutex<VersionStage>,
    peer_requests: Mutex<Vec<PeerRequest>>,
    /// Number of uploads in progress.
    uploads: AtomicU32,
    /// Number of requests that wait or run with the version.
    requests: AtomicU32,
    /// Notified after each change of the stage or the chunks.
    pub(super) signal: ChangeSignal,
}

impl WeightsVersion {
    /// Version that is wanted here and of which only the digest is known.
    pub fn announced(digest: Digest) -> Arc<Self> {
        Arc::new(Self {
            digest,
            stage: Mutex::new(VersionStage::Announced(WeightsReplica::announced(digest))),
            peer_requests: Mutex::default(),
            uploads: AtomicU32::new(0),
            requests: AtomicU32::new(0),
            signal: ChangeSignal::default(),
        })
    }

    /// Digest of the manifest.
    pub fn digest(&self) -> Digest {
        self.digest
    }

    /// Counts a request until the guard is dropped.
    pub(super) fn count_request(self: &Arc<Self>) -> RequestGuard {
        self.requests.fetch_add(1, Ordering::Relaxed);
        RequestGuard {
            version: Arc::clone(self),
        }
    }

    /// Whether requests wait or run with the version.
    pub(super) fn has_requests(&self) -> bool {
        self.requests.load(Ordering::Relaxed) > 0
    }

    fn lock_stage(&self) -> MutexGuard<'_, VersionStage> {
        self.stage.lock().expect("no holder of the stage panics")
    }

    /// Kind of the current stage.
    pub fn stage_kind(&self) -> VersionStageKind {
        match &*self.lock_stage() {
            VersionStage::Announced(_) => VersionStageKind::Announced,
            VersionStage::Fetching(_) => VersionStageKind::Fetching,
            VersionStage::Verified(_) => VersionStageKind::Verified,
            VersionStage::Loaded(_) => VersionStageKind::Loaded,
            VersionStage::Serving(_) | VersionStage::EngineOnly { .. } => VersionStageKind::Serving,
            VersionStage::Held(_) => VersionStageKind::Held,
        }
    }

    /// Why the version can't proceed; `None` unless it is held.
    pub fn hold_reason(&self) -> Option<HoldReason> {
        match &*self.lock_stage() {
            VersionStage::Held(held) => Some(held.clone()),
            _ => None,
        }
    }

    /// The manifest; `None` while no chunks are kept.
    pub fn manifest(&self) -> Option<Arc<Manifest>> {
        match &*self.lock_stage() {
            VersionStage::Announced(_)
            | VersionStage::EngineOnly { .. }
            | VersionStage::Held(_) => None,
            VersionStage::Fetching(replica) => Some(replica.manifest().clone()),
            VersionStage::Verified(replica) => Some(replica.manifest().clone()),
            VersionStage::Loaded(replica) => Some(replica.manifest().clone()),
            VersionStage::Serving(replica) => Some(replica.manifest().clone()),
        }
    }

    /// Digest of the content that the engine serves; `None` if it does not serve the version.
    pub fn serving_content_digest(&self) -> Option<Digest> {
        match &*self.lock_stage() {
            VersionStage::Serving(replica) => Some(replica.manifest().whole),
            VersionStage::EngineOnly { content_digest } => Some(*content_digest),
            _ => None,
        }
    }

    /// Set of the chunks held; `None` while no chunks are kept.
    pub fn held_chunks(&self) -> Option<ChunkBitmap> {
        match &*self.lock_stage() {
            VersionStage::Announced(_)
            | VersionStage::EngineOnly { .. }
            | VersionStage::Held(_) => None,
            VersionStage::Fetching(replica) => Some(replica.held_chunks().clone()),
            VersionStage::Verified(replica) => Some(replica.held_chunks().clone()),
            VersionStage::Loaded(replica) => Some(replica.held_chunks().clone()),
            VersionStage::Serving(replica) => Some(replica.held_chunks().clone()),
        }
    }

    /// Chunk `index`; `None` if it is not held.
    pub fn chunk(&self, index: u32) -> Option<Bytes> {
        match &*self.lock_stage() {
            VersionStage::Announced(_)
            | VersionStage::EngineOnly { .. }
            | VersionStage::Held(_) => None,
            VersionStage::Fetching(replica) => replica.chunk(index),
            VersionStage::Verified(replica) => replica.chunk(index),
            VersionStage::Loaded(replica) => replica.chunk(index),
            VersionStage::Serving(replica) => replica.chunk(index),
        }
    }

    /// All chunks in order for the engine to load; `None` unless the version is verified.
    pub fn loadable_chunks(&self) -> Option<Vec<Bytes>> {
        match &*self.lock_stage() {
            VersionStage::Verified(replica) => Some(replica.chunks().collect()),
            _ => None,
        }
    }

    /// Status of this host that peers receive; `None` while no chunks are kept.
    pub fn peer_status(&self) -> Option<PeerStatus> {
        Some(PeerStatus {
            have: self.held_chunks()?,
            queue: self.uploads.load(Ordering::Relaxed),
            serving: self.stage_kind() == VersionStageKind::Serving,
        })
    }

    /// Waits until the version is verified or held.
    pub async fn wait_until_fetched(&self) -> VersionStageKind {
        loop {
            let generation = self.signal.generation();
            let stage = self.stage_kind();
            if stage >= VersionStageKind::Verified {
                return stage;
            }
            self.signal.wait_for_change(generation).await;
        }
    }

    /// Reserves memory and moves an announced version on to fetching, or holds it.
    pub(super) fn start_fetching(
        &self,
        manifest: Manifest,
        budget: &Arc<MemoryBudget>,
    ) -> VersionStageKind {
        {
            let mut stage = self.lock_stage();
            if let VersionStage::Announced(replica) = &*stage {
                *stage = match replica.start_fetching(Arc::new(manifest), budget) {
                    Ok(replica) => VersionStage::Fetching(replica),
                    Err(held) => VersionStage::Held(held),
                };
            }
        }
        self.signal.notify();
        self.stage_kind()
    }

    /// Stores a chunk if it is correct.
    pub(super) fn insert_chunk(&self, index: u32, bytes: Bytes) -> InsertOutcome {
        let outcome = match &mut *self.lock_stage() {
            VersionStage::Fetching(replica) => replica.insert_chunk(index, bytes),
            _ => InsertOutcome::Rejected(RejectReason::UnknownIndex),
        };
        if outcome == InsertOutcome::Stored {
            self.signal.notify();
        }
        outcome
    }

    /// Verifies the complete content once every chunk is held.
    pub(super) fn verify(&self) -> VersionStageKind {
        self.advance(|stage| match stage {
            VersionStage::Fetching(replica) => match replica.verify() {
                Verification::Incomplete(replica) => VersionStage::Fetching(replica),
                Verification::Verified(replica) => VersionStage::Verified(replica),
                Verification::Held(held) => VersionStage::Held(held),
            },
            other => other,
        })
    }

    /// Compares `found`, the digest that the engine reports, with the manifest; on a
    /// mismatch the stage stays verified.
    pub fn confirm_loaded(&self, found: Digest) -> VersionStageKind {
        self.advance(|stage| match stage {
            VersionStage::Verified(replica) => match replica.confirm_loaded(found) {
                LoadCheck::Loaded(replica) => VersionStage::Loaded(replica),
                LoadCheck::Held(replica, _) => VersionStage::Verified(replica),
            },
            other => other,
        })
    }

    /// Opens a loaded version to requests.
    pub fn start_serving(&self) -> VersionStageKind {
        self.advance(|stage| match stage {
            VersionStage::Loaded(replica) => VersionStage::Serving(replica.start_serving()),
            other => other,
        })
    }

    /// Returns to the stage from which the engine loads the version again, after the engine
    /// lost it: verified, or announced if the chunks were released.
    pub(super) fn require_reload(&self) -> VersionStageKind {
        self.advance(|stage| match stage {
            VersionStage::Serving(replica) => VersionStage::Verified(replica.require_reload()),
            VersionStage::EngineOnly { .. } => {
                VersionStage::Announced(WeightsReplica::announced(self.digest))
            }
            other => other,
        })
    }

    /// Releases the chunks of a version that the engine serves.
    pub(super) fn release_chunks(&self) {
        self.advance(|stage| match stage {
            VersionStage::Serving(replica) => VersionStage::EngineOnly {
                content_digest: replica.manifest().whole,
            },
            other => other,
        });
    }

    /// Moves a held version back to announced, so that it is fetched again.
    pub(super) fn restart(&self) {
        self.advance(|stage| match stage {
            VersionStage::Held(_) => {
                VersionStage::Announced(WeightsReplica::announced(self.digest))
            }
            other => other,
        });
    }

    /// Replaces the stage by the result of `step` and wakes waiting tasks.
    fn advance(&self, step: impl FnOnce(VersionStage) -> VersionStage) -> VersionStageKind {
        {
            let mut stage = self.lock_stage();
            let placeholder = VersionStage::Announced(WeightsReplica::announced(self.digest));
            let before = std::mem::replace(&mut *stage, placeholder);
            *stage = step(before);
        }
        self.signal.notify();
        self.stage_kind()
    }

    /// Keeps a request of a peer, whose chunks it lists, for the transfer.
    pub(super) fn add_peer_request(&self, peer_request: PeerRequest) {
        let mut peer_requests = self
            .peer_requests
            .lock()
            .expect("no holder of the peer requests panics");
        if peer_requests.len() < MAX_PEER_REQUESTS {
            peer_requests.push(peer_request);
        }
    }

    /// Takes the requests that peers sent since the last call.
    pub(super) fn take_peer_requests(&self) -> Vec<PeerRequest> {
        std::mem::take(
            &mut *self
                .peer_requests
                .lock()
                .expect("no holder of the peer requests panics"),
        )
    }

    /// Counts an upload until the guard is dropped; `None` when `limit` are in progress.
    pub(super) fn start_upload(self: &Arc<Self>, limit: u32) -> Option<UploadGuard> {
        let mut uploads = self.uploads.load(Ordering::Relaxed);
        loop {
            if uploads >= limit {
                return None;
            }
            match self.uploads.compare_exchange(
                uploads,
                uploads + 1,
                Ordering::Relaxed,
                Ordering::Relaxed,
            ) {
                Ok(_) => return Some(UploadGuard(Arc::clone(self))),
                Err(found) => uploads = found,
            }
        }
    }
}

/// Counts an upload while it is in progress.
#[derive(Debug)]
pub(super) struct UploadGuard(Arc<WeightsVersion>);

impl Drop for UploadGuard {
    fn drop(&mut self) {
        self.0.uploads.fetch_sub(1, Ordering::Relaxed);
    }
}
