use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use actix::Actor;
use actix::AsyncContext;
use actix::Context;
use actix::WrapFuture;

use super::SetMembers;
use super::StopTransfer;
use super::SwarmMember;
use super::TransferOptions;
use super::VersionStageKind;
use super::WeightsTransfer;
use crate::clients::EngineClient;
use crate::clients::OriginClient;
use crate::clients::OriginError;
use crate::document::ModelSection;
use crate::endpoint::EndpointState;
use crate::endpoint::weights_engine::EngineOrderSender;
use crate::endpoint::weights_engine::LoadOutcome;
use crate::endpoint::weights_engine::loaded_content_digest;
use crate::endpoint::weights_tracked::TrackedVersion;
use crate::hosts::HostRole;
use crate::observe::Event;
use crate::observe::emit_event;
use crate::weights::Digest;
use crate::weights::HoldReason;
use crate::weights::Manifest;
use crate::weights::PlanSettings;
use crate::weights::SwarmHost;
use crate::weights::SwarmSettings;
use crate::weights::replica_hosts;

/// Interval at which the versions here are reconciled with the configuration document.
const RECONCILE_INTERVAL: Duration = Duration::from_millis(250);

/// Gap between two passes, in milliseconds, above which the process is taken to have been
/// paused.
const PAUSE_THRESHOLD_MS: u64 = 3000;

/// Shortest interval at which a serving engine is checked for its versions, in milliseconds.
const ENGINE_CHECK_INTERVAL_MS: u64 = 2000;

/// Timeout for one chunk from a peer, in milliseconds.
const PEER_TIMEOUT_MS: u64 = 10_000;

/// Timeout for one chunk from the origin, in milliseconds.
const ORIGIN_TIMEOUT_MS: u64 = 120_000;

/// A model that this host should serve.
pub(super) struct WantedModel {
    pub(super) model: ModelSection,
    /// Hosts that should serve the model, in rollout order.
    pub(super) members: Vec<SwarmMember>,
    /// Index of this host in `members`.
    pub(super) rank: usize,
}

/// Fetches the versions of models that the configuration places on this host, has the
/// engine load them, and unloads the ones that are not wanted any more.
pub struct WeightsManager {
    state: Arc<EndpointState>,
    engine: SocketAddr,
}

impl WeightsManager {
    /// Manager for the host of `state`, whose engine listens at `engine`.
    pub fn new(state: Arc<EndpointState>, engine: SocketAddr) -> Self {
        Self { state, engine }
    }
}

impl Actor for WeightsManager {
    type Context = Context<Self>;

    fn started(&mut self, context: &mut Self::Context) {
        let mut reconciler = Reconciler {
            state: Arc::clone(&self.state),
            origin: OriginClient::new(self.state.node.platform().origin_url.clone()),
            order_sender: EngineOrderSender::new(EngineClient::new(self.engine)),
            tracked: Vec::new(),
            engine_checked_ms: 0,
        };
        let reconcile_loop = async move {
            let mut last_pass_ms = reconciler.state.node.now_ms();
            loop {
                actix_rt::time::sleep(RECONCILE_INTERVAL).await;
                let now_ms = reconciler.state.node.now_ms();
                // After a pause the host list and the document may be out of date, so this
                // pass is skipped.
                let paused = now_ms.saturating_sub(last_pass_ms) > PAUSE_THRESHOLD_MS;
                if !paused && reconciler.state.node.is_ready() {
                    reconciler.reconcile().await;
                }
                // Capped, so that a pause during the pass is detected too.
                last_pass_ms = reconciler
                    .state
                    .node
                    .now_ms()
                    .min(now_ms + PAUSE_THRESHOLD_MS);
            }
        };
        context.spawn(reconcile_loop.into_actor(self));
    }
}

/// Brings the versions on this host in line with the configuration, pass by pass.
pub(super) struct Reconciler {
    pub(super) state: Arc<EndpointState>,
    origin: OriginClient,
    pub(super) order_sender: EngineOrderSender,
    pub(super) tracked: Vec<TrackedVersion>,
    engine_checked_ms: u64,
}

impl Reconciler {
    /// Runs one pass and updates the versions that this host reports.
    async fn reconcile(&mut self) {
        let wanted = self.wanted_models();
        let has_live_requests = self.state.node.own_state().load.running > 0;
        self.state
            .weights
            .links
            .up
            .set_has_live_requests(has_live_requests);
        self.state
            .weights
            .links
            .down
            .set_has_live_requests(has_live_requests);
        self.update_tracked(&wanted);
        for index in 0..self.tracked.len() {
            let digest = self.tracked[index].digest();
            if let Some(wanted_model) = wanted
                .iter()
                .find(|wanted_model| wanted_model.model.manifest == digest)
            {
                self.advance_version(index, wanted_model).await;
            }
        }
        self.check_engine().await;
        self.retire_versions(&wanted).await;
        let served = self
            .tracked
            .iter()
            .filter_map(TrackedVersion::report)
            .collect();
        self.state.node.own_state().served = served;
    }

