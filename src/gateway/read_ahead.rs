use std::rc::Rc;
use std::time::Duration;

use futures_util::future::join_all;
use tokio::time::Instant;

use crate::fleet::RelayEntry;
use crate::fleet::assign_pieces;
use crate::gateway::GatewayState;
use crate::gateway::cached_version::CachedVersion;
use crate::gateway::piece_cache::PieceCache;
use crate::observe::Event;
use crate::observe::LogLine;
use crate::weights::ExternalCallError;
use crate::weights::OriginPort;

/// Pause after a failure before reading ahead is retried.
const READ_AHEAD_RETRY_PAUSE: Duration = Duration::from_millis(300);

/// Longest time for which one piece is assumed to occupy the origin's link, in s. A link that
/// is configured to be slower than that is configured wrongly.
const MAX_PIECE_TIME_S: f64 = 10.0;

/// A piece that an entry reads ahead.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct SharePiece {
    index: u32,
    /// Whether this entry reads it from the origin.
    is_primary: bool,
}

impl<O: OriginPort + 'static> PieceCache<O> {
    /// Reads newly declared versions ahead, before hosts request them.
    pub async fn read_ahead(self: Rc<Self>) {
        let notice = self.state.borrow().weights_notice.clone();
        loop {
            let declared = self.state.borrow().weights.latest().cloned();
            if let Some(declared) = declared {
                let cached = self.find_or_add_version(&declared.model, declared.version);
                self.start_read_ahead(&cached);
            }
            notice.notified().await;
        }
    }

    /// Starts a task that reads the share of this entry, unless one runs already or a later
    /// version is declared: the link of the origin carries one of them in time, not two.
    pub(super) fn start_read_ahead(self: &Rc<Self>, cached: &Rc<CachedVersion>) {
        if self.later_declared_ms(cached).is_some() || cached.is_read_ahead.replace(true) {
            return;
        }
        let (pieces, cached) = (self.clone(), cached.clone());
        actix_rt::spawn(async move {
            while let Err(error) = pieces.read_share(&cached).await {
                log::debug!("cannot read version {} ahead: {error}", cached.version);
                if pieces.later_declared_ms(&cached).is_some() {
                    break;
                }
                tokio::time::sleep(READ_AHEAD_RETRY_PAUSE).await;
            }
            cached.is_read_ahead.set(false);
        });
    }

    /// Monotonic time at which a later version was declared, in ms; None if none is.
    fn later_declared_ms(&self, cached: &CachedVersion) -> Option<i64> {
        let state = self.state.borrow();
        let mut later = state.weights.for_model(&cached.model);
        later
            .find(|declaration| declaration.version > cached.version)
            .map(|declaration| declaration.learned_ms)
    }

    /// Reads the share of this entry: the pieces of which it is the primary holder, and
    /// those that hosts of its region will fetch from it. So each region soon holds every
    /// piece, also when the origin fails a moment later.
    ///
    /// Each read starts at the time at which the origin's link, shared by all entries,
    /// is expected to reach that index, so that pieces arrive in the order in which
    /// hosts request them.
    async fn read_share(&self, cached: &CachedVersion) -> Result<(), ExternalCallError> {
        let manifest = self.manifest(cached, false).await?;
        let share = self.missing_share(cached, manifest.piece_count());
        if share.is_empty() {
            return Ok(());
        }
        let began = Instant::now();
        let began_ms = self.state.borrow().now_ms() as i64;
        let piece_time = self.origin_piece_time();
        let first = share.first().map_or(0, |piece| piece.index);
        let half_time = piece_time * manifest.piece_count() / 2;
        let half_ms = began_ms + i64::try_from(half_time.as_millis()).unwrap_or(i64::MAX);
        let reads = share.iter().map(|piece| async move {
            tokio::time::sleep_until(began + piece_time * (piece.index - first)).await;
            // A version that is half read is of use if the origin fails before the later one
            // is read.
            if self
                .later_declared_ms(cached)
                .is_some_and(|ms| ms < half_ms)
            {
                return Err(ExternalCallError::Unreachable(
                    "a later version is declared".to_owned(),
                ));
            }
            self.piece(cached, piece.index, piece.is_primary).await
        });
        let results = join_all(reads).await;
        results.into_iter().collect::<Result<Vec<_>, _>>()?;
        LogLine::new(Event::WeightsStaged)
            .text("model", &cached.model)
            .number("version", cached.version)
            .number("pieces", share.len())
            .enqueue();
        Ok(())
    }

    /// The share of this entry in a version, without the pieces that it has.
    fn missing_share(&self, cached: &CachedVersion, piece_count: u32) -> Vec<SharePiece> {
        let assigned = {
            let state = self.state.borrow();
            let relays = region_relays(&state);
            assign_pieces(piece_count, &relays)
        };
        let own = self.state.borrow().settings.internal;
        (0..piece_count)
            .filter(|index| !cached.has_piece(*index))
            .filter_map(|index| {
                let holders = self.ranked_holders(u64::from(index));
                let is_primary = holders.first() == Some(&None);
                let is_relay = assigned
                    .get(index as usize)
                    .is_some_and(|entry| entry.address == own);
                (is_primary || is_relay).then_some(SharePiece { index, is_primary })
            })
            .collect()
    }

    /// Time for which one piece occupies the origin's link; zero if its bandwidth is
    /// not configured.
    fn origin_piece_time(&self) -> Duration {
        let state = self.state.borrow();
        let services = || state.catalog.iter().flat_map(|catalog| catalog.services());
        let chunk_bytes = services()
            .filter_map(|service| service.engine.as_ref())
            .map(|engine| f64::from(engine.chunk_bytes))
            .fold(0.0, f64::max);
        let link_mbps = services()
            .filter_map(|service| service.origin.as_ref())
            .map(|origin| origin.link_mbps)
            .fold(0.0, f64::max);
        if link_mbps <= 0.0 {
            return Duration::ZERO;
        }
        let piece_time_s = chunk_bytes * 8.0 / (link_mbps * 1_000_000.0);
        Duration::from_secs_f64(piece_time_s.min(MAX_PIECE_TIME_S))
    }
}

/// The entries that relay pieces to the hosts of this entry's region, as these hosts know
/// them; none if the region has no host with an engine.
fn region_relays(state: &GatewayState) -> Vec<RelayEntry> {
    let settings = &state.settings;
    let region = settings.region(&settings.failure_domain);
    let has_engine = |service: &str| {
        let service = state.catalog.as_ref().and_then(|c| c.service(service));
        service.is_some_and(|service| service.engine.is_some())
    };
    let has_hosts = state.replicas.listed().any(|(_, replica)| {
        settings.region(&replica.record.failure_domain) == region
            && has_engine(&replica.record.service)
    });
    if !has_hosts {
        return Vec::new();
    }
    let own = RelayEntry {
        address: settings.internal,
        link_mbps: settings.link_mbps,
    };
    let peers = state.peers.live_entries(state.now_ms());
    peers
        .filter(|peer| settings.region(&peer.failure_domain) == region)
        .map(|peer| RelayEntry {
            address: peer.internal,
            link_mbps: peer.link_mbps,
        })
        .chain(std::iter::once(own))
        .collect()
}
