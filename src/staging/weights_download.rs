use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use futures_util::StreamExt;
use futures_util::stream::FuturesUnordered;

use crate::fleet::assign_pieces;
use crate::gateway::PIECE_PATH;
use crate::http1::ClientRequest;
use crate::http1::Http1Client;
use crate::observe::CounterKind;
use crate::observe::Event;
use crate::observe::LogLine;
use crate::observe::Metrics;
use crate::staging::CheckedPieces;
use crate::staging::EnginePort;
use crate::staging::StagingState;
use crate::weights::ChunkBitmap;
use crate::weights::ChunkSource;
use crate::weights::ExternalCallError;
use crate::weights::OriginPort;
use crate::weights::PieceManifest;

/// Longest time between two passes that plan the next fetches.
const MAX_PLAN_INTERVAL: Duration = Duration::from_millis(60);

/// Delay before the next fetch from a host or the origin that failed, in ms.
const SWARM_RETRY_DELAY_MS: u64 = 250;

/// Timeout for one piece from another host or an entry: several pieces share its
/// link.
const PIECE_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Fetches from entries in progress at a time: the pieces in flight delay the
/// requests to the replica, which share the link of the host.
const MAX_ENTRY_FETCHES: usize = 2;

/// Duration from which a fetch counts as slow, in ms. The link is then narrower than
/// expected, and only one fetch from entries is in progress at a time.
const SLOW_FETCH_MS: u64 = 300;

/// Longest pause after a slow fetch, in ms. On a narrow link the requests of clients that
/// wait behind a piece get their turn; a source that was slow for another reason has the
/// next piece by then.
const MAX_SLOW_PAUSE_MS: u64 = 300;

/// Delay before the next fetch from an entry that failed, in ms, where a region has many: the
/// origin behind it may be unavailable.
const ENTRY_RETRY_DELAY_MS: u64 = 1_000;

/// That delay for each entry of the region, in ms: a host that waits for the origin asks one
/// entry after the other.
const DELAY_PER_ENTRY_MS: u64 = 50;

/// Number of fetched pieces that do not match the manifest after which it is read again.
const MAX_REJECTED_PIECES: u32 = 2;

/// Where a piece is fetched from.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum PieceSource {
    /// An entry, which relays the piece.
    Entry(SocketAddr),
    /// Another host of the swarm, or the origin.
    Swarm(ChunkSource),
}

impl PieceSource {
    /// Returns the delay before the next fetch from this source after a failure, in ms, where
    /// pieces can be fetched from `entries` entries.
    fn retry_delay_ms(self, entries: usize) -> u64 {
        match self {
            Self::Entry(_) => (entries as u64 * DELAY_PER_ENTRY_MS)
                .clamp(SWARM_RETRY_DELAY_MS, ENTRY_RETRY_DELAY_MS),
            Self::Swarm(_) => SWARM_RETRY_DELAY_MS,
        }
    }
}

/// The fetch of one piece.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct PieceFetch {
    /// Index of the piece.
    pub(super) index: u32,
    /// Where it is fetched from.
    pub(super) source: PieceSource,
}

/// How the fetch of a piece ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum FetchOutcome {
    /// The piece is valid and held.
    Held,
    /// No piece arrived.
    Failed,
    /// The piece does not match its digest.
    Rejected,
}

/// Downloads the pieces of one version to this host and stages them.
#[derive(Debug)]
pub struct WeightsDownload<'a, E, O> {
    /// Shared state of the process.
    pub state: &'a Rc<RefCell<StagingState>>,
    /// Engine on this host.
    pub engine: &'a E,
    /// Connection to the origin of weights.
    pub origin: &'a O,
    /// Metrics of the process.
    pub metrics: &'a Metrics,
    /// Name of the model.
    pub model: &'a str,
    /// Version to download.
    pub version: u64,
}

