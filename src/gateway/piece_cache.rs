use std::cell::Cell;
use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use tokio::sync::OnceCell;
use tokio::time::Instant;

use crate::fleet::rendezvous_order;
use crate::gateway::GatewayState;
use crate::gateway::cached_version::CachedVersion;
use crate::links::TokenBucket;
use crate::observe::Metrics;
use crate::weights::ExternalCallError;
use crate::weights::OriginPort;

/// Share of an entry's link that pieces may use; the rest is reserved for requests.
const LINK_SHARE: f64 = 0.6;

/// Bytes of pieces that may be sent in one burst.
const LINK_BURST_BYTES: u64 = 128 * 1024;

/// Time after the last read at which a version is evicted, unless it is the newest.
const UNUSED_VERSION_TTL: Duration = Duration::from_secs(15);

/// Interval at which unused versions are evicted.
const EVICT_INTERVAL: Duration = Duration::from_secs(5);

/// Cache of the pieces of weights that hosts read through an entry.
///
/// Entries have the fastest links. One entry is the primary holder of a piece and
/// reads it from the origin. The other entries read it from the primary holder once,
/// and the hosts of their region read it from them. So the origin sends one copy, and
/// each link between regions carries one.
#[derive(Debug)]
pub struct PieceCache<O> {
    pub(super) state: Rc<RefCell<GatewayState>>,
    pub(super) origin: O,
    pub(super) metrics: Rc<Metrics>,
    versions: RefCell<Vec<Rc<CachedVersion>>>,
    pub(super) link: RefCell<TokenBucket>,
    pub(super) started: Instant,
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
            complete_ms: Cell::new(None),
        });
        self.versions.borrow_mut().push(cached.clone());
        cached
    }

    /// Address of the origin, from the first service that has one.
    pub(super) fn origin_address(&self) -> Result<SocketAddr, ExternalCallError> {
        let state = self.state.borrow();
        let services = state.catalog.iter().flat_map(|catalog| catalog.services());
        services
            .filter_map(|service| service.origin.as_ref())
            .map(|origin| origin.address)
            .next()
            .ok_or_else(|| ExternalCallError::Unreachable("no origin is configured".to_owned()))
    }

    /// A piece, only if it is cached.
    pub(super) fn cached_piece(
        &self,
        model: &str,
        version: u64,
        index: u32,
    ) -> Option<Rc<Vec<u8>>> {
        let known = self.find_version(model, version)?;
        let pieces = known.pieces.borrow();
        pieces.get(index as usize)?.get().cloned()
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
