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

use super::StageName;
use super::SwarmMember;
use super::WeightsShare;
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

/// Time between two looks at the plan when nothing happens.
const TICK_MS: u64 = 100;

/// Time beyond its waiting time after which a question is given up.
const PROBE_SLACK_MS: u64 = 1500;

/// What a transfer needs beside the share.
#[derive(Debug, Clone)]
pub struct TransferOptions {
    /// Where weights come from.
    pub origin: OriginClient,
    /// Region of the origin.
    pub origin_region: String,
    /// Client towards peers.
    pub http: HttpClient,
    /// Limits.
    pub swarm: SwarmSettings,
    /// Time for one chunk from a peer.
    pub peer_wait_ms: u64,
    /// Time for one chunk from the origin.
    pub origin_wait_ms: u64,
}

/// The list of hosts that want the version has changed.
#[derive(Debug, Message)]
#[rtype(result = "()")]
pub struct SetMembers(pub Vec<SwarmMember>);

/// The version is not wanted any more.
#[derive(Debug, Message)]
#[rtype(result = "()")]
pub struct StopTransfer;

/// Result of one read.
#[derive(Debug)]
enum ReadResult {
    Peer(Result<ChunkFrame, LinkError>),
    Origin(Result<Bytes, OriginError>),
}

/// Fetches one version to this host.
pub struct Transfer {
    share: Arc<WeightsShare>,
    version: Arc<WeightsVersion>,
    options: TransferOptions,
    swarm: SwarmState,
    addresses: Vec<(String, SocketAddr)>,
    started: Instant,
}

impl Transfer {
    /// A transfer of `manifest` among `members`, which hold this host.
    ///
    /// The version moves on to fetching or, when it doesn't fit, is held.
    pub fn new(
        share: Arc<WeightsShare>,
        manifest: Manifest,
        members: &[SwarmMember],
        options: TransferOptions,
    ) -> Option<Self> {
        let digest = manifest.digest();
        let version = share.announce(digest);
        if version.begin(manifest, &share.budget) != StageName::Fetching {
            return None;
        }
        let have = version.have()?;
        let hosts = members.iter().map(|member| member.host.clone()).collect();
        let swarm = SwarmState::new(
            digest,
            have,
            hosts,
            &share.host,
            &options.origin_region,
            options.swarm.clone(),
            0,
        );
        Some(Self {
            share,
            version,
            options,
            swarm,
            addresses: addresses(members),
            started: Instant::now(),
        })
    }

    fn now_ms(&self) -> u64 {
        u64::try_from(self.started.elapsed().as_millis()).unwrap_or(u64::MAX)
    }

