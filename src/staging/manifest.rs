use std::net::SocketAddr;
use std::time::Duration;

use crate::fleet::assign_pieces;
use crate::fleet::rendezvous_rank;
use crate::gateway::MANIFEST_PATH;
use crate::http1::ClientRequest;
use crate::http1::Http1Client;
use crate::observe::Event;
use crate::observe::LogLine;
use crate::staging::EnginePort;
use crate::staging::weights_download::WeightsDownload;
use crate::weights::ExternalCallError;
use crate::weights::OriginPort;
use crate::weights::PieceManifest;
use crate::weights::fetch_confirmed_manifest;

/// Timeout of a request for a manifest to another host or an entry.
const MANIFEST_TIMEOUT: Duration = Duration::from_millis(500);

/// Additional delay of each further host before it requests a manifest from the
/// origin, so that not all hosts request it at once.
const MANIFEST_RANK_DELAY: Duration = Duration::from_millis(120);

/// Delay before a failed search for a manifest is repeated.
const MANIFEST_RETRY_DELAY: Duration = Duration::from_millis(150);

impl<E: EnginePort, O: OriginPort> WeightsDownload<'_, E, O> {
    /// Returns the manifest: the known one, or one fetched from a host, an entry or the
    /// origin.
    ///
    /// Repeats the search until it succeeds; `None` once the version is not wanted any
    /// more. The origin is contacted only while no entry is available.
    pub(super) async fn fetch_manifest(&self) -> Option<PieceManifest> {
        if let Some(known) = self.known_manifest() {
            return Some(known);
        }
        let rank = {
            let mut state = self.state.borrow_mut();
            let now_ms = state.now_ms() as i64;
            state
                .staged_model(self.model)
                .start_search(self.version, now_ms);
            let names: Vec<String> = state
                .replicas
                .iter()
                .map(|r| r.address.to_string())
                .collect();
            let own = state.settings.replica.to_string();
            rendezvous_rank(&own, names.iter().map(String::as_str), self.version)
        };
        let mut delay = MANIFEST_RANK_DELAY * u32::try_from(rank).unwrap_or(u32::MAX).min(16);
        loop {
            if !self.is_wanted() {
                return None;
            }
            if let Some(manifest) = self.search_manifest(delay.is_zero()).await {
                return Some(self.store_manifest(manifest));
            }
            if delay.is_zero() {
                tokio::time::sleep(MANIFEST_RETRY_DELAY).await;
            } else {
                let step = delay.min(MANIFEST_RANK_DELAY);
                tokio::time::sleep(step).await;
                delay -= step;
            }
        }
    }

    /// Returns the manifest, and fetches it where it is not known; `None` if that fails.
    pub(super) async fn find_manifest(&self) -> Option<PieceManifest> {
        match self.known_manifest() {
            Some(known) => Some(known),
            None => self.search_manifest(true).await,
        }
    }

    /// Asks each source for the manifest once: hosts and entries, and with `may_ask_origin`
    /// the origin while no entry is available.
    async fn search_manifest(&self, may_ask_origin: bool) -> Option<PieceManifest> {
        for address in self.manifest_sources() {
            if let Some(manifest) = self.fetch_manifest_from_host(address).await {
                return Some(manifest);
            }
        }
        if may_ask_origin && self.state.borrow().relay_entries().is_empty() {
            return self.fetch_manifest_from_origin().await;
        }
        None
    }

    /// Returns the manifest if it was fetched before.
    pub(super) fn known_manifest(&self) -> Option<PieceManifest> {
        let mut state = self.state.borrow_mut();
        let download = state
            .staged_model(self.model)
            .version_download(self.version);
        download.map(|download| download.manifest.clone())
    }

    /// Reads the manifest again after pieces did not match it, and replaces the known one;
    /// returns whether it has changed.
    ///
    /// Hosts are not asked: they may have the same one.
    pub(super) async fn reread_manifest(&self) -> bool {
        let entry = assign_pieces(1, &self.state.borrow().relay_entries())
            .first()
            .copied();
        let read = match entry {
            Some(entry) => self.fetch_manifest_from_host(entry.address).await,
            None => self.fetch_manifest_from_origin().await,
        };
        let mut state = self.state.borrow_mut();
        let staged_model = state.staged_model(self.model);
        let has_changed = read.is_some_and(|read| staged_model.replace_manifest(read));
        drop(state);
        if has_changed {
            self.log_rejected_manifest("pieces");
        }
        has_changed
    }

    /// Stores the manifest, which starts the download of its version.
    fn store_manifest(&self, manifest: PieceManifest) -> PieceManifest {
        let mut state = self.state.borrow_mut();
        let now_ms = state.now_ms() as i64;
        state
            .staged_model(self.model)
            .start_download(manifest.clone(), now_ms);
        manifest
    }

    /// Returns the addresses to fetch the manifest from: a host that has it, and an
    /// entry, which fetches it from the origin when needed.
    fn manifest_sources(&self) -> Vec<SocketAddr> {
        let state = self.state.borrow();
        let peers = state
            .peer_pieces
            .iter()
            .filter(|peer| peer.model == self.model && peer.version == self.version);
        let hosts = peers.map(|peer| peer.address).take(1);
        let entry = assign_pieces(1, &state.relay_entries()).first().copied();
        hosts.chain(entry.map(|entry| entry.address)).collect()
    }

    /// Fetches the manifest from another host or an entry.
    async fn fetch_manifest_from_host(&self, address: SocketAddr) -> Option<PieceManifest> {
        let target = format!("{MANIFEST_PATH}{}/{}", self.model, self.version);
        let mut client = Http1Client::new(address, Duration::ZERO);
        match client
            .send(&ClientRequest::get(&target, MANIFEST_TIMEOUT))
            .await
        {
            Ok(reply) if reply.status == 200 => {
                let manifest: Option<PieceManifest> = rmp_serde::from_slice(&reply.body).ok();
                let fitting = manifest.filter(|m| m.describes(self.version, self.piece_count()));
                if fitting.is_none() {
                    self.log_rejected_manifest(&address.to_string());
                }
                fitting
            }
            Ok(_) => None,
            Err(error) => {
                log::debug!("cannot fetch a manifest from {address}: {error}");
                None
            }
        }
    }

    /// Fetches the manifest from the origin.
    async fn fetch_manifest_from_origin(&self) -> Option<PieceManifest> {
        let origin = self.state.borrow().origin()?.address;
        let pieces = self.piece_count();
        let read = fetch_confirmed_manifest(self.origin, origin, self.model, self.version, pieces);
        match read.await {
            Ok(manifest) => Some(manifest),
            Err(error) => {
                if error == ExternalCallError::UnconfirmedManifest {
                    self.log_rejected_manifest("origin");
                }
                log::debug!("cannot fetch a manifest from the origin: {error}");
                None
            }
        }
    }

    /// Returns the number of pieces that the configuration gives a version; 0 for none.
    fn piece_count(&self) -> u32 {
        let state = self.state.borrow();
        let catalog = state.catalog.as_ref();
        catalog.map_or(0, |catalog| catalog.piece_count(self.model))
    }

    /// Logs that a manifest from `from` was rejected.
    fn log_rejected_manifest(&self, from: &str) {
        LogLine::new(Event::ManifestRejected)
            .text("model", self.model)
            .number("version", self.version)
            .text("from", from)
            .enqueue();
    }
}
