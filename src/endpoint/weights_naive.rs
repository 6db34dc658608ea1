use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use actix::Actor;
use actix::AsyncContext;
use actix::Context;
use actix::WrapFuture;
use actix_web::http::Method;
use bytes::Bytes;

use crate::document::ModelSection;
use crate::endpoint::EndpointState;
use crate::hosts::HostRole;
use crate::hosts::Progress;
use crate::hosts::Served;
use crate::links::HttpClient;
use crate::observe::Event;
use crate::observe::emit;
use crate::platform::EngineClient;
use crate::platform::LoadOrder;
use crate::platform::OrderNo;
use crate::platform::OriginClient;
use crate::weights::Digest;
use crate::weights::Inserted;
use crate::weights::LoadCheck;
use crate::weights::MemoryBudget;
use crate::weights::Replica;
use crate::weights::Serving;
use crate::weights::Verification;
use crate::weights::Verified;

/// How often the document is compared with what is here.
const ROUND: Duration = Duration::from_millis(500);

/// Tries at peers before the origin is asked for a chunk that is not ours.
const PEER_TRIES: u32 = 20;

/// Pause between tries at peers.
const PEER_PAUSE: Duration = Duration::from_millis(50);

/// Longest time one chunk may take.
const CHUNK_WAIT_MS: u64 = 10_000;

/// Verified and serving versions, and the chunks of the one on its way.
#[derive(Debug, Default)]
pub struct HeldWeights {
    arriving: Option<(Digest, Vec<Option<Bytes>>)>,
    verified: Vec<Replica<Verified>>,
    serving: Vec<Replica<Serving>>,
}

impl HeldWeights {
    /// One verified chunk.
    pub fn chunk(&self, manifest: Digest, index: u32) -> Option<Bytes> {
        if let Some((arriving, chunks)) = &self.arriving
            && *arriving == manifest
        {
            return chunks.get(index as usize).cloned().flatten();
        }
        let verified = self
            .verified
            .iter()
            .find(|held| held.manifest().digest() == manifest);
        let serving = self
            .serving
            .iter()
            .find(|held| held.manifest().digest() == manifest);
        verified
            .and_then(|held| held.chunk(index))
            .or_else(|| serving.and_then(|held| held.chunk(index)))
    }

    /// All bytes of a verified version, in order.
    pub fn whole(&self, manifest: Digest) -> Option<Vec<Bytes>> {
        let held = self
            .verified
            .iter()
            .find(|held| held.manifest().digest() == manifest)?;
        Some(held.whole().collect())
    }

    /// Whole digest of a version the engine serves.
    pub fn serving_whole(&self, manifest: Digest) -> Option<Digest> {
        self.serving
            .iter()
            .find(|held| held.manifest().digest() == manifest)
            .map(|held| held.manifest().whole)
    }

    fn serves(&self, manifest: Digest) -> bool {
        self.serving_whole(manifest).is_some()
    }
}

/// Fetches and loads the versions that this host should serve, one at a time.
#[derive(Debug)]
pub struct Fetcher {
    state: Arc<EndpointState>,
}

impl Fetcher {
    /// Fetcher of `state`'s host.
    pub fn new(state: Arc<EndpointState>) -> Self {
        Self { state }
    }
}

impl Actor for Fetcher {
    type Context = Context<Self>;

    fn started(&mut self, context: &mut Self::Context) {
        let state = Arc::clone(&self.state);
        let fetching = async move {
            loop {
                for model in state.node.document().models() {
                    if !state.weights().serves(model.manifest) {
                        bring(&state, &model).await;
                    }
                }
                actix_rt::time::sleep(ROUND).await;
            }
        };
        context.spawn(fetching.into_actor(self));
    }
}

async fn bring(state: &Arc<EndpointState>, model: &ModelSection) {
    let Some(replica) = fetch(state, model).await else {
        return;
    };
    emit(
        Event::WeightsVerified,
        &[("manifest", &model.manifest.short())],
    );
    state.weights().verified.push(replica);
    load(state, model).await;
}

