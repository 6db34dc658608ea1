use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use actix::Actor;
use actix::ActorContext;
use actix::ActorFutureExt;
use actix::AsyncContext;
use actix::Context;
use actix::Handler;
use actix::Message;
use actix::WrapFuture;
use actix_web::http::Method;
use bytes::Bytes;

use super::SwarmMember;
use super::VersionStageKind;
use super::WeightsState;
use super::WeightsVersion;
use crate::clients::OriginClient;
use crate::clients::OriginError;
use crate::links::HttpClient;
use crate::links::LinkError;
use crate::observe::CounterKind;
use crate::observe::Event;
use crate::observe::emit_event;
use crate::weights::ChunkFetch;
use crate::weights::ChunkFrame;
use crate::weights::ChunkSource;
use crate::weights::InsertOutcome;
use crate::weights::Manifest;
use crate::weights::PeerFailure;
use crate::weights::PeerKey;
use crate::weights::PeerProbe;
use crate::weights::PeerRequest;
use crate::weights::PeerStatus;
use crate::weights::ReadOutcome;
use crate::weights::SwarmHost;
use crate::weights::SwarmSettings;
use crate::weights::SwarmState;

/// Interval at which fetches are planned when no fetch or probe ends, in milliseconds.
const PLAN_INTERVAL_MS: u64 = 100;

/// Time by which the timeout of a probe exceeds the wait at the peer, in milliseconds.
const PROBE_TIMEOUT_MARGIN_MS: u64 = 1500;

/// Clients and limits of a transfer.
#[derive(Debug, Clone)]
pub struct TransferOptions {
    /// Client of the origin of the weights.
    pub origin: OriginClient,
    /// Region of the origin.
    pub origin_region: String,
    /// HTTP client for requests to peers.
    pub http: HttpClient,
    /// Limits of planning and probing.
    pub swarm: SwarmSettings,
    /// Timeout for one chunk from a peer, in milliseconds.
    pub peer_timeout_ms: u64,
    /// Timeout for one chunk from the origin, in milliseconds.
    pub origin_timeout_ms: u64,
}

/// Message with the new list of the hosts that fetch the version.
#[derive(Debug, Message)]
#[rtype(result = "()")]
pub struct SetMembers(pub Vec<SwarmMember>);

/// Message that ends the transfer, as the version is not wanted any more.
#[derive(Debug, Message)]
#[rtype(result = "()")]
pub struct StopTransfer;

/// Result of fetching one chunk, by source.
#[derive(Debug)]
enum FetchResult {
    Peer(Result<ChunkFrame, LinkError>),
    Origin(Result<Bytes, OriginError>),
}

/// Fetches one version to this host, from peers and the origin.
pub struct WeightsTransfer {
    weights: Arc<WeightsState>,
    version: Arc<WeightsVersion>,
    options: TransferOptions,
    swarm: SwarmState,
    // Addresses of the members, sorted by name.
    addresses: Vec<(String, SocketAddr)>,
    started: Instant,
}

impl WeightsTransfer {
    /// Transfer of the version of `manifest` among `members`, which include this host.
    ///
    /// The version moves on to fetching. `None` if it can't, as when it doesn't fit into the
    /// memory budget; the version is then held.
    pub fn new(
        weights: Arc<WeightsState>,
        manifest: Manifest,
        members: &[SwarmMember],
        options: TransferOptions,
    ) -> Option<Self> {
        let digest = manifest.digest();
        let version = weights.ensure_version(digest);
        if version.start_fetching(manifest, &weights.budget) != VersionStageKind::Fetching {
            return None;
        }
        let held_chunks = version.held_chunks()?;
        let hosts = members.iter().map(|member| member.host.clone()).collect();
        let swarm = SwarmState::new(
            digest,
            held_chunks,
            hosts,
            &weights.host,
            &options.origin_region,
            options.swarm.clone(),
            0,
        );
        Some(Self {
            weights,
            version,
            options,
            swarm,
            addresses: addresses(members),
            started: Instant::now(),
        })
    }

    /// Time since the transfer started, in milliseconds.
    fn now_ms(&self) -> u64 {
        u64::try_from(self.started.elapsed().as_millis()).unwrap_or(u64::MAX)
    }

    /// Starts the fetches and probes that are due, or stops once fetching has ended.
    fn run_next_actions(&mut self, ctx: &mut Context<Self>) {
        if self.version.stage_kind() != VersionStageKind::Fetching {
            ctx.stop();
            return;
        }
        for request in self.version.take_peer_requests() {
            if let Some(peer) = self.swarm.peer_key(&request.host) {
                self.swarm.record_peer_status(peer, &request.have, 0);
            }
        }
        let actions = self.swarm.next_actions(self.now_ms());
        for fetch in actions.fetches {
            self.start_fetch(fetch, ctx);
        }
        for probe in actions.probes {
            self.start_probe(probe, ctx);
        }
    }

    /// Address of a peer; `None` if it is not a member any more.
    fn peer_address(&self, peer: PeerKey) -> Option<SocketAddr> {
        let name = &self.swarm.host(peer).name;
        let at = self
            .addresses
            .binary_search_by(|(other, _)| other.cmp(name))
            .ok()?;
        Some(self.addresses[at].1)
    }

