use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use tokio::sync::OnceCell;
use tokio::time::Instant;

use crate::fleet::rotation_order;
use crate::gateway::GatewayState;
use crate::http1::Ask;
use crate::http1::Client;
use crate::http1::InternalReply;
use crate::links::TokenBucket;
use crate::observe::Event;
use crate::observe::LogLine;
use crate::observe::Metrics;
use crate::observe::Tally;
use crate::weights::ExternalCallError;
use crate::weights::OriginPort;
use crate::weights::PieceManifest;
use crate::weights::fetch_confirmed_manifest;

/// Path of a piece, before `MODEL/VERSION/INDEX`.
pub const PIECE_PATH: &str = "/piece/";

/// Path of a piece that is read from the origin unless it is at hand.
pub const HOME_PIECE_PATH: &str = "/home-piece/";

/// Path of a piece that is given only if it is at hand.
const HELD_PIECE_PATH: &str = "/held-piece/";

/// Path of a manifest, before `MODEL/VERSION`.
pub const MANIFEST_PATH: &str = "/manifest/";

/// Time for a piece from another entry, which may wait for the origin.
const ENTRY_PIECE_TIMEOUT: Duration = Duration::from_millis(2_000);

/// Time for a piece that another entry has at hand.
const HELD_PIECE_TIMEOUT: Duration = Duration::from_millis(800);

/// Entries that are asked whether they have a piece at hand, when its home and
/// the origin fail: the homes that it had before others came or left.
const MAX_HELD_ASKS: usize = 3;

/// Reads of one piece from the origin before it is given up.
const ORIGIN_TRIES: u32 = 3;

/// Part of an entry's link that pieces may take: requests go before them.
const LINK_SHARE: f64 = 0.6;

/// Bytes of pieces that may go out at once.
const LINK_BURST_BYTES: u64 = 128 * 1024;

/// Time without a reader after which a version is dropped.
const KEEP_TIME: Duration = Duration::from_secs(15);

/// Interval at which unused versions are looked for.
const EVICT_INTERVAL: Duration = Duration::from_secs(5);

/// A piece that is read once, however many ask for it.
type PieceCell = Rc<OnceCell<Rc<Vec<u8>>>>;

/// One version of weights in memory.
#[derive(Debug)]
pub(super) struct CachedVersion {
    pub(super) model: String,
    pub(super) version: u64,
    manifest: OnceCell<Rc<PieceManifest>>,
    pub(super) pieces: RefCell<Vec<PieceCell>>,
    used: RefCell<Instant>,
}

/// Pieces of weights that pass through an entry.
///
/// Entries have the fastest links. Each piece has one home among them, which
/// reads it from the origin; the other entries read it from there once, and the
/// hosts of their region from them. So one copy leaves the origin, and each
/// link between regions carries one.
#[derive(Debug)]
pub struct PieceCache<O> {
    pub(super) state: Rc<RefCell<GatewayState>>,
    origin: O,
    metrics: Rc<Metrics>,
    versions: RefCell<Vec<Rc<CachedVersion>>>,
    link: RefCell<TokenBucket>,
    started: Instant,
}

impl<O: OriginPort> PieceCache<O> {
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

    /// Answers a call for a piece or a manifest; None when it is neither.
    pub async fn answer(&self, path: &str) -> Option<InternalReply> {
        if let Some(question) = path.strip_prefix(MANIFEST_PATH) {
            let (model, version) = question.split_once('/')?;
            let cached = self.version(model, version.parse().ok()?);
            return Some(match self.manifest(&cached).await {
                Ok(manifest) => InternalReply {
                    status: 200,
                    content_type: "application/msgpack",
                    body: rmp_serde::to_vec(&*manifest).ok()?,
                },
                Err(error) => unavailable(&error),
            });
        }
        let home = path.strip_prefix(HOME_PIECE_PATH);
        let held = path.strip_prefix(HELD_PIECE_PATH);
        let question = home.or(held).or_else(|| path.strip_prefix(PIECE_PATH))?;
        let mut parts = question.split('/');
        let model = parts.next()?;
        let version = parts.next()?.parse().ok()?;
        let index = parts.next()?.parse().ok()?;
        let piece = if held.is_some() {
            self.held(model, version, index)
                .ok_or(ExternalCallError::Refused(404))
        } else {
            let cached = self.version(model, version);
            self.piece(&cached, index, home.is_some()).await
        };
        if let Ok(bytes) = &piece {
            self.wait_for_link(bytes.len()).await;
        }
        Some(match piece {
            Ok(bytes) => InternalReply {
                status: 200,
                content_type: "application/octet-stream",
                body: bytes.to_vec(),
            },
            Err(error) => unavailable(&error),
        })
    }

