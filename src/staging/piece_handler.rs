use std::cell::RefCell;
use std::rc::Rc;

use crate::gateway::MANIFEST_PATH;
use crate::gateway::PIECE_PATH;
use crate::http1::InternalHandler;
use crate::http1::InternalRequest;
use crate::http1::InternalResponse;
use crate::observe::Metrics;
use crate::staging::EnginePort;
use crate::staging::StagingState;

/// Path that serves the metrics.
const METRICS_PATH: &str = "/metrics";

/// Serves pieces and manifests to other hosts, and the metrics.
#[derive(Debug)]
pub struct PieceHandler<E> {
    /// Shared state of the process.
    pub state: Rc<RefCell<StagingState>>,
    /// Engine whose staging area holds the pieces.
    pub engine: E,
    /// Metrics of the process.
    pub metrics: Rc<Metrics>,
}

impl<E: EnginePort> PieceHandler<E> {
    /// Returns the piece at `rest`, the path `MODEL/VERSION/INDEX`; `None` when it is
    /// not held.
    async fn piece(&self, rest: &str) -> Option<InternalResponse> {
        let mut parts = rest.split('/');
        let model = parts.next()?;
        let version: u64 = parts.next()?.parse().ok()?;
        let index: u32 = parts.next()?.parse().ok()?;
        let (staged_version, buffered) = {
            let mut state = self.state.borrow_mut();
            let staged = state.staged_model(model);
            (
                staged.staged_version(index),
                staged.buffered_piece(version, index),
            )
        };
        if let Some(bytes) = buffered {
            return Some(InternalResponse {
                status: 200,
                content_type: "application/octet-stream",
                body: bytes.to_vec(),
            });
        }
        if staged_version != version {
            return None;
        }
        let mut engine = self.engine.clone();
        match engine.read_piece(model, index).await {
            Ok(Some(body)) if self.matches(model, version, index, &body) => {
                Some(InternalResponse {
                    status: 200,
                    content_type: "application/octet-stream",
                    body,
                })
            }
            Ok(Some(_)) => {
                log::debug!("piece {index} of model {model} was spoilt or read in part");
                None
            }
            Ok(None) => None,
            Err(error) => {
                log::debug!(
                    "cannot read piece {index} of model {model} from the staging area: {error}"
                );
                None
            }
        }
    }

    /// Whether `bytes` are a piece of `version`, as far as its manifest is known. The engine's
    /// answer may have been cut: it would be passed on as a whole one.
    fn matches(&self, model: &str, version: u64, index: u32, bytes: &[u8]) -> bool {
        let mut state = self.state.borrow_mut();
        let download = state.staged_model(model).version_download(version);
        download.is_none_or(|download| download.manifest.matches(index, bytes))
    }

    /// Returns the manifest at `rest`, the path `MODEL/VERSION`; `None` when it is not
    /// known.
    fn manifest(&self, rest: &str) -> Option<InternalResponse> {
        let (model, version) = rest.split_once('/')?;
        let version: u64 = version.parse().ok()?;
        let mut state = self.state.borrow_mut();
        let manifest = &state
            .staged_model(model)
            .version_download(version)?
            .manifest;
        Some(InternalResponse {
            status: 200,
            content_type: "application/msgpack",
            body: rmp_serde::to_vec(manifest).ok()?,
        })
    }
}

impl<E: EnginePort> InternalHandler for PieceHandler<E> {
    async fn handle(&self, request: InternalRequest) -> InternalResponse {
        let path = request.head.path();
        if path == METRICS_PATH {
            return InternalResponse::metrics(self.metrics.render());
        }
        let reply = if let Some(rest) = path.strip_prefix(PIECE_PATH) {
            self.piece(rest).await
        } else if let Some(rest) = path.strip_prefix(MANIFEST_PATH) {
            self.manifest(rest)
        } else {
            None
        };
        reply.unwrap_or_else(|| InternalResponse::without_body(404))
    }
}