    /// Request to a peer that is known to hold `known` chunks and may wait `wait_ms` for more.
    fn peer_request(&self, known: u32, wait_ms: u64) -> PeerRequest {
        PeerRequest {
            host: self.weights.host.clone(),
            region: self.weights.region.clone(),
            have: self.swarm.held_chunks().clone(),
            known,
            wait_ms,
        }
    }

    /// Fetches a chunk in the background.
    fn start_fetch(&mut self, fetch: ChunkFetch, ctx: &mut Context<Self>) {
        let digest = self.version.digest();
        let weights = Arc::clone(&self.weights);
        match fetch.source {
            ChunkSource::Origin => {
                let origin = self.options.origin.clone();
                let timeout_ms = self.options.origin_timeout_ms;
                let read = async move {
                    let result = origin.fetch_chunk(digest, fetch.chunk, timeout_ms).await;
                    if let Ok(bytes) = &result {
                        weights
                            .links
                            .down
                            .wait_for_transfer(bytes.len() as u64)
                            .await;
                    }
                    FetchResult::Origin(result)
                };
                ctx.spawn(
                    read.into_actor(self)
                        .map(move |result, act, ctx| act.finish_fetch(fetch, result, ctx)),
                );
            }
            ChunkSource::Peer(peer) => {
                let Some(address) = self.peer_address(peer) else {
                    let now_ms = self.now_ms();
                    self.swarm
                        .record_peer_fetch_failure(fetch, PeerFailure::Unreachable, now_ms);
                    return;
                };
                let url = format!("http://{address}/x/weights/{digest}/{}", fetch.chunk);
                let request = self.peer_request(0, 0);
                let http = self.options.http.clone();
                let timeout_ms = self.options.peer_timeout_ms;
                let read = async move {
                    let result = read_from_peer(&http, &url, &request, timeout_ms).await;
                    let body_bytes = request.have.encode().len() as u64;
                    weights.record_control_traffic(body_bytes, "asking");
                    if let Ok(frame) = &result {
                        weights
                            .links
                            .down
                            .wait_for_transfer(frame.chunk.len() as u64)
                            .await;
                    }
                    FetchResult::Peer(result)
                };
                ctx.spawn(
                    read.into_actor(self)
                        .map(move |result, act, ctx| act.finish_fetch(fetch, result, ctx)),
                );
            }
        }
    }

    /// Requests the status of a peer in the background.
    fn start_probe(&mut self, probe: PeerProbe, ctx: &mut Context<Self>) {
        let Some(address) = self.peer_address(probe.peer) else {
            let now_ms = self.now_ms();
            self.swarm
                .record_probe_failure(probe.peer, PeerFailure::Unreachable, now_ms);
            return;
        };
        let url = format!("http://{address}/x/weights/{}/have", self.version.digest());
        let request = self.peer_request(probe.known_chunks, probe.wait_ms);
        let http = self.options.http.clone();
        let timeout_ms = probe.wait_ms + PROBE_TIMEOUT_MARGIN_MS;
        let weights = Arc::clone(&self.weights);
        let probing = async move {
            let result = http
                .call_rmp::<PeerStatus>(&url, &request, timeout_ms)
                .await;
            let body_bytes = 2 * request.have.encode().len() as u64;
            weights.record_control_traffic(body_bytes, "asking");
            result
        };
        ctx.spawn(probing.into_actor(self).map(move |result, act, ctx| {
            let now_ms = act.now_ms();
            match result {
                Ok(status) => act.swarm.record_probe_response(probe.peer, &status),
                Err(error) => {
                    act.weights.metrics.record_retry(probe_error_label(&error));
                    act.swarm
                        .record_probe_failure(probe.peer, peer_failure(&error), now_ms);
                }
            }
            act.run_next_actions(ctx);
        }));
    }

    /// Records the result of a fetch and plans further ones.
    fn finish_fetch(&mut self, fetch: ChunkFetch, result: FetchResult, ctx: &mut Context<Self>) {
        let now_ms = self.now_ms();
        match (result, fetch.source) {
            (FetchResult::Origin(Ok(bytes)), _) => self.store_chunk(fetch, bytes, "origin"),
            (FetchResult::Origin(Err(error)), _) => {
                let retry_after_ms = match error {
                    OriginError::RateLimited { retry_after_ms } => Some(retry_after_ms),
                    _ => None,
                };
                self.weights.metrics.record_retry(error.label());
                self.swarm
                    .record_origin_fetch_failure(fetch, retry_after_ms, now_ms);
            }
            (FetchResult::Peer(Ok(frame)), ChunkSource::Peer(peer)) => {
                self.swarm
                    .record_peer_status(peer, &frame.status.have, frame.status.queue);
                match frame.outcome {
                    ReadOutcome::Sent => self.store_chunk(fetch, frame.chunk, "peer"),
                    ReadOutcome::Busy => self.defer_fetch(fetch, "peer_busy"),
                    ReadOutcome::Absent => {
                        self.weights.metrics.record_retry("peer_lacks_chunk");
                        self.swarm
                            .record_missing_chunk(fetch, &frame.status, now_ms);
                    }
                }
            }
            (FetchResult::Peer(Err(error)), _) => {
                self.weights.metrics.record_retry("peer_unavailable");
                self.swarm
                    .record_peer_fetch_failure(fetch, peer_failure(&error), now_ms);
            }
            (FetchResult::Peer(Ok(_)), ChunkSource::Origin) => {}
        }
        self.run_next_actions(ctx);
    }

