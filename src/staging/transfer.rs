use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use futures_util::StreamExt;
use futures_util::stream::FuturesUnordered;

use crate::gateway::PIECE_PATH;
use crate::http1::Ask;
use crate::http1::Client;
use crate::observe::Event;
use crate::observe::LogLine;
use crate::observe::Metrics;
use crate::observe::Tally;
use crate::staging::EnginePort;
use crate::staging::StagingState;
use crate::staging::entries_for;
use crate::weights::ChunkBitmap;
use crate::weights::ChunkSource;
use crate::weights::ExternalCallError;
use crate::weights::OriginPort;
use crate::weights::PieceManifest;

/// Longest time between two looks at the plan.
const PLAN_INTERVAL: Duration = Duration::from_millis(60);

/// Pause before a failed source is asked again, in ms.
const SOURCE_PAUSE_MS: u64 = 250;

/// Time for one piece from another host: several pieces share its link.
const PIECE_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Reads from entries in progress at a time: what is under way delays the
/// requests to the replica, whose link it shares.
const MAX_ENTRY_READS: usize = 2;

/// Time of one read beyond which only one is in progress, in ms: the link is
/// narrower than it should be.
const SLOW_READ_MS: u64 = 300;

/// Pause before an entry that failed is asked again, in ms: the origin may be away.
const ENTRY_PAUSE_MS: u64 = 1_000;

/// Where a piece is read.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Place {
    /// From an entry that it passes through.
    Entry(SocketAddr),
    /// From another host or the origin.
    Swarm(ChunkSource),
}

impl Place {
    /// Pause before it is asked again after a failure.
    fn pause_ms(self) -> u64 {
        match self {
            Self::Entry(_) => ENTRY_PAUSE_MS,
            Self::Swarm(_) => SOURCE_PAUSE_MS,
        }
    }
}

/// One read of a piece.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct Read {
    pub(super) chunk: u32,
    pub(super) place: Place,
}

/// Gathers the pieces of one version into the staging area.
#[derive(Debug)]
pub struct Transfer<'a, E, O> {
    /// What the process knows.
    pub state: &'a Rc<RefCell<StagingState>>,
    /// The engine on the own host.
    pub engine: &'a E,
    /// The origin of weights.
    pub origin: &'a O,
    /// Counters.
    pub metrics: &'a Metrics,
    /// Model.
    pub model: &'a str,
    /// Version.
    pub version: u64,
}

