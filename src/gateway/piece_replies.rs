use std::rc::Rc;
use std::time::Duration;

use crate::gateway::piece_cache::PieceCache;
use crate::gateway::piece_paths::HELD_PIECE_PATH;
use crate::gateway::piece_paths::HELD_STATUS_PATH;
use crate::gateway::piece_paths::MANIFEST_PATH;
use crate::gateway::piece_paths::PIECE_PATH;
use crate::gateway::piece_paths::PRIMARY_MANIFEST_PATH;
use crate::gateway::piece_paths::PRIMARY_PIECE_PATH;
use crate::http1::InternalResponse;
use crate::weights::ExternalCallError;
use crate::weights::OriginPort;

impl<O: OriginPort + 'static> PieceCache<O> {
    /// Reply to a call for a piece or a manifest; None if `path` is neither.
    pub async fn reply_to(self: &Rc<Self>, path: &str) -> Option<InternalResponse> {
        let primary = path.strip_prefix(PRIMARY_MANIFEST_PATH);
        if let Some(path_rest) = primary.or_else(|| path.strip_prefix(MANIFEST_PATH)) {
            let (model, version) = path_rest.split_once('/')?;
            let cached = self.find_or_add_version(model, version.parse().ok()?);
            if primary.is_none() {
                // A host begins to download the version.
                self.start_read_ahead(&cached);
            }
            return Some(match self.manifest(&cached, primary.is_some()).await {
                Ok(manifest) => InternalResponse {
                    status: 200,
                    content_type: "application/msgpack",
                    body: rmp_serde::to_vec(&*manifest).ok()?,
                },
                Err(error) => unavailable_reply(&error),
            });
        }
        if let Some(path_rest) = path.strip_prefix(HELD_STATUS_PATH) {
            let (model, version, index) = parse_piece(path_rest)?;
            let is_held = self.cached_piece(model, version, index).is_some();
            return Some(InternalResponse::without_body(if is_held {
                200
            } else {
                404
            }));
        }
        let primary = path.strip_prefix(PRIMARY_PIECE_PATH);
        let held = path.strip_prefix(HELD_PIECE_PATH);
        let path_rest = primary.or(held).or_else(|| path.strip_prefix(PIECE_PATH))?;
        let (model, version, index) = parse_piece(path_rest)?;
        let piece = if held.is_some() {
            self.cached_piece(model, version, index)
                .ok_or(ExternalCallError::Refused(404))
        } else {
            let cached = self.find_or_add_version(model, version);
            let is_readable =
                primary.is_some() || cached.has_piece(index) || self.wait_for_span(&cached).await;
            if is_readable {
                self.piece(&cached, index, primary.is_some()).await
            } else {
                Err(ExternalCallError::Unreachable(
                    "an earlier version is read first".to_owned(),
                ))
            }
        };
        if let Ok(bytes) = &piece {
            self.wait_for_link(bytes.len()).await;
        }
        Some(match piece {
            Ok(bytes) => InternalResponse {
                status: 200,
                content_type: "application/octet-stream",
                body: bytes.to_vec(),
            },
            Err(error) => unavailable_reply(&error),
        })
    }

    /// Waits until the token bucket of the link admits `len` bytes.
    async fn wait_for_link(&self, len: usize) {
        let now_us = u64::try_from(self.started.elapsed().as_micros()).unwrap_or(u64::MAX);
        let wait_us = self.link.borrow_mut().reserve(now_us, len as u64);
        tokio::time::sleep(Duration::from_micros(wait_us)).await;
    }
}

/// Model, version and index of a piece in the rest of a path.
fn parse_piece(path_rest: &str) -> Option<(&str, u64, u32)> {
    let mut parts = path_rest.split('/');
    let model = parts.next()?;
    let version = parts.next()?.parse().ok()?;
    let index = parts.next()?.parse().ok()?;
    Some((model, version, index))
}

/// Reply to a call for weights that could not be read.
fn unavailable_reply(error: &ExternalCallError) -> InternalResponse {
    log::debug!("cannot provide weights: {error}");
    InternalResponse::without_body(503)
}
