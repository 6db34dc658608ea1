use std::rc::Rc;
use std::time::Duration;

use tokio::time::Instant;

use crate::gateway::piece_cache::CachedVersion;
use crate::gateway::piece_cache::PieceCache;
use crate::observe::Event;
use crate::observe::LogLine;
use crate::weights::ExternalCallError;
use crate::weights::OriginPort;

/// Pause after a failure before reading ahead is retried.
const READ_AHEAD_RETRY_PAUSE: Duration = Duration::from_millis(300);

impl<O: OriginPort> PieceCache<O> {
    /// Reads the pieces of newly declared versions of which this entry is the primary
    /// holder, before hosts request them.
    pub async fn read_ahead(self: Rc<Self>) {
        let notice = self.state.borrow().weights_notice.clone();
        loop {
            let declared = self.state.borrow().weights.latest().cloned();
            if let Some(declared) = declared
                && !self.is_cached(&declared.model, declared.version)
            {
                let cached = self.find_or_add_version(&declared.model, declared.version);
                if let Err(error) = self.read_primary_pieces(&cached).await {
                    log::debug!("cannot read version {} ahead: {error}", declared.version);
                    tokio::time::sleep(READ_AHEAD_RETRY_PAUSE).await;
                    continue;
                }
                LogLine::new(Event::WeightsStaged)
                    .text("model", &declared.model)
                    .number("version", declared.version)
                    .enqueue();
            }
            notice.notified().await;
        }
    }

    /// Whether all pieces of the version are cached.
    fn is_cached(&self, model: &str, version: u64) -> bool {
        self.find_version(model, version).is_some_and(|known| {
            let pieces = known.pieces.borrow();
            !pieces.is_empty() && pieces.iter().all(|piece| piece.initialized())
        })
    }

    /// Reads the pieces of which this entry is the primary holder.
    ///
    /// Each read starts at the time at which the origin's link, shared by all entries,
    /// is expected to reach that index, so that pieces arrive in the order in which
    /// hosts request them.
    async fn read_primary_pieces(&self, cached: &CachedVersion) -> Result<(), ExternalCallError> {
        let manifest = self.manifest(cached).await?;
        let began = Instant::now();
        let piece_time = self.origin_piece_time();
        for index in 0..manifest.piece_count() {
            if self.ranked_holders(index).first() == Some(&None) {
                tokio::time::sleep_until(began + piece_time * index).await;
                self.piece(cached, index, true).await?;
            }
        }
        Ok(())
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
        Duration::from_secs_f64(chunk_bytes * 8.0 / (link_mbps * 1_000_000.0))
    }
}
