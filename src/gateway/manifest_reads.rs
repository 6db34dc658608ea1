use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

use crate::gateway::cached_version::CachedVersion;
use crate::gateway::piece_cache::PieceCache;
use crate::gateway::piece_paths::PRIMARY_MANIFEST_PATH;
use crate::http1::ClientRequest;
use crate::http1::Http1Client;
use crate::http1::Http1Error;
use crate::observe::Event;
use crate::observe::LogLine;
use crate::weights::ExternalCallError;
use crate::weights::OriginPort;
use crate::weights::PieceManifest;
use crate::weights::fetch_confirmed_manifest;

/// Timeout of reading a manifest from its primary holder, which reads it twice from the
/// origin. Weights have to be on their way soon after they are declared.
const PRIMARY_MANIFEST_TIMEOUT: Duration = Duration::from_millis(300);

/// Seed of the rendezvous ranks of the holders of manifests; those of pieces are their
/// indices.
const MANIFEST_RANK_SEED: u64 = u64::MAX;

/// Largest number of entries that are asked for a manifest before the origin.
const MAX_MANIFEST_HOLDERS: usize = 2;

impl<O: OriginPort + 'static> PieceCache<O> {
    /// Manifest of the version, read on first use: from its primary holder, or from the
    /// origin with `as_primary` and where there is none.
    pub(super) async fn manifest(
        &self,
        cached: &CachedVersion,
        as_primary: bool,
    ) -> Result<Rc<PieceManifest>, ExternalCallError> {
        let read = async || {
            if !as_primary && let Some(manifest) = self.read_manifest_from_holder(cached).await? {
                return Ok(RefCell::new(Rc::new(manifest)));
            }
            self.read_manifest(cached).await.map(RefCell::new)
        };
        let manifest = cached.manifest.get_or_try_init(read).await?;
        Ok(manifest.borrow().clone())
    }

    /// Reads the manifest from the first of its holders that has it; None if this entry is
    /// to read it from the origin.
    ///
    /// The link of the origin carries one copy of the weights in about the time that it
    /// would need for the manifests of a hundred entries. So a holder that takes longer, while
    /// the origin's link is full, is asked again later.
    ///
    /// # Errors
    ///
    /// Returns [`ExternalCallError::Unreachable`] if the holders of a version that was just
    /// declared don't have its manifest yet.
    async fn read_manifest_from_holder(
        &self,
        cached: &CachedVersion,
    ) -> Result<Option<PieceManifest>, ExternalCallError> {
        let mut is_read_elsewhere = false;
        let holders = self.ranked_holders(MANIFEST_RANK_SEED);
        let pieces = self.piece_count(&cached.model);
        for holder in holders.into_iter().take(MAX_MANIFEST_HOLDERS) {
            let Some(holder) = holder else {
                return Ok(None);
            };
            let target = format!("{PRIMARY_MANIFEST_PATH}{}/{}", cached.model, cached.version);
            let request = ClientRequest::get(&target, PRIMARY_MANIFEST_TIMEOUT);
            match Http1Client::new(holder, Duration::ZERO)
                .send(&request)
                .await
            {
                Ok(reply) if reply.status == 200 => {
                    let manifest: Option<PieceManifest> = rmp_serde::from_slice(&reply.body).ok();
                    if let Some(manifest) = manifest.filter(|m| m.describes(cached.version, pieces))
                    {
                        return Ok(Some(manifest));
                    }
                    log_rejected_manifest(cached, "entry");
                }
                Ok(reply) => {
                    log::debug!("{holder} has no manifest: status {}", reply.status);
                    is_read_elsewhere = true;
                }
                Err(error) => {
                    log::debug!("cannot read a manifest from {holder}: {error}");
                    is_read_elsewhere |= matches!(error, Http1Error::TimedOut);
                }
            }
        }
        if is_read_elsewhere && self.is_fresh(cached) {
            return Err(ExternalCallError::Unreachable(
                "the holders have no manifest yet".to_owned(),
            ));
        }
        Ok(None)
    }

    /// Number of pieces that the configuration gives a version of `model`; 0 for none.
    pub(super) fn piece_count(&self, model: &str) -> u32 {
        let state = self.state.borrow();
        let catalog = state.catalog.as_ref();
        catalog.map_or(0, |catalog| catalog.piece_count(model))
    }

    /// Reads the manifest from the origin.
    pub(super) async fn read_manifest(
        &self,
        cached: &CachedVersion,
    ) -> Result<Rc<PieceManifest>, ExternalCallError> {
        let origin = self.origin_address()?;
        let (model, version) = (&cached.model, cached.version);
        let pieces = self.piece_count(model);
        let read = fetch_confirmed_manifest(&self.origin, origin, model, version, pieces).await;
        if read == Err(ExternalCallError::UnconfirmedManifest) {
            log_rejected_manifest(cached, "origin");
        }
        read.map(Rc::new)
    }

    /// Reads the manifest again after the origin sent no piece that matches its digest, and
    /// drops the pieces whose digests have changed.
    pub(super) async fn reread_manifest(&self, cached: &CachedVersion) {
        let (Some(known), Ok(read)) = (cached.manifest.get(), self.read_manifest(cached).await)
        else {
            return;
        };
        let rejected = known.replace(read.clone());
        if rejected == read {
            return;
        }
        log_rejected_manifest(cached, "origin");
        let digests = rejected.digests.iter().zip(&read.digests);
        for (cell, (before, after)) in cached.pieces.borrow_mut().iter_mut().zip(digests) {
            if before != after {
                *cell = Rc::default();
            }
        }
    }
}

/// Logs that a manifest was rejected.
fn log_rejected_manifest(cached: &CachedVersion, from: &str) {
    LogLine::new(Event::ManifestRejected)
        .text("model", &cached.model)
        .number("version", cached.version)
        .text("from", from)
        .enqueue();
}