    /// Models whose placement includes this host.
    pub(super) fn wanted_models(&self) -> Vec<WantedModel> {
        let node = &self.state.node;
        let members = self.swarm_members();
        let mut wanted = Vec::new();
        for model in node.document().models() {
            // An adapter is placed by the name of its base model, which puts both on the
            // same hosts.
            let placement_name = model.base.clone().unwrap_or_else(|| model.name.clone());
            let names = members.iter().map(|member| member.host.name.as_str());
            let chosen = replica_hosts(&placement_name, model.replicas, names);
            let Some(rank) = chosen.iter().position(|name| *name == node.name()) else {
                continue;
            };
            let ordered = chosen
                .iter()
                .filter_map(|name| {
                    members
                        .iter()
                        .find(|member| member.host.name == *name)
                        .cloned()
                })
                .collect();
            wanted.push(WantedModel {
                model,
                members: ordered,
                rank,
            });
        }
        wanted
    }

    /// Live hosts that run an engine, including this one.
    pub(super) fn swarm_members(&self) -> Vec<SwarmMember> {
        let node = &self.state.node;
        let own = SwarmMember {
            host: SwarmHost {
                name: node.name().to_owned(),
                region: self.state.weights.region.clone(),
                present: true,
            },
            address: node.process().listen,
        };
        let roster = node.roster();
        let others = roster
            .contactable(HostRole::Endpoint, node.now_ms())
            .filter(|(_, host)| host.service.is_none() && host.name != node.name())
            .map(|(_, host)| SwarmMember {
                host: SwarmHost {
                    name: host.name.clone(),
                    region: host.region.clone(),
                    present: true,
                },
                address: host.address,
            });
        others.chain([own]).collect()
    }

    /// Starts to track new wanted versions and drops unwanted ones that are not serving.
    fn update_tracked(&mut self, wanted: &[WantedModel]) {
        for wanted_model in wanted {
            let digest = wanted_model.model.manifest;
            match self
                .tracked
                .iter_mut()
                .find(|tracked| tracked.digest() == digest)
            {
                Some(tracked) => tracked.want_again(),
                None => {
                    let version = self.state.weights.ensure_version(digest);
                    self.tracked
                        .push(TrackedVersion::new(wanted_model.model.clone(), version));
                }
            }
        }
        let is_wanted = |digest: Digest| {
            wanted
                .iter()
                .any(|wanted_model| wanted_model.model.manifest == digest)
        };
        let weights = &self.state.weights;
        self.tracked.retain(|tracked| {
            if tracked.is_serving() || is_wanted(tracked.digest()) {
                return true;
            }
            if let Some(transfer) = &tracked.transfer {
                transfer.do_send(StopTransfer);
            }
            weights.remove_version(tracked.digest());
            false
        });
    }

    /// Takes the next step of the tracked version at `index`, as its stage requires.
    async fn advance_version(&mut self, index: usize, wanted_model: &WantedModel) {
        let now_ms = self.state.node.now_ms();
        let tracked = &mut self.tracked[index];
        match tracked.version.stage_kind() {
            VersionStageKind::Announced if tracked.is_retry_due(now_ms) => {
                self.start_version(index, wanted_model).await
            }
            VersionStageKind::Fetching => update_members(tracked, wanted_model),
            VersionStageKind::Verified if tracked.is_retry_due(now_ms) => {
                self.load_version(index, wanted_model).await
            }
            VersionStageKind::Held if tracked.is_retry_due(now_ms) => tracked.version.restart(),
            _ => {}
        }
    }

    /// Reads the manifest from the origin and starts the transfer.
    async fn start_version(&mut self, index: usize, wanted_model: &WantedModel) {
        let manifest = self
            .origin
            .fetch_manifest(&wanted_model.model.name, &wanted_model.model.version)
            .await;
        let now_ms = self.state.node.now_ms();
        let tracked = &mut self.tracked[index];
        match manifest {
            Ok(manifest) => self.start_transfer(index, manifest, wanted_model),
            Err(OriginError::Missing) => {
                tracked.record_failure(Some(HoldReason::ManifestMissing), 0, now_ms)
            }
            Err(OriginError::RateLimited { retry_after_ms }) => {
                tracked.record_failure(None, retry_after_ms, now_ms)
            }
            Err(OriginError::Link(_)) => tracked.record_failure(None, 0, now_ms),
        }
    }

    /// Starts the transfer, or records why the version is held.
    fn start_transfer(&mut self, index: usize, manifest: Manifest, wanted_model: &WantedModel) {
        let now_ms = self.state.node.now_ms();
        let digest = self.tracked[index].digest();
        if let Err(error) = manifest.validate_with_digest(digest) {
            self.tracked[index].record_failure(Some(error.into()), 0, now_ms);
            return;
        }
        self.tracked[index].base = manifest.base;
        let weights = Arc::clone(&self.state.weights);
        match WeightsTransfer::new(
            weights,
            manifest,
            &wanted_model.members,
            self.transfer_options(),
        ) {
            Some(transfer) => {
                let tracked = &mut self.tracked[index];
                tracked.members.clone_from(&wanted_model.members);
                tracked.transfer = Some(transfer.start());
                tracked.record_success();
            }
            None => {
                let held = self.tracked[index].version.hold_reason();
                self.release_superseded(digest);
                let cause = held.as_ref().map_or_else(String::new, ToString::to_string);
                emit_event(
                    Event::WeightsHeld,
                    &[("manifest", &digest.short_hex()), ("cause", &cause)],
                );
                self.tracked[index].record_failure(held, 0, now_ms);
            }
        }
    }