impl<E: EnginePort, O: OriginPort> WeightsDownload<'_, E, O> {
    /// Fetches pieces until the version is complete or no longer wanted.
    pub async fn fetch_version(&self) {
        let Some(manifest) = self.fetch_manifest().await else {
            return;
        };
        self.verify_unknown_pieces(&manifest).await;
        {
            let mut state = self.state.borrow_mut();
            let now_ms = state.now_ms() as i64;
            state
                .staged_model(self.model)
                .start_fetches(self.version, now_ms);
        }
        LogLine::new(Event::TransferStarted)
            .text("model", self.model)
            .number("version", self.version)
            .number("held", self.held_pieces().held_count())
            .number("pieces", manifest.piece_count())
            .enqueue();
        self.fetch_missing(&manifest).await;
    }

    /// Returns whether this is still the version to fetch.
    pub(super) fn is_wanted(&self) -> bool {
        self.state.borrow().version_to_fetch(self.model) == Some(self.version)
    }

    /// Returns the pieces of this version that the host holds.
    pub(super) fn held_pieces(&self) -> ChunkBitmap {
        self.state
            .borrow_mut()
            .staged_model(self.model)
            .held_pieces(self.version)
    }

    /// Verifies the staged pieces whose version is unknown, as after a restart.
    async fn verify_unknown_pieces(&self, manifest: &PieceManifest) {
        if self.state.borrow().engine_report.is_none() {
            return;
        }
        let mut engine = self.engine.clone();
        for index in 0..manifest.piece_count() {
            let staged_version = self
                .state
                .borrow_mut()
                .staged_model(self.model)
                .staged_version(index);
            if staged_version == 0 {
                self.verify_staged_piece(&mut engine, manifest, index).await;
            }
        }
    }

    /// Writes every piece of this version to the staging area and verifies it there;
    /// `None` unless all pieces are valid.
    pub async fn stage_pieces(&self) -> Option<CheckedPieces> {
        let manifest = self.known_manifest()?;
        let may_write = {
            let state = self.state.borrow();
            state.orders.may_write(self.model, self.version)
        };
        let (born_unix_ms, orders, started_ms) = {
            let state = self.state.borrow();
            let report = state.engine_report.as_ref()?;
            (report.born_unix_ms, report.orders, state.now_ms() as i64)
        };
        let mut engine = self.engine.clone();
        let mut all_staged = true;
        for index in 0..manifest.piece_count() {
            let (staged_version, bytes) = {
                let mut state = self.state.borrow_mut();
                let staged_model = state.staged_model(self.model);
                (
                    staged_model.staged_version(index),
                    staged_model.buffered_piece(self.version, index),
                )
            };
            if staged_version == self.version
                && self
                    .verify_staged_piece(&mut engine, &manifest, index)
                    .await
            {
                continue;
            }
            let is_written = match bytes {
                Some(bytes) if may_write => {
                    self.write_piece(&mut engine, &manifest, index, &bytes)
                        .await
                }
                _ => false,
            };
            all_staged &= is_written
                && self
                    .verify_staged_piece(&mut engine, &manifest, index)
                    .await;
        }
        all_staged.then_some(CheckedPieces {
            born_unix_ms,
            orders,
            started_ms,
            ended_ms: self.state.borrow().now_ms() as i64,
        })
    }

    /// Writes a piece to the staging area; returns whether it succeeded.
    ///
    /// A write without an answer may be carried out later, over a piece of another version.
    async fn write_piece(
        &self,
        engine: &mut E,
        manifest: &PieceManifest,
        index: u32,
        bytes: &[u8],
    ) -> bool {
        match engine.write_piece(self.model, index, bytes).await {
            Ok(()) => true,
            Err(error) => {
                LogLine::new(Event::PieceWriteFailed)
                    .text("error", error.to_string())
                    .flag("answered", error.is_answer())
                    .text("model", self.model)
                    .number("version", self.version)
                    .number("piece", index)
                    .enqueue();
                if !error.is_answer() {
                    let mut state = self.state.borrow_mut();
                    let now_ms = state.now_ms() as i64;
                    state
                        .staged_model(self.model)
                        .record_open_write(self.version, now_ms);
                }
                self.verify_staged_piece(engine, manifest, index).await
            }
        }
    }

    /// Compares a staged piece with its digest and records the result.
    async fn verify_staged_piece(
        &self,
        engine: &mut E,
        manifest: &PieceManifest,
        index: u32,
    ) -> bool {
        let is_valid = match engine.read_piece(self.model, index).await {
            Ok(Some(bytes)) => manifest.matches(index, &bytes),
            Ok(None) => false,
            Err(error) => {
                log::debug!("cannot read piece {index} from the staging area: {error}");
                false
            }
        };
        let staged_version = if is_valid { self.version } else { 0 };
        let mut state = self.state.borrow_mut();
        state
            .staged_model(self.model)
            .set_staged_version(index, staged_version);
        is_valid
    }

    /// Fetches the missing pieces from entries, or from the swarm when no entry is
    /// available.
    async fn fetch_missing(&self, manifest: &PieceManifest) {
        let mut in_flight: Vec<PieceFetch> = Vec::new();
        let mut fetches = FuturesUnordered::new();
        let mut blocked: Vec<(PieceSource, u64)> = Vec::new();
        let mut swarm = self.swarm_view(manifest);
        let mut engine = self.engine.clone();
        let started_ms = self.state.borrow().now_ms();
        let mut progress_ms = started_ms;
        let mut is_slow = false;
        let mut resume_ms = 0;
        let mut rejected_pieces = 0;
        let mut seed = started_ms;
        loop {
            let have = self.held_pieces();
            if have.is_complete() {
                LogLine::new(Event::WeightsStaged)
                    .text("model", self.model)
                    .number("version", self.version)
                    .number("took_ms", self.state.borrow().now_ms() - started_ms)
                    .enqueue();
                return;
            }
            if !self.is_wanted() {
                return;
            }
            if self.swarm_addresses() != swarm.addresses && in_flight.is_empty() {
                swarm = self.swarm_view(manifest);
            }
            seed = seed.wrapping_add(1);
            let now_ms = self.state.borrow().now_ms();
            blocked.retain(|block| block.1 > now_ms);
            let planned = (now_ms < resume_ms)
                .then(Vec::new)
                .or_else(|| self.entry_fetches(&have, &in_flight, &blocked, is_slow))
                .unwrap_or_else(|| {
                    let times = (started_ms, progress_ms);
                    self.swarm_fetches(&swarm, &have, &in_flight, &blocked, times, seed)
                });
            for fetch in planned {
                in_flight.push(fetch);
                let address = match fetch.source {
                    PieceSource::Entry(address) => Some(address),
                    PieceSource::Swarm(ChunkSource::Origin) => None,
                    PieceSource::Swarm(ChunkSource::Peer(key)) => {
                        Some(swarm.addresses[key.0 as usize])
                    }
                };
                fetches.push(async move {
                    (fetch, now_ms, self.fetch_piece(fetch.index, address).await)
                });
            }
            tokio::select! {
                Some((fetch, fetch_started_ms, result)) = fetches.next() => {
                    in_flight.retain(|other| *other != fetch);
                    let now_ms = self.state.borrow().now_ms();
                    let took_ms = now_ms.saturating_sub(fetch_started_ms);
                    is_slow = took_ms >= SLOW_FETCH_MS;
                    if is_slow {
                        resume_ms = now_ms + took_ms.min(MAX_SLOW_PAUSE_MS);
                    }
                    let outcome = self.accept_piece(manifest, fetch, result, &mut engine).await;
                    if outcome == FetchOutcome::Held {
                        progress_ms = now_ms;
                        continue;
                    }
                    let entries = self.state.borrow().relay_entries().len();
                    blocked.push((fetch.source, now_ms + fetch.source.retry_delay_ms(entries)));
                    if outcome == FetchOutcome::Rejected {
                        rejected_pieces += 1;
                    }
                    if rejected_pieces >= MAX_REJECTED_PIECES {
                        rejected_pieces = 0;
                        if self.reread_manifest().await {
                            return;
                        }
                    }
                }
                () = tokio::time::sleep(MAX_PLAN_INTERVAL) => {}
            }
        }
    }

    /// Returns the fetches from entries to start now; `None` when no entry is available.
    ///
    /// All hosts fetch the pieces in the same order, so that the first request makes the
    /// entry fetch a piece from the origin, and the entry has it for the others. `blocked`
    /// lists the sources that failed, each with the monotonic time in ms until which
    /// nothing is fetched from it.
    fn entry_fetches(
        &self,
        have: &ChunkBitmap,
        in_flight: &[PieceFetch],
        blocked: &[(PieceSource, u64)],
        is_slow: bool,
    ) -> Option<Vec<PieceFetch>> {
        let mut entries = self.state.borrow().relay_entries();
        let is_blocked = |address: SocketAddr| {
            blocked
                .iter()
                .any(|block| block.0 == PieceSource::Entry(address))
        };
        entries.retain(|entry| !is_blocked(entry.address));
        if entries.is_empty() {
            return None;
        }
        let max_fetches = if is_slow { 1 } else { MAX_ENTRY_FETCHES };
        let free_fetches = max_fetches.saturating_sub(in_flight.len());
        if free_fetches == 0 {
            return Some(Vec::new());
        }
        let assigned = assign_pieces(have.chunk_count(), &entries);
        let is_missing = |index: &u32| {
            !have.contains(*index) && in_flight.iter().all(|fetch| fetch.index != *index)
        };
        let indices = (0..have.chunk_count())
            .filter(is_missing)
            .take(free_fetches);
        Some(
            indices
                .filter_map(|index| {
                    let source = PieceSource::Entry(assigned.get(index as usize)?.address);
                    Some(PieceFetch { index, source })
                })
                .collect(),
        )
    }

    /// Fetches one piece from a host or an entry, or from the origin when `address` is
    /// `None`.
    async fn fetch_piece(
        &self,
        index: u32,
        address: Option<SocketAddr>,
    ) -> Result<Vec<u8>, ExternalCallError> {
        let Some(address) = address else {
            let origin = self.state.borrow().origin().map(|origin| origin.address);
            let Some(origin) = origin else {
                return Err(ExternalCallError::Unreachable(
                    "no origin is configured".to_owned(),
                ));
            };
            let piece = self.origin.piece(origin, self.model, self.version, index);
            return piece.await;
        };
        let target = format!("{PIECE_PATH}{}/{}/{index}", self.model, self.version);
        let mut client = Http1Client::new(address, Duration::ZERO);
        match client
            .send(&ClientRequest::get(&target, PIECE_TIMEOUT))
            .await
        {
            Ok(reply) if reply.status == 200 => Ok(reply.body),
            Ok(reply) => Err(ExternalCallError::Refused(reply.status)),
            Err(error) => Err(ExternalCallError::Unreachable(error.to_string())),
        }
    }

    /// Verifies a fetched piece and stores it in the staging area or in memory; returns
    /// how that ended.
    async fn accept_piece(
        &self,
        manifest: &PieceManifest,
        fetch: PieceFetch,
        result: Result<Vec<u8>, ExternalCallError>,
        engine: &mut E,
    ) -> FetchOutcome {
        let bytes = match result {
            Ok(bytes) => bytes,
            Err(error) => {
                log::debug!("cannot fetch piece {}: {error}", fetch.index);
                return FetchOutcome::Failed;
            }
        };
        let from = match fetch.source {
            PieceSource::Entry(_) => "entry",
            PieceSource::Swarm(ChunkSource::Origin) => "origin",
            PieceSource::Swarm(ChunkSource::Peer(_)) => "host",
        };
        self.metrics.add(
            CounterKind::WeightBytes,
            bytes.len() as u64,
            "direction",
            from,
        );
        if !manifest.matches(fetch.index, &bytes) {
            LogLine::new(Event::PieceRejected)
                .text("model", self.model)
                .number("version", self.version)
                .number("piece", fetch.index)
                .text("from", from)
                .enqueue();
            return FetchOutcome::Rejected;
        }
        let can_stage = self
            .state
            .borrow()
            .can_overwrite_staged(self.model, self.version);
        let is_staged = can_stage
            && self
                .write_piece(engine, manifest, fetch.index, &bytes)
                .await;
        let mut state = self.state.borrow_mut();
        let now_ms = state.now_ms() as i64;
        let staged_model = state.staged_model(self.model);
        if is_staged {
            staged_model.set_staged_version(fetch.index, self.version);
            staged_model.record_progress(self.version, now_ms);
        } else {
            staged_model.buffer_piece(self.version, fetch.index, bytes, now_ms);
        }
        FetchOutcome::Held
    }
}