    /// Starts what the plan says now.
    fn drive(&mut self, ctx: &mut Context<Self>) {
        if self.version.stage_name() != StageName::Fetching {
            ctx.stop();
            return;
        }
        for question in self.version.take_questions() {
            if let Some(peer) = self.swarm.peer_key(&question.host) {
                self.swarm.record_peer_status(peer, &question.have, 0);
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

    fn address(&self, peer: PeerKey) -> Option<SocketAddr> {
        let name = &self.swarm.host(peer).name;
        let at = self
            .addresses
            .binary_search_by(|(other, _)| other.cmp(name))
            .ok()?;
        Some(self.addresses[at].1)
    }

    fn question(&self, known: u32, wait_ms: u64) -> PeerRequest {
        PeerRequest {
            host: self.share.host.clone(),
            region: self.share.region.clone(),
            have: self.swarm.held_chunks().clone(),
            known,
            wait_ms,
        }
    }

    fn start_fetch(&mut self, fetch: ChunkFetch, ctx: &mut Context<Self>) {
        let digest = self.version.digest();
        let share = Arc::clone(&self.share);
        match fetch.source {
            ChunkSource::Origin => {
                let origin = self.options.origin.clone();
                let wait_ms = self.options.origin_wait_ms;
                let reading = async move {
                    let result = origin.fetch_chunk(digest, fetch.chunk, wait_ms).await;
                    if let Ok(bytes) = &result {
                        share.links.down.pass(bytes.len() as u64).await;
                    }
                    ReadResult::Origin(result)
                };
                ctx.spawn(
                    reading
                        .into_actor(self)
                        .map(move |result, act, ctx| act.finish(fetch, result, ctx)),
                );
            }
            ChunkSource::Peer(peer) => {
                let Some(address) = self.address(peer) else {
                    let now_ms = self.now_ms();
                    self.swarm
                        .record_peer_fetch_failure(fetch, PeerFailure::Unreachable, now_ms);
                    return;
                };
                let url = format!("http://{address}/x/weights/{digest}/{}", fetch.chunk);
                let question = self.question(0, 0);
                let http = self.options.http.clone();
                let wait_ms = self.options.peer_wait_ms;
                let reading = async move {
                    let result = read_from_peer(&http, &url, &question, wait_ms).await;
                    let body_bytes = question.have.encode().len() as u64;
                    share.count_control(body_bytes, "asking");
                    if let Ok(frame) = &result {
                        share.links.down.pass(frame.chunk.len() as u64).await;
                    }
                    ReadResult::Peer(result)
                };
                ctx.spawn(
                    reading
                        .into_actor(self)
                        .map(move |result, act, ctx| act.finish(fetch, result, ctx)),
                );
            }
        }
    }

    fn start_probe(&mut self, probe: PeerProbe, ctx: &mut Context<Self>) {
        let Some(address) = self.address(probe.peer) else {
            let now_ms = self.now_ms();
            self.swarm
                .record_probe_failure(probe.peer, PeerFailure::Unreachable, now_ms);
            return;
        };
        let url = format!("http://{address}/x/weights/{}/have", self.version.digest());
        let question = self.question(probe.known_chunks, probe.wait_ms);
        let http = self.options.http.clone();
        let wait_ms = probe.wait_ms + PROBE_SLACK_MS;
        let share = Arc::clone(&self.share);
        let asking = async move {
            let result = http.call_rmp::<PeerStatus>(&url, &question, wait_ms).await;
            let body_bytes = 2 * question.have.encode().len() as u64;
            share.count_control(body_bytes, "asking");
            result
        };
        ctx.spawn(asking.into_actor(self).map(move |result, act, ctx| {
            let now_ms = act.now_ms();
            match result {
                Ok(note) => act.swarm.record_probe_response(probe.peer, &note),
                Err(error) => {
                    act.share.metrics.record_retry(question_label(&error));
                    act.swarm
                        .record_probe_failure(probe.peer, failure(&error), now_ms);
                }
            }
            act.drive(ctx);
        }));
    }

    fn finish(&mut self, fetch: ChunkFetch, result: ReadResult, ctx: &mut Context<Self>) {
        let now_ms = self.now_ms();
        match (result, fetch.source) {
            (ReadResult::Origin(Ok(bytes)), _) => self.take_chunk(fetch, bytes, "origin"),
            (ReadResult::Origin(Err(error)), _) => {
                let retry_after_ms = match error {
                    OriginError::RateLimited { retry_after_ms } => Some(retry_after_ms),
                    _ => None,
                };
                self.share.metrics.record_retry(error.label());
                self.swarm
                    .record_origin_fetch_failure(fetch, retry_after_ms, now_ms);
            }
            (ReadResult::Peer(Ok(frame)), ChunkSource::Peer(peer)) => {
                self.swarm
                    .record_peer_status(peer, &frame.status.have, frame.status.queue);
                match frame.outcome {
                    ReadOutcome::Sent => self.take_chunk(fetch, frame.chunk, "peer"),
                    ReadOutcome::Busy => self.defer(fetch, "peer_busy"),
                    ReadOutcome::Absent => {
                        self.share.metrics.record_retry("peer_lacks_chunk");
                        self.swarm
                            .record_missing_chunk(fetch, &frame.status, now_ms);
                    }
                }
            }
            (ReadResult::Peer(Err(error)), _) => {
                self.share.metrics.record_retry("peer_unavailable");
                self.swarm
                    .record_peer_fetch_failure(fetch, failure(&error), now_ms);
            }
            (ReadResult::Peer(Ok(_)), ChunkSource::Origin) => {}
        }
        self.drive(ctx);
    }

    fn defer(&mut self, fetch: ChunkFetch, reason: &'static str) {
        self.share.metrics.record_retry(reason);
        let now_ms = self.now_ms();
        self.swarm.record_busy_peer(fetch, now_ms);
    }

    fn take_chunk(&mut self, fetch: ChunkFetch, bytes: Bytes, from: &'static str) {
        let now_ms = self.now_ms();
        self.share.metrics.add(
            CounterKind::WeightBytes,
            bytes.len() as u64,
            "direction",
            from,
        );
        match self.version.insert(fetch.chunk, bytes) {
            InsertOutcome::Stored | InsertOutcome::Duplicate => {
                self.swarm.record_stored_chunk(fetch, now_ms)
            }
            InsertOutcome::Rejected(reason) => {
                self.share
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
        if self.swarm.held_chunks().is_complete() && self.version.verify() == StageName::Verified {
            let digest = self.version.digest();
            emit_event(Event::WeightsVerified, &[("manifest", &digest.short_hex())]);
        }
    }
}

impl Actor for Transfer {
    type Context = Context<Self>;

    fn started(&mut self, ctx: &mut Self::Context) {
        self.drive(ctx);
        ctx.run_interval(Duration::from_millis(TICK_MS), |act, ctx| act.drive(ctx));
    }
}

impl Handler<SetMembers> for Transfer {
    type Result = ();

    fn handle(&mut self, message: SetMembers, ctx: &mut Self::Context) {
        let hosts: Vec<SwarmHost> = message.0.iter().map(|member| member.host.clone()).collect();
        self.addresses = addresses(&message.0);
        self.swarm.set_hosts(&hosts);
        self.drive(ctx);
    }
}

impl Handler<StopTransfer> for Transfer {
    type Result = ();

    fn handle(&mut self, _: StopTransfer, ctx: &mut Self::Context) {
        ctx.stop();
    }
}

fn addresses(members: &[SwarmMember]) -> Vec<(String, SocketAddr)> {
    let mut addresses: Vec<(String, SocketAddr)> = members
        .iter()
        .map(|member| (member.host.name.clone(), member.address))
        .collect();
    addresses.sort_unstable();
    addresses
}

async fn read_from_peer(
    http: &HttpClient,
    url: &str,
    question: &PeerRequest,
    wait_ms: u64,
) -> Result<ChunkFrame, LinkError> {
    let malformed = |cause: &str| LinkError::Malformed(cause.to_owned());
    let body = rmp_serde::to_vec_named(question).map_err(|error| malformed(&error.to_string()))?;
    let request = http.request(Method::POST, url);
    let answer = HttpClient::send_and_read(request, body, wait_ms).await?;
    ChunkFrame::decode(&answer).ok_or_else(|| malformed("not a frame"))
}

fn failure(error: &LinkError) -> PeerFailure {
    match error {
        LinkError::Status { status: 410, .. } => PeerFailure::Held,
        LinkError::Status { .. } => PeerFailure::Declined,
        LinkError::Malformed(_) => PeerFailure::WrongChunk,
        LinkError::Broken(_) => PeerFailure::Broken,
        _ => PeerFailure::Unreachable,
    }
}

/// Label in counters of a question that got no answer.
fn question_label(error: &LinkError) -> &'static str {
    match error {
        LinkError::NotSent(_) => "question_not_sent",
        LinkError::Broken(_) => "question_broken",
        LinkError::Timeout { .. } => "question_timeout",
        LinkError::Status { .. } => "question_declined",
        LinkError::Malformed(_) => "question_malformed",
    }
}
