use std::cell::Cell;
use std::cell::RefCell;
use std::future::Future;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use tokio::sync::OnceCell;
use tokio::time::Instant;

use crate::fleet::rendezvous_order;
use crate::gateway::GatewayState;
use crate::http1::ClientRequest;
use crate::http1::Http1Client;
use crate::http1::InternalResponse;
use crate::links::TokenBucket;
use crate::observe::CounterKind;
use crate::observe::Event;
use crate::observe::LogLine;
use crate::observe::Metrics;
use crate::weights::ExternalCallError;
use crate::weights::OriginPort;
use crate::weights::PieceManifest;
use crate::weights::fetch_confirmed_manifest;

/// Path on which hosts read a piece, before `MODEL/VERSION/INDEX`.
pub const PIECE_PATH: &str = "/piece/";

/// Path on which other entries read a piece from its primary holder, which reads it
/// from the origin if it is not cached.
pub const PRIMARY_PIECE_PATH: &str = "/home-piece/";

/// Path on which other entries read a piece only if it is cached.
const HELD_PIECE_PATH: &str = "/held-piece/";

/// Path on which hosts read a manifest, before `MODEL/VERSION`.
pub const MANIFEST_PATH: &str = "/manifest/";

/// Path on which other entries read a manifest from its primary holder.
const PRIMARY_MANIFEST_PATH: &str = "/home-manifest/";

/// Timeout of reading a manifest from its primary holder, which reads it twice from the
/// origin. Weights have to be on their way soon after they are declared.
const PRIMARY_MANIFEST_TIMEOUT: Duration = Duration::from_millis(300);

/// Seed of the rendezvous ranks of the holders of manifests; those of pieces are their
/// indices.
const MANIFEST_RANK_SEED: u64 = u64::MAX;

/// Largest number of entries that are asked for a manifest before the origin.
const MAX_MANIFEST_HOLDERS: usize = 2;

/// Timeout of reading a piece from its primary holder, which may wait for the origin.
const PRIMARY_PIECE_TIMEOUT: Duration = Duration::from_millis(2_000);

/// Timeout of reading a piece that another entry has cached.
const HELD_PIECE_TIMEOUT: Duration = Duration::from_millis(800);

/// Largest number of entries that are asked for a piece as its primary holder: those by
/// rank, as long as they cannot be reached.
const MAX_PRIMARY_REQUESTS: usize = 3;

/// Age of a declaration up to which no other entry can have a piece that its primary holder
/// lacks, in ms.
const FRESH_VERSION_MS: i64 = 3_000;

/// Largest number of entries from which a cached piece is requested after its primary
/// holder or the origin failed: those that held it before entries joined or left.
const MAX_FORMER_HOLDER_REQUESTS: usize = 3;

/// Attempts at reading one piece from the origin.
const MAX_ORIGIN_READS: u32 = 3;

/// Share of an entry's link that pieces may use; the rest is reserved for requests.
const LINK_SHARE: f64 = 0.6;

/// Bytes of pieces that may be sent in one burst.
const LINK_BURST_BYTES: u64 = 128 * 1024;

/// Time after the last read at which a version is evicted, unless it is the newest.
const UNUSED_VERSION_TTL: Duration = Duration::from_secs(15);

/// Interval at which unused versions are evicted.
const EVICT_INTERVAL: Duration = Duration::from_secs(5);

/// Cell of a piece that is read once, even if several requests wait for it.
type PieceCell = Rc<OnceCell<Rc<Vec<u8>>>>;

/// The cached pieces of one version of weights.
#[derive(Debug)]
pub(super) struct CachedVersion {
    pub(super) model: String,
    pub(super) version: u64,
    manifest: OnceCell<RefCell<Rc<PieceManifest>>>,
    pub(super) pieces: RefCell<Vec<PieceCell>>,
    last_used: RefCell<Instant>,
    /// Whether a task reads the share of this entry ahead.
    pub(super) is_read_ahead: Cell<bool>,
}