    /// Waits until the link has room for a piece.
    async fn wait_for_link(&self, len: usize) {
        let now_us = u64::try_from(self.started.elapsed().as_micros()).unwrap_or(u64::MAX);
        let wait_us = self.link.borrow_mut().reserve(now_us, len as u64);
        tokio::time::sleep(Duration::from_micros(wait_us)).await;
    }

    /// A version that is in memory, in whole or in part.
    pub(super) fn known(&self, model: &str, version: u64) -> Option<Rc<CachedVersion>> {
        let versions = self.versions.borrow();
        let is_same = |known: &&Rc<CachedVersion>| known.model == model && known.version == version;
        versions.iter().find(is_same).cloned()
    }

    /// The version in memory, which counts as used; an empty one if it is new.
    pub(super) fn version(&self, model: &str, version: u64) -> Rc<CachedVersion> {
        if let Some(known) = self.known(model, version) {
            *known.used.borrow_mut() = Instant::now();
            return known;
        }
        let cached = Rc::new(CachedVersion {
            model: model.to_owned(),
            version,
            manifest: OnceCell::new(),
            pieces: RefCell::default(),
            used: RefCell::new(Instant::now()),
        });
        self.versions.borrow_mut().push(cached.clone());
        cached
    }

    fn origin_address(&self) -> Result<SocketAddr, ExternalCallError> {
        let state = self.state.borrow();
        let services = state.catalog.iter().flat_map(|catalog| catalog.services());
        services
            .filter_map(|service| service.origin.as_ref())
            .map(|origin| origin.address)
            .next()
            .ok_or_else(|| ExternalCallError::Unreachable("no origin is configured".to_owned()))
    }

    pub(super) async fn manifest(
        &self,
        cached: &CachedVersion,
    ) -> Result<Rc<PieceManifest>, ExternalCallError> {
        let read = async || {
            let origin = self.origin_address()?;
            fetch_confirmed_manifest(&self.origin, origin, &cached.model, cached.version)
                .await
                .map(Rc::new)
        };
        cached.manifest.get_or_try_init(read).await.cloned()
    }

    /// A piece from memory, from its home, or from the origin.
    pub(super) async fn piece(
        &self,
        cached: &CachedVersion,
        index: u32,
        as_home: bool,
    ) -> Result<Rc<Vec<u8>>, ExternalCallError> {
        let manifest = self.manifest(cached).await?;
        let cell = {
            let mut pieces = cached.pieces.borrow_mut();
            pieces.resize_with(manifest.digests.len(), Rc::default);
            match pieces.get(index as usize) {
                Some(cell) => cell.clone(),
                None => return Err(ExternalCallError::Refused(404)),
            }
        };
        let read = async || {
            self.read(cached, &manifest, index, as_home)
                .await
                .map(Rc::new)
        };
        cell.get_or_try_init(read).await.cloned()
    }

