use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::Ordering;

use bytes::Bytes;

use super::weights_signal::Signal;
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

/// Questions kept until the transfer reads them.
const MAX_QUESTIONS: usize = 64;

/// How far a version has come on this host.
#[derive(Debug)]
pub(super) enum Stage {
    Announced(WeightsReplica<Announced>),
    Fetching(WeightsReplica<Fetching>),
    Verified(WeightsReplica<Verified>),
    Loaded(WeightsReplica<Loaded>),
    Serving(WeightsReplica<Serving>),
    /// The engine serves the version; its bytes were given up here.
    Resident {
        whole: Digest,
    },
    Held(HoldReason),
}

/// Name of a [`Stage`], for reports.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum StageName {
    /// Wanted; the manifest is not known yet.
    Announced,
    /// Chunks are arriving.
    Fetching,
    /// All bytes are here and correct.
    Verified,
    /// The engine holds the version.
    Loaded,
    /// The replica answers requests.
    Serving,
    /// The version can't proceed.
    Held,
}

/// One version on this host, shared by the transfer and the HTTP handlers.
#[derive(Debug)]
pub struct WeightsVersion {
    digest: Digest,
    stage: Mutex<Stage>,
    questions: Mutex<Vec<PeerRequest>>,
    uploads: AtomicU32,
    pub(super) signal: Signal,
}

impl WeightsVersion {
    /// A version that is wanted here.
    pub fn announced(digest: Digest) -> Arc<Self> {
        Arc::new(Self {
            digest,
            stage: Mutex::new(Stage::Announced(WeightsReplica::announced(digest))),
            questions: Mutex::default(),
            uploads: AtomicU32::new(0),
            signal: Signal::default(),
        })
    }

    /// Digest of the manifest.
    pub fn digest(&self) -> Digest {
        self.digest
    }

