use std::rc::Rc;
use std::time::Duration;

use tokio::time::Instant;

use crate::gateway::piece_cache::CachedVersion;
use crate::gateway::piece_cache::PieceCache;
use crate::observe::Event;
use crate::observe::LogLine;
use crate::weights::ExternalCallError;
use crate::weights::OriginPort;

/// Pause before reading ahead goes on after a failure.
const AHEAD_PAUSE: Duration = Duration::from_millis(300);

impl<O: OriginPort> PieceCache<O> {
    /// Reads the pieces of newly declared versions whose home is here, before
    /// anybody asks for them.
    pub async fn read_ahead(self: Rc<Self>) {
        let news = self.state.borrow().weights_notice.clone();
        loop {
            let declared = self.state.borrow().weights.latest().cloned();
            if let Some(declared) = declared
                && !self.is_at_hand(&declared.model, declared.version)
            {
                let cached = self.version(&declared.model, declared.version);
                if let Err(error) = self.read_home_pieces(&cached).await {
                    log::debug!("cannot read version {} ahead: {error}", declared.version);
                    tokio::time::sleep(AHEAD_PAUSE).await;
                    continue;
                }
                LogLine::new(Event::WeightsStaged)
                    .text("model", &declared.model)
                    .number("version", declared.version)
                    .write();
            }
            news.notified().await;
        }
    }

    fn is_at_hand(&self, model: &str, version: u64) -> bool {
        self.known(model, version).is_some_and(|known| {
            let pieces = known.pieces.borrow();
            !pieces.is_empty() && pieces.iter().all(|piece| piece.initialized())
        })
    }

    /// Reads the pieces whose home is here, each when its turn on the origin's
    /// link comes, so that they arrive in the order in which hosts ask.
    async fn read_home_pieces(&self, cached: &CachedVersion) -> Result<(), ExternalCallError> {
        let manifest = self.manifest(cached).await?;
        let began = Instant::now();
        let turn = self.origin_turn();
        for index in 0..manifest.piece_count() {
            if self.homes(index).first() == Some(&None) {
                tokio::time::sleep_until(began + turn * index).await;
                self.piece(cached, index, true).await?;
            }
        }
        Ok(())
    }

    /// Time that one piece takes on the origin's link.
    fn origin_turn(&self) -> Duration {
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