impl CachedVersion {
    /// Whether a piece is cached.
    pub(super) fn has_piece(&self, index: u32) -> bool {
        let pieces = self.pieces.borrow();
        pieces
            .get(index as usize)
            .is_some_and(|piece| piece.initialized())
    }

    /// Time since another process last asked for it.
    pub(super) fn unused_for(&self) -> Duration {
        self.last_used.borrow().elapsed()
    }
}

/// Cache of the pieces of weights that hosts read through an entry.
///
/// Entries have the fastest links. One entry is the primary holder of a piece and
/// reads it from the origin. The other entries read it from the primary holder once,
/// and the hosts of their region read it from them. So the origin sends one copy, and
/// each link between regions carries one.
#[derive(Debug)]
pub struct PieceCache<O> {
    pub(super) state: Rc<RefCell<GatewayState>>,
    origin: O,
    metrics: Rc<Metrics>,
    versions: RefCell<Vec<Rc<CachedVersion>>>,
    link: RefCell<TokenBucket>,
    started: Instant,
}

impl<O: OriginPort + 'static> PieceCache<O> {
    /// An empty cache.
    pub fn new(state: Rc<RefCell<GatewayState>>, origin: O, metrics: Rc<Metrics>) -> Rc<Self> {
        let link_mbps = state.borrow().settings.link_mbps;
        let bytes_per_s = (link_mbps * LINK_SHARE * 1_000_000.0 / 8.0) as u64;
        Rc::new(Self {
            link: RefCell::new(TokenBucket::new(bytes_per_s.max(1), LINK_BURST_BYTES)),
            started: Instant::now(),
            state,
            origin,
            metrics,
            versions: RefCell::default(),
        })
    }

    /// Reply to a call for a piece or a manifest; None if `path` is neither.
    pub async fn reply_to(self: &Rc<Self>, path: &str) -> Option<InternalResponse> {
        let primary = path.strip_prefix(PRIMARY_MANIFEST_PATH);
        if let Some(path_rest) = primary.or_else(|| path.strip_prefix(MANIFEST_PATH)) {
            let (model, version) = path_rest.split_once('/')?;
            let cached = self.find_or_add_version(model, version.parse().ok()?);
            if primary.is_none() {
                // A host begins to download the version.
                self.start_read_ahead(&cached);
            }
            return Some(match self.manifest(&cached, primary.is_some()).await {
                Ok(manifest) => InternalResponse {
                    status: 200,
                    content_type: "application/msgpack",
                    body: rmp_serde::to_vec(&*manifest).ok()?,
                },
                Err(error) => unavailable_reply(&error),
            });
        }
        let primary = path.strip_prefix(PRIMARY_PIECE_PATH);
        let held = path.strip_prefix(HELD_PIECE_PATH);
        let path_rest = primary.or(held).or_else(|| path.strip_prefix(PIECE_PATH))?;
        let mut parts = path_rest.split('/');
        let model = parts.next()?;
        let version = parts.next()?.parse().ok()?;
        let index = parts.next()?.parse().ok()?;
        let piece = if held.is_some() {
            self.cached_piece(model, version, index)
                .ok_or(ExternalCallError::Refused(404))
        } else {
            let cached = self.find_or_add_version(model, version);
            self.piece(&cached, index, primary.is_some()).await
        };
        if let Ok(bytes) = &piece {
            self.wait_for_link(bytes.len()).await;
        }
        Some(match piece {
            Ok(bytes) => InternalResponse {
                status: 200,
                content_type: "application/octet-stream",
                body: bytes.to_vec(),
            },
            Err(error) => unavailable_reply(&error),
        })
    }

    /// Waits until the token bucket of the link admits `len` bytes.
    async fn wait_for_link(&self, len: usize) {
        let now_us = u64::try_from(self.started.elapsed().as_micros()).unwrap_or(u64::MAX);
        let wait_us = self.link.borrow_mut().reserve(now_us, len as u64);
        tokio::time::sleep(Duration::from_micros(wait_us)).await;
    }

    /// The version, if any of it is cached.
    pub(super) fn find_version(&self, model: &str, version: u64) -> Option<Rc<CachedVersion>> {
        let versions = self.versions.borrow();
        let is_same = |known: &&Rc<CachedVersion>| known.model == model && known.version == version;
        versions.iter().find(is_same).cloned()
    }

    /// The version, with its time of last use updated; it is added if it is not cached.
    pub(super) fn find_or_add_version(&self, model: &str, version: u64) -> Rc<CachedVersion> {
        if let Some(known) = self.find_version(model, version) {
            *known.last_used.borrow_mut() = Instant::now();
            return known;
        }
        let cached = Rc::new(CachedVersion {
            model: model.to_owned(),
            version,
            manifest: OnceCell::new(),
            pieces: RefCell::default(),
            last_used: RefCell::new(Instant::now()),
            is_read_ahead: Cell::new(false),
        });
        self.versions.borrow_mut().push(cached.clone());
        cached
    }

    /// Address of the origin, from the first service that has one.
    fn origin_address(&self) -> Result<SocketAddr, ExternalCallError> {
        let state = self.state.borrow();
        let services = state.catalog.iter().flat_map(|catalog| catalog.services());
        services
            .filter_map(|service| service.origin.as_ref())
            .map(|origin| origin.address)
            .next()
            .ok_or_else(|| ExternalCallError::Unreachable("no origin is configured".to_owned()))
    }

    /// Manifest of the version, read on first use: from its primary holder, or from the
    /// origin with `as_primary` and where there is none.
    pub(super) async fn manifest(
        &self,
        cached: &CachedVersion,
        as_primary: bool,
    ) -> Result<Rc<PieceManifest>, ExternalCallError> {
        let read = async || {
            if !as_primary && let Some(manifest) = self.read_manifest_from_holder(cached).await {
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
    /// would need for the manifests of a hundred entries.
    async fn read_manifest_from_holder(&self, cached: &CachedVersion) -> Option<PieceManifest> {
        let holders = self.ranked_holders(MANIFEST_RANK_SEED);
        let pieces = self.piece_count(&cached.model);
        for holder in holders.into_iter().take(MAX_MANIFEST_HOLDERS) {
            let holder = holder?;
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
                        return Some(manifest);
                    }
                    log_rejected_manifest(cached, "entry");
                }
                Ok(reply) => log::debug!("{holder} has no manifest: status {}", reply.status),
                Err(error) => log::debug!("cannot read a manifest from {holder}: {error}"),
            }
        }
        None
    }

    /// Number of pieces that the configuration gives a version of `model`; 0 for none.
    fn piece_count(&self, model: &str) -> u32 {
        let state = self.state.borrow();
        let catalog = state.catalog.as_ref();
        catalog.map_or(0, |catalog| catalog.piece_count(model))
    }

    /// Reads the manifest from the origin.
    async fn read_manifest(
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
    async fn reread_manifest(&self, cached: &CachedVersion) {
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

    /// A piece from the cache, or read from another entry or the origin; with
    /// `as_primary`, this entry reads it from the origin whatever its rank.
    pub(super) async fn piece(
        &self,
        cached: &CachedVersion,
        index: u32,
        as_primary: bool,
    ) -> Result<Rc<Vec<u8>>, ExternalCallError> {
        let manifest = self.manifest(cached, false).await?;
        let cell = {
            let mut pieces = cached.pieces.borrow_mut();
            pieces.resize_with(manifest.digests.len(), Rc::default);
            match pieces.get(index as usize) {
                Some(cell) => cell.clone(),
                None => return Err(ExternalCallError::Refused(404)),
            }
        };
        let read = async || {
            self.read_piece(cached, &manifest, index, as_primary)
                .await
                .map(Rc::new)
        };
        cell.get_or_try_init(read).await.cloned()
    }

    /// Reads a piece that is not cached: from its primary holder, or from the origin if this
    /// entry is the primary holder, or the first that can be reached.
    async fn read_piece(
        &self,
        cached: &CachedVersion,
        manifest: &PieceManifest,
        index: u32,
        as_primary: bool,
    ) -> Result<Vec<u8>, ExternalCallError> {
        let holders = self.ranked_holders(u64::from(index));
        let former = self.read_from_former_holders(cached, manifest, index, &holders);
        if as_primary {
            return self.read_as_primary(cached, manifest, index, former).await;
        }
        for holder in holders.iter().take(MAX_PRIMARY_REQUESTS) {
            let Some(holder) = *holder else {
                return self.read_as_primary(cached, manifest, index, former).await;
            };
            let read = self.read_from_entry(PRIMARY_PIECE_PATH, cached, manifest, index, holder);
            match read.await {
                Ok(bytes) => return Ok(bytes),
                // It has no piece either: the origin fails. The others would ask it in vain.
                Err(error) if error.is_answer() => break,
                Err(_) => {}
            }
        }
        former
            .await
            .ok_or_else(|| ExternalCallError::Unreachable(format!("no entry has piece {index}")))
    }

    /// Reads a piece from the origin, or else from a former holder. A version that has been
    /// declared for a while may lie on those: they are asked first.
    async fn read_as_primary(
        &self,
        cached: &CachedVersion,
        manifest: &PieceManifest,
        index: u32,
        former: impl Future<Output = Option<Vec<u8>>>,
    ) -> Result<Vec<u8>, ExternalCallError> {
        if self.is_fresh(cached) {
            return match self.read_from_origin(cached, manifest, index).await {
                Ok(bytes) => Ok(bytes),
                Err(fault) => former.await.ok_or(fault),
            };
        }
        match former.await {
            Some(bytes) => Ok(bytes),
            None => self.read_from_origin(cached, manifest, index).await,
        }
    }

    /// Whether the version was declared just now, so that no other entry has it yet.
    fn is_fresh(&self, cached: &CachedVersion) -> bool {
        let state = self.state.borrow();
        let mut declared = state.weights.for_model(&cached.model);
        let now_ms = state.now_ms() as i64;
        declared
            .find(|declaration| declaration.version == cached.version)
            .is_some_and(|d| d.is_time_exact && now_ms - d.learned_ms < FRESH_VERSION_MS)
    }

    /// A piece, only if it is cached.
    fn cached_piece(&self, model: &str, version: u64, index: u32) -> Option<Rc<Vec<u8>>> {
        let known = self.find_version(model, version)?;
        let pieces = known.pieces.borrow();
        pieces.get(index as usize)?.get().cloned()
    }

    /// Reads a piece from the first of its possible former holders that has it cached.
    async fn read_from_former_holders(
        &self,
        cached: &CachedVersion,
        manifest: &PieceManifest,
        index: u32,
        holders: &[Option<SocketAddr>],
    ) -> Option<Vec<u8>> {
        for entry in holders.iter().flatten().take(MAX_FORMER_HOLDER_REQUESTS) {
            let read = self.read_from_entry(HELD_PIECE_PATH, cached, manifest, index, *entry);
            if let Ok(bytes) = read.await {
                return Some(bytes);
            }
        }
        None
    }

    /// Entries by their rank as holders of the piece or manifest of that seed: the first is
    /// the primary holder, which reads it from the origin. None stands for this entry.
    pub(super) fn ranked_holders(&self, seed: u64) -> Vec<Option<SocketAddr>> {
        let state = self.state.borrow();
        let own = (state.settings.name.as_str(), None);
        let others = state
            .peers
            .live_entries(state.now_ms())
            .map(|peer| (peer.name.as_str(), Some(peer.internal)));
        rendezvous_order(std::iter::once(own).chain(others), seed)
    }

    /// Reads a piece from another entry, on one of the paths of pieces.
    async fn read_from_entry(
        &self,
        path: &str,
        cached: &CachedVersion,
        manifest: &PieceManifest,
        index: u32,
        entry: SocketAddr,
    ) -> Result<Vec<u8>, ExternalCallError> {
        let target = format!("{path}{}/{}/{index}", cached.model, cached.version);
        let timeout = if path == HELD_PIECE_PATH {
            HELD_PIECE_TIMEOUT
        } else {
            PRIMARY_PIECE_TIMEOUT
        };
        let mut client = Http1Client::new(entry, Duration::ZERO);
        match client.send(&ClientRequest::get(&target, timeout)).await {
            Ok(reply) if reply.status != 200 => Err(ExternalCallError::Refused(reply.status)),
            Ok(reply) if manifest.matches(index, &reply.body) => Ok(reply.body),
            Ok(_) => {
                log::debug!("{entry} sent a piece that does not match its digest");
                Err(ExternalCallError::Corrupt)
            }
            Err(error) => {
                log::debug!("cannot read a piece from {entry}: {error}");
                Err(ExternalCallError::Unreachable(error.to_string()))
            }
        }
    }

    /// Reads a piece from the origin, again if it fails or its digest does not match.
    async fn read_from_origin(
        &self,
        cached: &CachedVersion,
        manifest: &PieceManifest,
        index: u32,
    ) -> Result<Vec<u8>, ExternalCallError> {
        let mut fault = ExternalCallError::Corrupt;
        for _ in 0..MAX_ORIGIN_READS {
            let origin = self.origin_address()?;
            let began = Instant::now();
            let read = self
                .origin
                .piece(origin, &cached.model, cached.version, index)
                .await;
            log_origin_read(cached, index, began, &read);
            match read {
                Ok(bytes) if manifest.matches(index, &bytes) => {
                    self.metrics.add(
                        CounterKind::WeightBytes,
                        bytes.len() as u64,
                        "direction",
                        "origin",
                    );
                    return Ok(bytes);
                }
                Ok(_) => {
                    LogLine::new(Event::PieceRejected)
                        .text("model", &cached.model)
                        .number("version", cached.version)
                        .number("piece", index)
                        .text("from", "origin")
                        .enqueue();
                    fault = ExternalCallError::Corrupt;
                }
                Err(error) => fault = error,
            }
        }
        // A manifest that was spoilt alike in two reads is confirmed, but no piece matches.
        if fault == ExternalCallError::Corrupt {
            self.reread_manifest(cached).await;
        }
        Err(fault)
    }

    /// Evicts versions that are no longer read.
    pub async fn evict_unused(self: Rc<Self>) {
        loop {
            tokio::time::sleep(EVICT_INTERVAL).await;
            let state = self.state.borrow();
            // Hosts that are added later need the version in force, also when the origin is
            // away.
            let is_newest = |cached: &CachedVersion| {
                let newest = state.weights.for_model(&cached.model).last();
                newest.is_some_and(|newest| newest.version == cached.version)
            };
            self.versions
                .borrow_mut()
                .retain(|cached| cached.unused_for() < UNUSED_VERSION_TTL || is_newest(cached));
        }
    }
}

/// Logs a read of a piece from the origin that began at `began`.
fn log_origin_read(
    cached: &CachedVersion,
    index: u32,
    began: Instant,
    read: &Result<Vec<u8>, ExternalCallError>,
) {
    let took_ms = u64::try_from(began.elapsed().as_millis()).unwrap_or(u64::MAX);
    let line = LogLine::new(Event::OriginRead)
        .text("model", &cached.model)
        .number("version", cached.version)
        .number("piece", index)
        .number("took_ms", took_ms);
    match read {
        Ok(bytes) => line.number("bytes", bytes.len()).enqueue(),
        Err(error) => line.text("error", error.to_string()).enqueue(),
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

/// Reply to a call for weights that could not be read.
fn unavailable_reply(error: &ExternalCallError) -> InternalResponse {
    log::debug!("cannot provide weights: {error}");
    InternalResponse::without_body(503)
}