    fn stage(&self) -> MutexGuard<'_, Stage> {
        self.stage.lock().expect("no holder of the stage panics")
    }

    /// How far the version has come.
    pub fn stage_name(&self) -> StageName {
        match &*self.stage() {
            Stage::Announced(_) => StageName::Announced,
            Stage::Fetching(_) => StageName::Fetching,
            Stage::Verified(_) => StageName::Verified,
            Stage::Loaded(_) => StageName::Loaded,
            Stage::Serving(_) | Stage::Resident { .. } => StageName::Serving,
            Stage::Held(_) => StageName::Held,
        }
    }

    /// Why the version can't proceed, if so.
    pub fn held(&self) -> Option<HoldReason> {
        match &*self.stage() {
            Stage::Held(held) => Some(held.clone()),
            _ => None,
        }
    }

    /// The manifest, once it is known.
    pub fn manifest(&self) -> Option<Arc<Manifest>> {
        match &*self.stage() {
            Stage::Announced(_) | Stage::Resident { .. } | Stage::Held(_) => None,
            Stage::Fetching(replica) => Some(replica.manifest().clone()),
            Stage::Verified(replica) => Some(replica.manifest().clone()),
            Stage::Loaded(replica) => Some(replica.manifest().clone()),
            Stage::Serving(replica) => Some(replica.manifest().clone()),
        }
    }

    /// Whole digest of the weights that the engine serves; `None` if it does not.
    pub fn serving_whole(&self) -> Option<Digest> {
        match &*self.stage() {
            Stage::Serving(replica) => Some(replica.manifest().whole),
            Stage::Resident { whole } => Some(*whole),
            _ => None,
        }
    }

    /// Chunks held; None before the manifest is known.
    pub fn have(&self) -> Option<ChunkBitmap> {
        match &*self.stage() {
            Stage::Announced(_) | Stage::Resident { .. } | Stage::Held(_) => None,
            Stage::Fetching(replica) => Some(replica.held_chunks().clone()),
            Stage::Verified(replica) => Some(replica.held_chunks().clone()),
            Stage::Loaded(replica) => Some(replica.held_chunks().clone()),
            Stage::Serving(replica) => Some(replica.held_chunks().clone()),
        }
    }

    /// One verified chunk.
    pub fn chunk(&self, index: u32) -> Option<Bytes> {
        match &*self.stage() {
            Stage::Announced(_) | Stage::Resident { .. } | Stage::Held(_) => None,
            Stage::Fetching(replica) => replica.chunk(index),
            Stage::Verified(replica) => replica.chunk(index),
            Stage::Loaded(replica) => replica.chunk(index),
            Stage::Serving(replica) => replica.chunk(index),
        }
    }

    /// All bytes in order; only while the engine may load them.
    pub fn whole(&self) -> Option<Vec<Bytes>> {
        match &*self.stage() {
            Stage::Verified(replica) => Some(replica.chunks().collect()),
            _ => None,
        }
    }

    /// What this host tells of itself.
    pub fn note(&self) -> Option<PeerStatus> {
        Some(PeerStatus {
            have: self.have()?,
            queue: self.uploads.load(Ordering::Relaxed),
            serving: self.stage_name() == StageName::Serving,
        })
    }

    /// Waits until the version is verified or held.
    pub async fn fetched(&self) -> StageName {
        loop {
            let generation = self.signal.generation();
            let stage = self.stage_name();
            if stage >= StageName::Verified {
                return stage;
            }
            self.signal.changed_since(generation).await;
        }
    }

    /// Starts the transfer.
    pub(super) fn begin(&self, manifest: Manifest, budget: &Arc<MemoryBudget>) -> StageName {
        {
            let mut stage = self.stage();
            if let Stage::Announced(replica) = &*stage {
                *stage = match replica.start_fetching(Arc::new(manifest), budget) {
                    Ok(replica) => Stage::Fetching(replica),
                    Err(held) => Stage::Held(held),
                };
            }
        }
        self.signal.raise();
        self.stage_name()
    }

    /// Stores a chunk if it is correct.
    pub(super) fn insert(&self, index: u32, bytes: Bytes) -> InsertOutcome {
        let inserted = match &mut *self.stage() {
            Stage::Fetching(replica) => replica.insert_chunk(index, bytes),
            _ => InsertOutcome::Rejected(RejectReason::UnknownIndex),
        };
        if inserted == InsertOutcome::Stored {
            self.signal.raise();
        }
        inserted
    }

    /// Checks the whole once every chunk is there.
    pub(super) fn verify(&self) -> StageName {
        self.advance(|stage| match stage {
            Stage::Fetching(replica) => match replica.verify() {
                Verification::Incomplete(replica) => Stage::Fetching(replica),
                Verification::Verified(replica) => Stage::Verified(replica),
                Verification::Held(held) => Stage::Held(held),
            },
            other => other,
        })
    }

    /// Takes the engine's word for what it loaded; on a mismatch nothing moves.
    pub fn loaded(&self, found: Digest) -> StageName {
        self.advance(|stage| match stage {
            Stage::Verified(replica) => match replica.confirm_loaded(found) {
                LoadCheck::Loaded(replica) => Stage::Loaded(replica),
                LoadCheck::Held(replica, _) => Stage::Verified(replica),
            },
            other => other,
        })
    }

    /// Opens a loaded version for requests.
    pub fn serve(&self) -> StageName {
        self.advance(|stage| match stage {
            Stage::Loaded(replica) => Stage::Serving(replica.start_serving()),
            other => other,
        })
    }

    /// Goes back to where the engine must load again, after it lost its state.
    pub(super) fn reload(&self) -> StageName {
        self.advance(|stage| match stage {
            Stage::Serving(replica) => Stage::Verified(replica.require_reload()),
            Stage::Resident { .. } => Stage::Announced(WeightsReplica::announced(self.digest)),
            other => other,
        })
    }

    /// Gives up the bytes of a version that the engine serves.
    pub(super) fn release(&self) {
        self.advance(|stage| match stage {
            Stage::Serving(replica) => Stage::Resident {
                whole: replica.manifest().whole,
            },
            other => other,
        });
    }

    /// Starts over after the version was held.
    pub(super) fn retry(&self) {
        self.advance(|stage| match stage {
            Stage::Held(_) => Stage::Announced(WeightsReplica::announced(self.digest)),
            other => other,
        });
    }

    /// Replaces the stage by what `step` makes of it.
    fn advance(&self, step: impl FnOnce(Stage) -> Stage) -> StageName {
        {
            let mut stage = self.stage();
            let placeholder = Stage::Announced(WeightsReplica::announced(self.digest));
            let before = std::mem::replace(&mut *stage, placeholder);
            *stage = step(before);
        }
        self.signal.raise();
        self.stage_name()
    }

    /// Keeps what a peer told of itself for the transfer.
    pub(super) fn keep_question(&self, question: PeerRequest) {
        let mut questions = self
            .questions
            .lock()
            .expect("no holder of the questions panics");
        if questions.len() < MAX_QUESTIONS {
            questions.push(question);
        }
    }

    /// What peers told since the last call.
    pub(super) fn take_questions(&self) -> Vec<PeerRequest> {
        std::mem::take(
            &mut *self
                .questions
                .lock()
                .expect("no holder of the questions panics"),
        )
    }

    /// Claims a place in the queue of uploads; None when `limit` wait.
    pub(super) fn start_upload(self: &Arc<Self>, limit: u32) -> Option<Upload> {
        let mut waiting = self.uploads.load(Ordering::Relaxed);
        loop {
            if waiting >= limit {
                return None;
            }
            match self.uploads.compare_exchange(
                waiting,
                waiting + 1,
                Ordering::Relaxed,
                Ordering::Relaxed,
            ) {
                Ok(_) => return Some(Upload(Arc::clone(self))),
                Err(found) => waiting = found,
            }
        }
    }
}

/// A place in the queue of uploads; given back when dropped.
#[derive(Debug)]
pub(super) struct Upload(Arc<WeightsVersion>);

impl Drop for Upload {
    fn drop(&mut self) {
        self.0.uploads.fetch_sub(1, Ordering::Relaxed);
    }
}
