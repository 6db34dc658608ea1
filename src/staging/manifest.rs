use std::net::SocketAddr;
use std::time::Duration;

use crate::fleet::rotation_slot;
use crate::gateway::MANIFEST_PATH;
use crate::http1::Ask;
use crate::http1::Client;
use crate::staging::EnginePort;
use crate::staging::entries_for;
use crate::staging::transfer::Transfer;
use crate::weights::OriginPort;
use crate::weights::PieceManifest;
use crate::weights::fetch_confirmed_manifest;

/// Time for a manifest from another host.
const MANIFEST_TIMEOUT: Duration = Duration::from_millis(500);

/// Time that each further host waits before it asks the origin for a manifest.
const MANIFEST_STAGGER: Duration = Duration::from_millis(120);

/// Pause before the origin is asked for a manifest again.
const MANIFEST_PAUSE: Duration = Duration::from_millis(150);

impl<E: EnginePort, O: OriginPort> Transfer<'_, E, O> {
    /// Reads the manifest from a host that has it, or from the origin.
    pub(super) async fn manifest(&self) -> Option<PieceManifest> {
        if let Some(known) = self.known_manifest() {
            return Some(self.keep_manifest(known));
        }
        let slot = {
            let state = self.state.borrow();
            let names: Vec<String> = state
                .replicas
                .iter()
                .map(|r| r.address.to_string())
                .collect();
            let own = state.settings.replica.to_string();
            rotation_slot(&own, names.iter().map(String::as_str), self.version)
        };
        let mut wait = MANIFEST_STAGGER * u32::try_from(slot).unwrap_or(u32::MAX).min(16);
        loop {
            if !self.is_wanted() {
                return None;
            }
            for address in self.manifest_holders() {
                if let Some(manifest) = self.manifest_from(address).await {
                    return Some(self.keep_manifest(manifest));
                }
            }
            if wait.is_zero() {
                if self.state.borrow().near_entries().is_empty()
                    && let Some(manifest) = self.manifest_from_origin().await
                {
                    return Some(self.keep_manifest(manifest));
                }
                tokio::time::sleep(MANIFEST_PAUSE).await;
            } else {
                let step = wait.min(MANIFEST_STAGGER);
                tokio::time::sleep(step).await;
                wait -= step;
            }
        }
    }

    pub(super) fn known_manifest(&self) -> Option<PieceManifest> {
        let mut state = self.state.borrow_mut();
        let copy = state.stage(self.model).copy(self.version);
        copy.map(|copy| copy.manifest.clone())
    }

    fn keep_manifest(&self, manifest: PieceManifest) -> PieceManifest {
        let mut state = self.state.borrow_mut();
        let now_ms = state.now_ms() as i64;
        state.stage(self.model).begin(manifest.clone(), now_ms);
        manifest
    }

    /// Hosts that have the manifest, and an entry that can get it.
    fn manifest_holders(&self) -> Vec<SocketAddr> {
        let state = self.state.borrow();
        let holders = state
            .holders
            .iter()
            .filter(|h| h.model == self.model && h.version == self.version);
        let hosts = holders.map(|holder| holder.address).take(1);
        let entry = entries_for(1, &state.near_entries()).first().copied();
        hosts.chain(entry.map(|entry| entry.address)).collect()
    }

    async fn manifest_from(&self, address: SocketAddr) -> Option<PieceManifest> {
        let target = format!("{MANIFEST_PATH}{}/{}", self.model, self.version);
        let mut client = Client::new(address, Duration::ZERO);
        match client.ask(&Ask::get(&target, MANIFEST_TIMEOUT)).await {
            Ok(reply) if reply.status == 200 => rmp_serde::from_slice(&reply.body).ok(),
            Ok(_) => None,
            Err(error) => {
                log::debug!("{address} gave no manifest: {error}");
                None
            }
        }
    }

    async fn manifest_from_origin(&self) -> Option<PieceManifest> {
        let origin = self.state.borrow().origin()?.address;
        match fetch_confirmed_manifest(self.origin, origin, self.model, self.version).await {
            Ok(manifest) => Some(manifest),
            Err(error) => {
                log::debug!("the origin gave no manifest: {error}");
                None
            }
        }
    }
}