    /// Returns a fetch to the plan for a later attempt; `reason` is its metric label.
    fn defer_fetch(&mut self, fetch: ChunkFetch, reason: &'static str) {
        self.weights.metrics.record_retry(reason);
        let now_ms = self.now_ms();
        self.swarm.record_busy_peer(fetch, now_ms);
    }

    /// Stores a received chunk or rejects it, and verifies the version after the last one.
    fn store_chunk(&mut self, fetch: ChunkFetch, bytes: Bytes, from: &'static str) {
        let now_ms = self.now_ms();
        self.weights.metrics.add(
            CounterKind::WeightBytes,
            bytes.len() as u64,
            "direction",
            from,
        );
        match self.version.insert_chunk(fetch.chunk, bytes) {
            InsertOutcome::Stored | InsertOutcome::Duplicate => {
                self.swarm.record_stored_chunk(fetch, now_ms)
            }
            InsertOutcome::Rejected(reason) => {
                self.weights
                    .metrics
                    .add(CounterKind::ChunksRejected, 1, "reason", reason.label());
                emit_event(
                    Event::ChunkRejected,
                    &[
                        ("chunk", &fetch.chunk),
                        ("reason", &reason.label()),
                        ("from", &from),
                    ],
                );
                match fetch.source {
                    ChunkSource::Origin => {
                        self.swarm.record_origin_fetch_failure(fetch, None, now_ms)
                    }
                    ChunkSource::Peer(_) => {
                        self.swarm
                            .record_peer_fetch_failure(fetch, PeerFailure::WrongChunk, now_ms)
                    }
                }
            }
        }
        if self.swarm.held_chunks().is_complete()
            && self.version.verify() == VersionStageKind::Verified
        {
            let digest = self.version.digest();
            emit_event(Event::WeightsVerified, &[("manifest", &digest.short_hex())]);
        }
    }
}

impl Actor for WeightsTransfer {
    type Context = Context<Self>;

    fn started(&mut self, ctx: &mut Self::Context) {
        self.run_next_actions(ctx);
        ctx.run_interval(Duration::from_millis(PLAN_INTERVAL_MS), |act, ctx| {
            act.run_next_actions(ctx)
        });
    }
}

impl Handler<SetMembers> for WeightsTransfer {
    type Result = ();

    fn handle(&mut self, message: SetMembers, ctx: &mut Self::Context) {
        let hosts: Vec<SwarmHost> = message.0.iter().map(|member| member.host.clone()).collect();
        self.addresses = addresses(&message.0);
        self.swarm.set_hosts(&hosts);
        self.run_next_actions(ctx);
    }
}

impl Handler<StopTransfer> for WeightsTransfer {
    type Result = ();

    fn handle(&mut self, _: StopTransfer, ctx: &mut Self::Context) {
        ctx.stop();
    }
}

/// Addresses of the members, sorted by name.
fn addresses(members: &[SwarmMember]) -> Vec<(String, SocketAddr)> {
    let mut addresses: Vec<(String, SocketAddr)> = members
        .iter()
        .map(|member| (member.host.name.clone(), member.address))
        .collect();
    addresses.sort_unstable();
    addresses
}

/// Reads a chunk from a peer.
async fn read_from_peer(
    http: &HttpClient,
    url: &str,
    request: &PeerRequest,
    timeout_ms: u64,
) -> Result<ChunkFrame, LinkError> {
    let malformed = |cause: &str| LinkError::Malformed(cause.to_owned());
    let body = rmp_serde::to_vec_named(request).map_err(|error| malformed(&error.to_string()))?;
    let request = http.request(Method::POST, url);
    let answer = HttpClient::send_and_read(request, body, timeout_ms).await?;
    ChunkFrame::decode(&answer).ok_or_else(|| malformed("not a chunk frame"))
}

/// Kind of failure that an error of a request to a peer stands for.
fn peer_failure(error: &LinkError) -> PeerFailure {
    match error {
        LinkError::Status { status: 410, .. } => PeerFailure::Held,
        LinkError::Status { .. } => PeerFailure::Declined,
        LinkError::Malformed(_) => PeerFailure::WrongChunk,
        LinkError::Broken(_) => PeerFailure::Broken,
        _ => PeerFailure::Unreachable,
    }
}

/// Metric label of a failed probe.
fn probe_error_label(error: &LinkError) -> &'static str {
    match error {
        LinkError::NotSent(_) => "question_not_sent",
        LinkError::Broken(_) => "question_broken",
        LinkError::Timeout { .. } => "question_timeout",
        LinkError::Status { .. } => "question_declined",
        LinkError::Malformed(_) => "question_malformed",
    }
}