    /// Reads a piece that is not at hand.
    async fn read(
        &self,
        cached: &CachedVersion,
        manifest: &PieceManifest,
        index: u32,
        as_home: bool,
    ) -> Result<Vec<u8>, ExternalCallError> {
        let homes = self.homes(index);
        let home = homes.first().copied().flatten().filter(|_| !as_home);
        let Some(home) = home else {
            return match self.read_origin(cached, manifest, index).await {
                Ok(bytes) => Ok(bytes),
                Err(fault) => self
                    .read_held(cached, manifest, index, &homes)
                    .await
                    .ok_or(fault),
            };
        };
        let read = self.read_entry(HOME_PIECE_PATH, cached, manifest, index, home);
        if let Some(bytes) = read.await {
            return Ok(bytes);
        }
        match self.read_held(cached, manifest, index, &homes).await {
            Some(bytes) => Ok(bytes),
            None => self.read_origin(cached, manifest, index).await,
        }
    }

    /// A piece that is at hand.
    fn held(&self, model: &str, version: u64, index: u32) -> Option<Rc<Vec<u8>>> {
        let known = self.known(model, version)?;
        let pieces = known.pieces.borrow();
        pieces.get(index as usize)?.get().cloned()
    }

    /// A piece that one of its earlier homes has at hand.
    async fn read_held(
        &self,
        cached: &CachedVersion,
        manifest: &PieceManifest,
        index: u32,
        homes: &[Option<SocketAddr>],
    ) -> Option<Vec<u8>> {
        for entry in homes.iter().flatten().take(MAX_HELD_ASKS) {
            let read = self.read_entry(HELD_PIECE_PATH, cached, manifest, index, *entry);
            if let Some(bytes) = read.await {
                return Some(bytes);
            }
        }
        None
    }

    /// Entries in the order in which they are home to a piece: the first of them
    /// reads it from the origin. None stands for this entry.
    pub(super) fn homes(&self, index: u32) -> Vec<Option<SocketAddr>> {
        let state = self.state.borrow();
        let own = (state.settings.name.as_str(), None);
        let others = state
            .peers
            .alive(state.now_ms())
            .map(|peer| (peer.name.as_str(), Some(peer.internal)));
        rotation_order(std::iter::once(own).chain(others), u64::from(index))
    }

    /// Reads a piece from another entry, by one of the paths of pieces.
    async fn read_entry(
        &self,
        path: &str,
        cached: &CachedVersion,
        manifest: &PieceManifest,
        index: u32,
        entry: SocketAddr,
    ) -> Option<Vec<u8>> {
        let target = format!("{path}{}/{}/{index}", cached.model, cached.version);
        let timeout = if path == HELD_PIECE_PATH {
            HELD_PIECE_TIMEOUT
        } else {
            ENTRY_PIECE_TIMEOUT
        };
        let mut client = Client::new(entry, Duration::ZERO);
        match client.ask(&Ask::get(&target, timeout)).await {
            Ok(reply) if reply.status == 200 && manifest.matches(index, &reply.body) => {
                Some(reply.body)
            }
            Ok(reply) => {
                log::debug!("{entry} gave no piece: {}", reply.status);
                None
            }
            Err(error) => {
                log::debug!("{entry} gave no piece: {error}");
                None
            }
        }
    }

    async fn read_origin(
        &self,
        cached: &CachedVersion,
        manifest: &PieceManifest,
        index: u32,
    ) -> Result<Vec<u8>, ExternalCallError> {
        let mut fault = ExternalCallError::Corrupt;
        for _ in 0..ORIGIN_TRIES {
            let origin = self.origin_address()?;
            let read = self
                .origin
                .piece(origin, &cached.model, cached.version, index);
            match read.await {
                Ok(bytes) if manifest.matches(index, &bytes) => {
                    self.metrics.add(
                        Tally::WeightBytes,
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
                        .write();
                    fault = ExternalCallError::Corrupt;
                }
                Err(error) => fault = error,
            }
        }
        Err(fault)
    }

    /// Drops versions that nobody reads any more.
    pub async fn evict_unused(self: Rc<Self>) {
        loop {
            tokio::time::sleep(EVICT_INTERVAL).await;
            self.versions
                .borrow_mut()
                .retain(|version| version.used.borrow().elapsed() < KEEP_TIME);
        }
    }
}

fn unavailable(error: &ExternalCallError) -> InternalReply {
    log::debug!("weights are not at hand: {error}");
    InternalReply::status(503)
}