impl<E: EnginePort, O: OriginPort> Transfer<'_, E, O> {
    /// Gathers until the version is complete or no longer wanted.
    pub async fn run(&self) {
        let Some(manifest) = self.manifest().await else {
            return;
        };
        self.take_inventory(&manifest).await;
        LogLine::new(Event::TransferStarted)
            .text("model", self.model)
            .number("version", self.version)
            .number("held", self.have().held_count())
            .number("pieces", manifest.piece_count())
            .write();
        self.fetch_missing(&manifest).await;
    }

    pub(super) fn is_wanted(&self) -> bool {
        self.state.borrow().to_gather(self.model) == Some(self.version)
    }

    pub(super) fn have(&self) -> ChunkBitmap {
        self.state.borrow_mut().stage(self.model).have(self.version)
    }

    /// Checks the staged pieces whose version is not known.
    async fn take_inventory(&self, manifest: &PieceManifest) {
        let mut engine = self.engine.clone();
        for index in 0..manifest.piece_count() {
            let staged = self.state.borrow_mut().stage(self.model).staged(index);
            if staged == 0 {
                self.check_piece(&mut engine, manifest, index).await;
            }
        }
    }

    /// Puts every piece into the staging area and checks what lies there;
    /// returns whether all are right.
    pub async fn stage_pieces(&self) -> bool {
        let Some(manifest) = self.known_manifest() else {
            return false;
        };
        let mut engine = self.engine.clone();
        let mut is_whole = true;
        for index in 0..manifest.piece_count() {
            let (staged, bytes) = {
                let mut state = self.state.borrow_mut();
                let stage = state.stage(self.model);
                (stage.staged(index), stage.piece(self.version, index))
            };
            if staged == self.version && self.check_piece(&mut engine, &manifest, index).await {
                continue;
            }
            let is_written = match bytes {
                Some(bytes) => self.write_piece(&mut engine, index, &bytes).await,
                None => false,
            };
            is_whole &= is_written && self.check_piece(&mut engine, &manifest, index).await;
        }
        is_whole
    }

    async fn write_piece(&self, engine: &mut E, index: u32, bytes: &[u8]) -> bool {
        match engine.write_piece(self.model, index, bytes).await {
            Ok(()) => true,
            Err(error) => {
                log::debug!("piece {index} was not staged: {error}");
                false
            }
        }
    }

    async fn check_piece(&self, engine: &mut E, manifest: &PieceManifest, index: u32) -> bool {
        let is_right = match engine.read_piece(self.model, index).await {
            Ok(Some(bytes)) => manifest.matches(index, &bytes),
            Ok(None) => false,
            Err(error) => {
                log::debug!("staged piece {index} cannot be read: {error}");
                false
            }
        };
        let staged = if is_right { self.version } else { 0 };
        let mut state = self.state.borrow_mut();
        state.stage(self.model).set_staged(index, staged);
        is_right
    }

    async fn fetch_missing(&self, manifest: &PieceManifest) {
        let mut in_flight: Vec<Read> = Vec::new();
        let mut reads = FuturesUnordered::new();
        let mut blocked: Vec<(Place, u64)> = Vec::new();
        let mut swarm = self.swarm(manifest);
        let mut engine = self.engine.clone();
        let started_ms = self.state.borrow().now_ms();
        let mut progress_ms = started_ms;
        let mut is_slow = false;
        let mut seed = started_ms;
        loop {
            let have = self.have();
            if have.is_complete() {
                LogLine::new(Event::WeightsStaged)
                    .text("model", self.model)
                    .number("version", self.version)
                    .number("took_ms", self.state.borrow().now_ms() - started_ms)
                    .write();
                return;
            }
            if !self.is_wanted() {
                return;
            }
            if self.hosts() != swarm.addresses && in_flight.is_empty() {
                swarm = self.swarm(manifest);
            }
            seed = seed.wrapping_add(1);
            let now_ms = self.state.borrow().now_ms();
            blocked.retain(|block| block.1 > now_ms);
            let planned = self
                .entry_reads(&have, &in_flight, &blocked, is_slow)
                .unwrap_or_else(|| {
                    let times = (started_ms, progress_ms);
                    self.swarm_reads(&swarm, &have, &in_flight, &blocked, times, seed)
                });
            for read in planned {
                in_flight.push(read);
                let address = match read.place {
                    Place::Entry(address) => Some(address),
                    Place::Swarm(ChunkSource::Origin) => None,
                    Place::Swarm(ChunkSource::Peer(key)) => Some(swarm.addresses[key.0 as usize]),
                };
                reads.push(async move { (read, now_ms, self.read(read.chunk, address).await) });
            }
            tokio::select! {
                Some((read, began_ms, result)) = reads.next() => {
                    in_flight.retain(|other| *other != read);
                    let now_ms = self.state.borrow().now_ms();
                    is_slow = now_ms.saturating_sub(began_ms) >= SLOW_READ_MS;
                    if self.take_piece(manifest, read, result, &mut engine).await {
                        progress_ms = now_ms;
                    } else {
                        blocked.push((read.place, now_ms + read.place.pause_ms()));
                    }
                }
                () = tokio::time::sleep(PLAN_INTERVAL) => {}
            }
        }
    }

    /// Reads from entries to start now; None when no entry can be asked.
    ///
    /// All hosts ask in the same order, so that a piece is read from the origin
    /// when the first of them wants it, and lies ready for the others.
    fn entry_reads(
        &self,
        have: &ChunkBitmap,
        in_flight: &[Read],
        blocked: &[(Place, u64)],
        is_slow: bool,
    ) -> Option<Vec<Read>> {
        let mut entries = self.state.borrow().near_entries();
        let is_blocked =
            |address: SocketAddr| blocked.iter().any(|block| block.0 == Place::Entry(address));
        entries.retain(|entry| !is_blocked(entry.address));
        if entries.is_empty() {
            return None;
        }
        let most = if is_slow { 1 } else { MAX_ENTRY_READS };
        let room = most.saturating_sub(in_flight.len());
        if room == 0 {
            return Some(Vec::new());
        }
        let carriers = entries_for(have.chunk_count(), &entries);
        let is_free = |chunk: &u32| {
            !have.contains(*chunk) && in_flight.iter().all(|read| read.chunk != *chunk)
        };
        let reads = (0..have.chunk_count()).filter(is_free).take(room);
        Some(
            reads
                .filter_map(|chunk| {
                    let place = Place::Entry(carriers.get(chunk as usize)?.address);
                    Some(Read { chunk, place })
                })
                .collect(),
        )
    }

    /// Reads one piece from another host, or from the origin.
    async fn read(
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
            let read = self.origin.piece(origin, self.model, self.version, index);
            return read.await;
        };
        let target = format!("{PIECE_PATH}{}/{}/{index}", self.model, self.version);
        let mut client = Client::new(address, Duration::ZERO);
        match client.ask(&Ask::get(&target, PIECE_TIMEOUT)).await {
            Ok(reply) if reply.status == 200 => Ok(reply.body),
            Ok(reply) => Err(ExternalCallError::Refused(reply.status)),
            Err(error) => Err(ExternalCallError::Unreachable(error.to_string())),
        }
    }

    /// Checks a piece and stages it.
    async fn take_piece(
        &self,
        manifest: &PieceManifest,
        read: Read,
        result: Result<Vec<u8>, ExternalCallError>,
        engine: &mut E,
    ) -> bool {
        let bytes = match result {
            Ok(bytes) => bytes,
            Err(error) => {
                log::debug!("piece {} was not read: {error}", read.chunk);
                return false;
            }
        };
        let from = match read.place {
            Place::Entry(_) => "entry",
            Place::Swarm(ChunkSource::Origin) => "origin",
            Place::Swarm(ChunkSource::Peer(_)) => "host",
        };
        self.metrics
            .add(Tally::WeightBytes, bytes.len() as u64, "direction", from);
        if !manifest.matches(read.chunk, &bytes) {
            LogLine::new(Event::PieceRejected)
                .text("model", self.model)
                .number("version", self.version)
                .number("piece", read.chunk)
                .text("from", from)
                .write();
            return false;
        }
        let is_free = self.state.borrow().may_overwrite(self.model, self.version);
        let is_staged = is_free && self.write_piece(engine, read.chunk, &bytes).await;
        let mut state = self.state.borrow_mut();
        let now_ms = state.now_ms() as i64;
        let stage = state.stage(self.model);
        if is_staged {
            stage.set_staged(read.chunk, self.version);
            stage.note_progress(self.version, now_ms);
        } else {
            stage.keep_piece(self.version, read.chunk, bytes, now_ms);
        }
        true
    }
}
