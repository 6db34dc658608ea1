use std::net::IpAddr;
use std::rc::Rc;
use std::time::Duration;

use futures_util::future::join_all;
use tokio::time::Instant;

use crate::fleet::RelayEntry;
use crate::fleet::assign_pieces;
use crate::gateway::GatewayState;
use crate::gateway::cached_version::CachedVersion;
use crate::gateway::piece_cache::PieceCache;
use crate::gateway::piece_paths::HELD_STATUS_PATH;
use crate::http1::ClientRequest;
use crate::http1::Http1Client;
use crate::observe::Event;
use crate::observe::LogLine;
use crate::weights::DeclaredVersion;
use crate::weights::ExternalCallError;
use crate::weights::OriginPort;
use crate::weights::OriginTurns;
use crate::weights::VersionSpan;

/// Pause before a manifest is requested again after that failed.
const MANIFEST_RETRY_PAUSE: Duration = Duration::from_millis(300);

/// Interval at which an entry finds out whether an earlier version is complete.
const WATCH_INTERVAL: Duration = Duration::from_millis(250);

/// Longest time for which a host's request waits until its version is read: less than the
/// host waits.
const MAX_SPAN_WAIT: Duration = Duration::from_millis(1_000);

/// Interval at which a waiting request checks that.
const SPAN_CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// Timeout of a question whether another entry has a piece.
const WATCH_TIMEOUT: Duration = Duration::from_millis(250);