    /// Releases the chunks of other versions of the same model, to free memory for `wanted`.
    fn release_superseded(&self, wanted: Digest) {
        let model = self
            .tracked
            .iter()
            .find(|tracked| tracked.digest() == wanted);
        let Some(name) = model.map(|tracked| &tracked.model.name) else {
            return;
        };
        for old in &self.tracked {
            if old.digest() != wanted && old.model.name == *name {
                old.version.release_chunks();
            }
        }
    }

    fn transfer_options(&self) -> TransferOptions {
        let settings = &self.state.settings.weights;
        TransferOptions {
            origin: self.origin.clone(),
            origin_region: self.state.node.platform().origin_region.clone(),
            http: self.state.node.http().clone(),
            swarm: SwarmSettings {
                plan: PlanSettings::default(),
                max_probed_peers: usize::try_from(settings.neighbours).unwrap_or(usize::MAX),
            },
            peer_timeout_ms: PEER_TIMEOUT_MS,
            origin_timeout_ms: ORIGIN_TIMEOUT_MS,
        }
    }

    /// Loads a verified version once its base is loaded and this host has its load slot.
    async fn load_version(&mut self, index: usize, wanted_model: &WantedModel) {
        let base = self.tracked[index].base;
        if let Some(base) = base
            && !self
                .tracked
                .iter()
                .any(|other| other.digest() == base && other.is_serving())
        {
            let now_ms = self.state.node.now_ms();
            self.tracked[index].record_failure(Some(HoldReason::BaseNotLoaded { base }), 0, now_ms);
            return;
        }
        if self.serves_other_version(wanted_model) && !self.has_load_slot(wanted_model).await {
            return;
        }
        let outcome = self
            .order_sender
            .load_version(&self.state, &self.tracked[index])
            .await;
        let now_ms = self.state.node.now_ms();
        let tracked = &mut self.tracked[index];
        match outcome {
            LoadOutcome::Loaded(content_digest) => record_loaded(tracked, content_digest, now_ms),
            LoadOutcome::Unknown => {
                self.state.node.metrics().record_retry("engine_reply_lost");
                tracked.record_failure(None, 0, now_ms);
            }
            LoadOutcome::Refused(held) => tracked.record_failure(Some(held), 0, now_ms),
        }
    }

    /// Checks that the engine still has the serving versions with their content; the others
    /// are loaded again.
    async fn check_engine(&mut self) {
        let now_ms = self.state.node.now_ms();
        let is_any_serving = self.tracked.iter().any(TrackedVersion::is_serving);
        if !is_any_serving || now_ms < self.engine_checked_ms + ENGINE_CHECK_INTERVAL_MS {
            return;
        }
        self.engine_checked_ms = now_ms;
        let Ok(engine_state) = self.order_sender.engine_state().await else {
            return;
        };
        for tracked in &self.tracked {
            let Some(expected) = tracked.version.serving_content_digest() else {
                continue;
            };
            let found = loaded_content_digest(&engine_state, tracked.digest());
            if tracked.retired_ms.is_none() && found != Some(expected) {
                tracked.version.require_reload();
                let found = found.map_or_else(String::new, |found| found.short_hex());
                emit_event(
                    Event::WeightsLost,
                    &[
                        ("manifest", &tracked.digest().short_hex()),
                        ("expected", &expected.short_hex()),
                        ("found", &found),
                    ],
                );
            }
        }
    }
}

/// Starts to serve a loaded version, or holds it when its content digest is wrong.
fn record_loaded(tracked: &mut TrackedVersion, content_digest: Digest, now_ms: u64) {
    if tracked.version.confirm_loaded(content_digest) != VersionStageKind::Loaded {
        let expected = tracked
            .version
            .manifest()
            .map_or(content_digest, |manifest| manifest.whole);
        let held = HoldReason::EngineMismatch {
            expected,
            found: content_digest,
        };
        tracked.record_failure(Some(held), 0, now_ms);
        return;
    }
    tracked.version.start_serving();
    tracked.record_success();
    emit_event(
        Event::WeightsServing,
        &[("manifest", &tracked.digest().short_hex())],
    );
}

/// Passes changes of the hosts that should serve the model on to the transfer.
fn update_members(tracked: &mut TrackedVersion, wanted_model: &WantedModel) {
    let is_unchanged = tracked.members.len() == wanted_model.members.len()
        && tracked
            .members
            .iter()
            .zip(&wanted_model.members)
            .all(|(old, new)| old.host == new.host && old.address == new.address);
    if is_unchanged {
        return;
    }
    tracked.members.clone_from(&wanted_model.members);
    if let Some(transfer) = &tracked.transfer {
        transfer.do_send(SetMembers(wanted_model.members.clone()));
    }
}
