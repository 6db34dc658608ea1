use std::future::Future;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use tokio::time::Instant;

use crate::gateway::cached_version::CachedVersion;
use crate::gateway::piece_cache::PieceCache;
use crate::gateway::piece_paths::HELD_PIECE_PATH;
use crate::gateway::piece_paths::PRIMARY_PIECE_PATH;
use crate::http1::ClientRequest;
use crate::http1::Http1Client;
use crate::http1::Http1Error;
use crate::observe::CounterKind;
use crate::observe::Event;
use crate::observe::LogLine;
use crate::weights::ExternalCallError;
use crate::weights::OriginPort;
use crate::weights::PieceManifest;

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

/// Attempts at reading one piece from the origin that doesn't match its digest.
const MAX_ORIGIN_READS: u32 = 3;

/// Why another entry gave no piece.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum HolderError {
    /// No connection to it could be opened.
    NotConnected,
    /// It had none, sent a spoilt one, or did not answer in time.
    Failed,
}

impl<O: OriginPort + 'static> PieceCache<O> {
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
                // Without a connection it can't be reading the piece.
                Err(HolderError::NotConnected) => {}
                // It has no piece either, as the origin fails, or is still reading it. A read
                // by another holder would take another copy from the origin's link.
                Err(HolderError::Failed) => break,
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
    pub(super) fn is_fresh(&self, cached: &CachedVersion) -> bool {
        let state = self.state.borrow();
        let mut declared = state.weights.for_model(&cached.model);
        let now_ms = state.now_ms() as i64;
        declared
            .find(|declaration| declaration.version == cached.version)
            .is_some_and(|d| d.is_time_exact && now_ms - d.learned_ms < FRESH_VERSION_MS)
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

    /// Reads a piece from another entry, on one of the paths of pieces.
    async fn read_from_entry(
        &self,
        path: &str,
        cached: &CachedVersion,
        manifest: &PieceManifest,
        index: u32,
        entry: SocketAddr,
    ) -> Result<Vec<u8>, HolderError> {
        let target = format!("{path}{}/{}/{index}", cached.model, cached.version);
        let timeout = if path == HELD_PIECE_PATH {
            HELD_PIECE_TIMEOUT
        } else {
            PRIMARY_PIECE_TIMEOUT
        };
        let mut client = Http1Client::new(entry, Duration::ZERO);
        match client.send(&ClientRequest::get(&target, timeout)).await {
            Ok(reply) if reply.status != 200 => {
                log::debug!("{entry} has no piece {index}: status {}", reply.status);
                Err(HolderError::Failed)
            }
            Ok(reply) if manifest.matches(index, &reply.body) => Ok(reply.body),
            Ok(_) => {
                log::debug!("{entry} sent a piece that does not match its digest");
                Err(HolderError::Failed)
            }
            Err(error) => {
                log::debug!("cannot read a piece from {entry}: {error}");
                Err(match error {
                    Http1Error::NotConnected(_) => HolderError::NotConnected,
                    _ => HolderError::Failed,
                })
            }
        }
    }

    /// Reads a piece from the origin, again if its digest does not match.
    async fn read_from_origin(
        &self,
        cached: &CachedVersion,
        manifest: &PieceManifest,
        index: u32,
    ) -> Result<Vec<u8>, ExternalCallError> {
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
                }
                // Reads that follow at once would occupy the link when the origin is back, out
                // of turn.
                Err(error) => return Err(error),
            }
        }
        // A manifest that was spoilt alike in two reads is confirmed, but no piece matches.
        self.reread_manifest(cached).await;
        Err(ExternalCallError::Corrupt)
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