async fn fetch(state: &Arc<EndpointState>, model: &ModelSection) -> Option<Replica<Verified>> {
    let origin = OriginClient::new(state.node.platform().origin_url.clone());
    let manifest = origin.manifest(&model.name, &model.version).await.ok()?;
    let count = manifest.chunk_count();
    let budget = MemoryBudget::new(state.settings.weights.budget_bytes);
    let announced = Replica::announced(model.manifest);
    let mut fetching = announced.fetch(Arc::new(manifest), &budget).ok()?;
    state.weights().arriving = Some((model.manifest, vec![None; count as usize]));
    for index in 0..count {
        let bytes = chunk(state, &origin, model.manifest, index).await?;
        if fetching.insert(index, bytes.clone()) != Inserted::Stored {
            return None;
        }
        if let Some((_, chunks)) = &mut state.weights().arriving {
            chunks[index as usize] = Some(bytes);
        }
    }
    match fetching.verify() {
        Verification::Verified(replica) => Some(replica),
        Verification::Incomplete(_) | Verification::Held(_) => None,
    }
}

/// Reads a chunk from the peer that reads it from the origin, or from the origin.
async fn chunk(
    state: &Arc<EndpointState>,
    origin: &OriginClient,
    manifest: Digest,
    index: u32,
) -> Option<Bytes> {
    if let Some(home) = home(state, manifest, index) {
        let url = format!("http://{home}/x/weights/{manifest}/{index}");
        for _ in 0..PEER_TRIES {
            let request = state.node.http().request(Method::GET, &url);
            match HttpClient::exchange(request, Bytes::new(), CHUNK_WAIT_MS).await {
                Ok(bytes) => return Some(bytes),
                Err(_) => actix_rt::time::sleep(PEER_PAUSE).await,
            }
        }
    }
    origin.chunk(manifest, index, CHUNK_WAIT_MS).await.ok()
}

/// Address of the peer with the highest rank for a chunk; `None` when it is this host.
fn home(state: &EndpointState, manifest: Digest, index: u32) -> Option<SocketAddr> {
    let now_ms = state.node.now_ms();
    let roster = state.node.roster();
    let rank = |name: &str| *blake3::hash(format!("{manifest}{index}{name}").as_bytes()).as_bytes();
    roster
        .askable(HostRole::Endpoint, now_ms)
        .filter(|(_, host)| host.service.is_none())
        .max_by_key(|(_, host)| rank(&host.name))
        .filter(|(_, host)| host.name != state.node.name())
        .map(|(_, host)| host.address)
}

async fn load(state: &Arc<EndpointState>, model: &ModelSection) {
    let Some(address) = state.engine_address() else {
        return;
    };
    let engine = EngineClient::new(address);
    let order = LoadOrder {
        order: OrderNo {
            offset: state.node.config_mark().offset,
            incarnation: state.node.incarnation(),
            sequence: 0,
        },
        model: model.name.clone(),
        version: model.version.clone(),
        manifest: model.manifest,
        base: None,
        source_url: format!(
            "http://{}/x/local/{}",
            state.node.process().listen,
            model.manifest
        ),
    };
    let Ok(answer) = engine.load(&order).await else {
        return;
    };
    let mut weights = state.weights();
    let Some(replica) = weights.verified.pop() else {
        return;
    };
    match replica.loaded(answer.whole) {
        LoadCheck::Loaded(loaded) => weights.serving.push(loaded.serve()),
        LoadCheck::Held(replica, _) => weights.verified.push(replica),
    }
    drop(weights);
    state.node.own().served.push(Served {
        model: model.name.clone(),
        version: model.version.clone(),
        manifest: model.manifest,
        progress: Progress::Serving,
        present_percent: 100,
        held: None,
    });
    emit(
        Event::WeightsServing,
        &[("manifest", &model.manifest.short())],
    );
}