/// Share of the pieces of a version, the last ones, whose holders are asked whether they have
/// them: one in eight.
const WATCHED_DIVISOR: u32 = 8;

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

    /// Starts a task that reads the share of this entry, unless one runs already or the
    /// version is not to be read any more.
    pub(super) fn start_read_ahead(self: &Rc<Self>, cached: &Rc<CachedVersion>) {
        if self.origin_span(cached).is_none() || cached.is_read_ahead.replace(true) {
            return;
        }
        actix_rt::spawn(self.clone().watch_earlier(cached.clone()));
        let (pieces, cached) = (self.clone(), cached.clone());
        actix_rt::spawn(async move {
            while let Err(error) = pieces.read_share(&cached).await {
                log::debug!("cannot read version {} ahead: {error}", cached.version);
                if pieces.origin_span(&cached).is_none() {
                    break;
                }
                tokio::time::sleep(MANIFEST_RETRY_PAUSE).await;
            }
            cached.is_read_ahead.set(false);
        });
    }

    /// Span of the origin's link that a version has; None if it is not to be read any more.
    fn origin_span(&self, cached: &CachedVersion) -> Option<VersionSpan> {
        let piece_count = match cached.manifest.get() {
            Some(manifest) => manifest.borrow().piece_count(),
            None => self.piece_count(&cached.model),
        };
        let copy_time = self.origin_piece_time() * piece_count;
        let state = self.state.borrow();
        let declarations = state.weights.for_model(&cached.model);
        let declared: Vec<DeclaredVersion> = declarations
            .map(|declaration| DeclaredVersion {
                version: declaration.version,
                declared_ms: declaration.learned_ms,
                complete_ms: self
                    .find_version(&cached.model, declaration.version)
                    .and_then(|known| known.complete_ms.get()),
            })
            .collect();
        let turns = OriginTurns {
            declared: &declared,
            copy_ms: whole_ms(copy_time),
            apply_ms: i64::try_from(state.settings.weights_apply_ms).unwrap_or(i64::MAX),
        };
        turns.span(cached.version, state.now_ms() as i64)
    }

    /// Waits until it is time to read the piece that is `offset_ms` from the begin of a copy,
    /// after `failures` failed reads; returns whether the version is still to be read.
    /// `first_missing_ms` is the offset of the first piece that this entry lacks.
    async fn wait_for_turn(
        &self,
        cached: &CachedVersion,
        (offset_ms, first_missing_ms): (i64, i64),
        failures: u32,
    ) -> bool {
        let mut read_ms = None;
        loop {
            let Some(span) = self.origin_span(cached) else {
                return false;
            };
            let now_ms = self.state.borrow().now_ms() as i64;
            // The first turn may change: an earlier version is complete, or a later declared.
            let read_ms = if failures == 0 {
                span.first_read_ms(offset_ms, now_ms)
            } else {
                *read_ms.get_or_insert_with(|| {
                    span.next_read_ms(offset_ms, first_missing_ms, failures, now_ms)
                })
            };
            if read_ms <= now_ms {
                return true;
            }
            let wait = Duration::from_millis(u64::try_from(read_ms - now_ms).unwrap_or(0));
            tokio::time::sleep(wait.min(WATCH_INTERVAL)).await;
        }
    }

    /// Waits until the span of a version has begun, for a bounded time; returns whether it has.
    ///
    /// A host that has given up the earlier version for a moment would take the link from it.
    pub(super) async fn wait_for_span(&self, cached: &CachedVersion) -> bool {
        let deadline = Instant::now() + MAX_SPAN_WAIT;
        loop {
            let now_ms = self.state.borrow().now_ms() as i64;
            let begin_ms = self.origin_span(cached).map(|span| span.begin_ms);
            // One without a span is not read ahead, but may be requested.
            if begin_ms.is_none_or(|begin_ms| begin_ms <= now_ms) {
                return true;
            }
            if Instant::now() >= deadline {
                return false;
            }
            tokio::time::sleep(SPAN_CHECK_INTERVAL).await;
        }
    }

    /// Finds out when the version that is read before this one is complete, and records it.
    ///
    /// Its last pieces are read last. Each time the primary holder of one of them is asked, a
    /// different one at each entry, so that no entry gets the questions of all.
    async fn watch_earlier(self: Rc<Self>, cached: Rc<CachedVersion>) {
        let earlier = {
            let state = self.state.borrow();
            let earlier = state.weights.for_model(&cached.model);
            let newest = earlier.filter(|d| d.version < cached.version).last();
            newest.map(|declaration| declaration.version)
        };
        let Some(earlier) = earlier.and_then(|v| self.find_version(&cached.model, v)) else {
            return;
        };
        let started_ms = self.state.borrow().now_ms() as i64;
        let mut turn = u32::from(self.state.borrow().settings.internal.port());
        if let IpAddr::V4(ip) = self.state.borrow().settings.internal.ip() {
            turn = turn.wrapping_add(u32::from(ip.octets()[3]));
        }
        while cached.is_read_ahead.get() && earlier.complete_ms.get().is_none() {
            let Some(span) = self.origin_span(&cached) else {
                return;
            };
            let now_ms = self.state.borrow().now_ms() as i64;
            if span
                .behind_until_ms
                .is_none_or(|until_ms| now_ms >= until_ms)
                || now_ms >= span.begin_ms.max(started_ms) + span.copy_ms
            {
                return;
            }
            turn = turn.wrapping_add(1);
            if self.is_piece_read(&earlier, turn).await {
                earlier.complete_ms.set(Some(now_ms));
            }
            tokio::time::sleep(WATCH_INTERVAL).await;
        }
    }

    /// Whether this entry has read its share of a version, and the primary holder of one of
    /// its last pieces, which `turn` selects, has that one.
    ///
    /// The share is not computed anew: an entry that fails enlarges it, and nobody reads the
    /// pieces of an earlier version for that.
    async fn is_piece_read(&self, cached: &CachedVersion, turn: u32) -> bool {
        let Some(piece_count) = cached.manifest.get().map(|m| m.borrow().piece_count()) else {
            return false;
        };
        let from_last = turn % (piece_count / WATCHED_DIVISOR).max(1);
        let index = piece_count.saturating_sub(from_last + 1);
        if cached.is_read_ahead.get() {
            return false;
        }
        let holder = self.ranked_holders(u64::from(index)).into_iter().next();
        let Some(Some(holder)) = holder else {
            return true;
        };
        let target = format!(
            "{HELD_STATUS_PATH}{}/{}/{index}",
            cached.model, cached.version
        );
        let request = ClientRequest::get(&target, WATCH_TIMEOUT);
        let reply = Http1Client::new(holder, Duration::ZERO)
            .send(&request)
            .await;
        reply.is_ok_and(|reply| reply.status == 200)
    }

    /// Reads the share of this entry: the pieces of which it is the primary holder, and
    /// those that hosts of its region will fetch from it. So each region soon holds every
    /// piece, also when the origin fails a moment later.
    ///
    /// Each read starts at the turn of its piece, so that pieces arrive in the order in
    /// which hosts request them.
    async fn read_share(&self, cached: &CachedVersion) -> Result<(), ExternalCallError> {
        let manifest = self.manifest(cached, false).await?;
        let share = self.missing_share(cached, manifest.piece_count());
        if share.is_empty() {
            return Ok(());
        }
        let reads = share
            .iter()
            .map(|piece| self.read_share_piece(cached, *piece, &share));
        let results = join_all(reads).await;
        results.into_iter().collect::<Result<Vec<_>, _>>()?;
        LogLine::new(Event::WeightsStaged)
            .text("model", &cached.model)
            .number("version", cached.version)
            .number("pieces", share.len())
            .enqueue();
        Ok(())
    }

    /// Reads a piece of the share of this entry, until it is there or the version is not to be
    /// read any more. Each piece is repeated on its own: others may wait for a slow holder.
    async fn read_share_piece(
        &self,
        cached: &CachedVersion,
        piece: SharePiece,
        share: &[SharePiece],
    ) -> Result<(), ExternalCallError> {
        let piece_time = self.origin_piece_time();
        let offset_ms = |index| whole_ms(piece_time * index);
        let mut failures = 0;
        loop {
            let first_missing = share.iter().find(|other| !cached.has_piece(other.index));
            let first_missing = first_missing.map_or(piece.index, |first| first.index);
            let offsets_ms = (offset_ms(piece.index), offset_ms(first_missing));
            if !self.wait_for_turn(cached, offsets_ms, failures).await {
                return Err(ExternalCallError::Unreachable(
                    "a later version is declared".to_owned(),
                ));
            }
            match self.piece(cached, piece.index, piece.is_primary).await {
                Ok(_) => return Ok(()),
                Err(error) => {
                    log::debug!("cannot read piece {} ahead: {error}", piece.index);
                    failures += 1;
                }
            }
        }
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

/// A duration in whole ms.
fn whole_ms(duration: Duration) -> i64 {
    i64::try_from(duration.as_millis()).unwrap_or(i64::MAX)
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
