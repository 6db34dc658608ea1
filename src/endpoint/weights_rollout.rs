use super::SwarmMember;
use crate::endpoint::weights_manager::Reconciler;
use crate::endpoint::weights_manager::WantedModel;
use crate::endpoint::weights_tracked::TrackedVersion;
use crate::links::LinkError;
use crate::weights::ChunkBitmap;
use crate::weights::Digest;
use crate::weights::PeerRequest;
use crate::weights::PeerStatus;
use crate::weights::PredecessorState;
use crate::weights::may_switch_version;
use crate::weights::replica_hosts;

/// Time between the last report of a retired version and the order to unload it, in
/// milliseconds, so that entries stop sending requests for it first.
const UNLOAD_DELAY_MS: u64 = 5000;

/// Timeout of a request for the serving state of another host, in milliseconds.
const SERVING_STATE_TIMEOUT_MS: u64 = 1000;

impl Reconciler {
    /// Whether this host serves another version of the wanted model.
    pub(super) fn serves_other_version(&self, wanted_model: &WantedModel) -> bool {
        let model = &wanted_model.model;
        let is_other_version = |tracked: &&TrackedVersion| {
            tracked.model.name == model.name && tracked.digest() != model.manifest
        };
        self.tracked
            .iter()
            .filter(is_other_version)
            .any(TrackedVersion::is_serving)
    }

    /// Whether this host has a load slot, which means that it may switch to the new version
    /// now. This depends on the hosts before it in the rollout order.
    pub(super) async fn has_load_slot(&self, wanted_model: &WantedModel) -> bool {
        let step = wanted_model.model.step_replicas.max(1) as usize;
        let mut states = vec![PredecessorState::Skipped; wanted_model.rank];
        let mut rank = wanted_model.rank;
        while let Some(predecessor) = rank.checked_sub(step) {
            states[predecessor] = self
                .request_serving_state(
                    &wanted_model.members[predecessor],
                    wanted_model.model.manifest,
                )
                .await;
            if states[predecessor] != PredecessorState::Skipped {
                break;
            }
            rank = predecessor;
        }
        may_switch_version(
            wanted_model.rank,
            wanted_model.model.step_replicas,
            |other_rank| states[other_rank],
        )
    }

    /// Requests from another host whether it serves `manifest`.
    ///
    /// A host that does not know the version yet (status 404) is pending; one that can't
    /// proceed with it or is unreachable is skipped.
    async fn request_serving_state(
        &self,
        member: &SwarmMember,
        manifest: Digest,
    ) -> PredecessorState {
        let url = format!("http://{}/x/weights/{manifest}/have", member.address);
        let request = PeerRequest {
            host: self.state.weights.host.clone(),
            region: self.state.weights.region.clone(),
            have: ChunkBitmap::empty(0),
            known: 0,
            wait_ms: 0,
        };
        let response = self
            .state
            .node
            .http()
            .call_rmp::<PeerStatus>(&url, &request, SERVING_STATE_TIMEOUT_MS)
            .await;
        match response {
            Ok(status) if status.serving => PredecessorState::Serving,
            Ok(_) | Err(LinkError::Status { status: 404, .. }) => PredecessorState::Pending,
            Err(_) => PredecessorState::Skipped,
        }
    }

    /// Retires versions that are served but not wanted once they are replaced, and unloads
    /// them `UNLOAD_DELAY_MS` later.
    ///
    /// `wanted` is from before the loads of this pass, which may have taken long; what is not
    /// in it is looked up again.
    pub(super) async fn retire_versions(&mut self, wanted: &[WantedModel]) {
        let now_ms = self.state.node.now_ms();
        let mut to_unload = Vec::new();
        for at in 0..self.tracked.len() {
            let tracked = &self.tracked[at];
            let digest = tracked.digest();
            let was_wanted = wanted
                .iter()
                .any(|wanted_model| wanted_model.model.manifest == digest);
            if !tracked.is_serving() || was_wanted || self.is_wanted(digest) {
                continue;
            }
            match tracked.retired_ms {
                None if self.is_replaced(at).await => self.tracked[at].retired_ms = Some(now_ms),
                // Requests that were accepted with the version are answered with it.
                Some(retired_ms)
                    if now_ms >= retired_ms + UNLOAD_DELAY_MS
                        && !tracked.version.has_requests() =>
                {
                    to_unload.push(digest)
                }
                _ => {}
            }
        }
        for digest in to_unload {
            // After a pause within this pass the document may be out of date.
            if !self.state.node.admission().admits() || self.is_wanted(digest) {
                continue;
            }
            if let Some(tracked) = self
                .tracked
                .iter_mut()
                .find(|tracked| tracked.digest() == digest)
            {
                tracked.unload_ordered = true;
            }
            if self
                .order_sender
                .unload_version(&self.state, digest)
                .await
                .is_ok()
            {
                self.state.weights.remove_version(digest);
                self.tracked.retain(|tracked| tracked.digest() != digest);
            }
        }
    }

    /// Whether the current configuration wants the version on this host.
    fn is_wanted(&self, manifest: Digest) -> bool {
        self.wanted_models()
            .iter()
            .any(|wanted_model| wanted_model.model.manifest == manifest)
    }

    /// Whether the tracked version at `index` is no longer needed: the model was removed, or
    /// its new version is served here or, if it is not tracked here, on every host that should
    /// serve it.
    async fn is_replaced(&self, index: usize) -> bool {
        let name = &self.tracked[index].model.name;
        let Some(model) = self.state.node.document().model(name) else {
            return true;
        };
        let successor = self
            .tracked
            .iter()
            .find(|other| other.digest() == model.manifest);
        if let Some(successor) = successor {
            return successor.is_serving();
        }
        let members = self.swarm_members();
        let placement_name = model.base.as_ref().unwrap_or(&model.name);
        let names = members.iter().map(|member| member.host.name.as_str());
        for name in replica_hosts(placement_name, model.replicas, names) {
            let member = members.iter().find(|member| member.host.name == name);
            let Some(member) = member else { continue };
            if self.request_serving_state(member, model.manifest).await != PredecessorState::Serving
            {
                return false;
            }
        }
        true
    }
}
