use std::io;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;

use actix_web::HttpResponse;
use actix_web::web;
use actix_web::web::Bytes;
use actix_web::web::Data;
use futures_util::future::join_all;

use super::requests_baseline;
use super::requests_baseline::Fifo;
use super::requests_baseline::RoundRobin;
use super::requests_document::entry_settings;
use super::requests_document::log_page;
use super::requests_model::MODEL;
use super::requests_model::WEIGHTS;
use super::requests_model::manifest_digest;
use super::requests_model::weights_digest;
use super::requests_policy::RequestsPolicy;
use super::requests_scenario::BATCH_SLOWDOWN_PERCENT;
use super::requests_scenario::BRANCHES;
use super::requests_scenario::ENDPOINTS;
use super::requests_scenario::ENTRIES;
use super::requests_scenario::FIRST_TOKEN_MS;
use super::requests_scenario::SLOTS;
use super::requests_scenario::TOKEN_MS;
use super::requests_threads::ThreadIds;
use super::requests_threads::record_thread;
use crate::calls::GenerateCall;
use crate::clients::EngineClient;
use crate::clients::EngineState;
use crate::clients::FencingNumber;
use crate::clients::LoadOrder;
use crate::contracts::BranchShare;
use crate::contracts::QueueLimits;
use crate::endpoint::GenerateQueue;
use crate::endpoint::GenerateServer;
use crate::endpoint::SLOTS_PER_RESERVED_SLOT;
use crate::entry::EntryState;
use crate::entry::post_generate;
use crate::hosts::HostRole;
use crate::hosts::HostedVersion;
use crate::hosts::Load;
use crate::hosts::Report;
use crate::hosts::VersionProgress;
use crate::links::ServeOptions;
use crate::links::decode_rmp;
use crate::links::serve;
use crate::standin::HttpServerHandle;
use crate::standin::engine;
use crate::standin::engine::EngineOptions;

/// Largest number of requests of one branch that wait at an endpoint.
const MAX_WAITING_PER_BRANCH: usize = 64;

/// Port of every server; each server has a loopback address of its own.
const PORT: u16 = 7400;

/// Last byte of the next loopback address to use.
static NEXT_HOST: AtomicU32 = AtomicU32::new(1);

/// Endpoint of the fleet with its engine.
#[derive(Debug)]
pub(super) struct FleetEndpoint {
    pub(super) engine: EngineClient,
    pub(super) engine_address: SocketAddr,
    pub(super) address: SocketAddr,
    /// Server of the endpoint; `None` while it is killed.
    pub(super) handle: Option<HttpServerHandle>,
    queue: Arc<GenerateQueue>,
}

/// Engines, endpoints and entries on loopback addresses.
#[derive(Debug)]
pub(super) struct RequestsFleet {
    policy: RequestsPolicy,
    pub(super) endpoints: Vec<FleetEndpoint>,
    pub(super) entries: Vec<SocketAddr>,
    /// State of each product entry.
    states: Vec<Arc<EntryState>>,
    /// Number of calls that reached endpoints.
    pub(super) received: Arc<AtomicUsize>,
    /// Servers of the entries, the engines and the weights source.
    handles: Vec<HttpServerHandle>,
    entry_threads: ThreadIds,
    endpoint_threads: ThreadIds,
}

/// Next loopback address; two of its bytes derive from the process id, so that
/// benches that run at the same time do not collide.
fn next_address() -> SocketAddr {
    let process = std::process::id();
    let host = NEXT_HOST.fetch_add(1, Ordering::Relaxed);
    let high = 1 + (process >> 8) % 250;
    let ip = Ipv4Addr::new(127, high as u8, process as u8, host as u8);
    SocketAddr::new(ip.into(), PORT)
}

impl RequestsFleet {
    /// Starts engines with loaded weights, endpoints and entries.
    pub(super) async fn start(policy: RequestsPolicy, cache_blocks: usize) -> io::Result<Self> {
        let source = serve(next_address(), &ServeOptions::default(), |app| {
            app.default_service(web::to(|| async { WEIGHTS }));
        })?;
        let mut fleet = Self {
            policy,
            endpoints: Vec::new(),
            entries: Vec::new(),
            states: Vec::new(),
            received: Arc::default(),
            handles: Vec::new(),
            entry_threads: ThreadIds::default(),
            endpoint_threads: ThreadIds::default(),
        };
        for _ in 0..ENDPOINTS {
            fleet.add_endpoint(&source, cache_blocks).await?;
        }
        for number in 0..ENTRIES {
            fleet.add_entry(number)?;
        }
        fleet.handles.push(source);
        fleet.merge_reports(&fleet.loads());
        Ok(fleet)
    }

    /// Starts an engine, loads the weights from `source` and starts its endpoint.
    async fn add_endpoint(
        &mut self,
        source: &HttpServerHandle,
        cache_blocks: usize,
    ) -> io::Result<()> {
        let mut options = EngineOptions::new(next_address());
        options.slots = SLOTS;
        options.first_token_ms = FIRST_TOKEN_MS;
        options.token_ms = TOKEN_MS;
        options.batch_slowdown_percent = BATCH_SLOWDOWN_PERCENT;
        options.cache_blocks = cache_blocks;
        let handle = engine::start(options).await?;
        let engine = EngineClient::new(handle.address());
        let order = LoadOrder {
            order: FencingNumber {
                offset: 1,
                incarnation: 1,
                sequence: 1,
            },
            model: MODEL.to_owned(),
            version: "1".to_owned(),
            manifest: manifest_digest(),
            whole: weights_digest(),
            base: None,
            source_url: source.url(),
        };
        engine.load(&order).await.map_err(io::Error::other)?;
        let queue = GenerateQueue::new(QueueLimits {
            slots: SLOTS,
            reserved_slots: SLOTS / SLOTS_PER_RESERVED_SLOT,
            max_waiting_per_branch: MAX_WAITING_PER_BRANCH,
            max_waiting: MAX_WAITING_PER_BRANCH * BRANCHES.len(),
        });
        let shares = BRANCHES.map(|branch| BranchShare {
            branch: branch.to_owned(),
            weight: 1,
            burst_percent: 100,
        });
        queue.set_shares(0, shares);
        let mut endpoint = FleetEndpoint {
            engine,
            engine_address: handle.address(),
            address: next_address(),
            handle: None,
            queue,
        };
        self.start_endpoint(&mut endpoint)?;
        self.endpoints.push(endpoint);
        self.handles.push(handle);
        Ok(())
    }

    /// Starts the server of an endpoint, for the first time or after it was killed.
    fn start_endpoint(&self, endpoint: &mut FleetEndpoint) -> io::Result<()> {
        let engine = endpoint.engine.clone();
        let queue = Arc::clone(&endpoint.queue);
        let received = Arc::clone(&self.received);
        let options = ServeOptions::default();
        let handle = match self.policy {
            RequestsPolicy::Baseline => {
                let fifo = Data::new(Fifo::new(SLOTS, engine, received));
                serve(endpoint.address, &options, move |app| {
                    app.app_data(fifo.clone())
                        .route("/generate", web::post().to(requests_baseline::run_in_order));
                })?
            }
            RequestsPolicy::Product | RequestsPolicy::Both => {
                let server = Data::new(ProductEndpoint {
                    server: GenerateServer::new(queue, engine, Arc::default()),
                    received,
                });
                let threads = Arc::clone(&self.endpoint_threads);
                serve(endpoint.address, &options, move |app| {
                    record_thread(&threads);
                    app.app_data(server.clone())
                        .route("/x/generate", web::post().to(product_endpoint));
                })?
            }
        };
        endpoint.handle = Some(handle);
        Ok(())
    }

    /// Starts the entry with index `number`.
    fn add_entry(&mut self, number: usize) -> io::Result<()> {
        let address = next_address();
        self.entries.push(address);
        let options = ServeOptions::default();
        if self.policy == RequestsPolicy::Baseline {
            let endpoints = self
                .endpoints
                .iter()
                .map(|endpoint| endpoint.address)
                .collect();
            let first = number * ENDPOINTS / ENTRIES;
            let state = Data::new(RoundRobin::new(endpoints, first));
            let handle = serve(address, &options, move |app| {
                app.app_data(state.clone()).route(
                    "/generate",
                    web::post().to(requests_baseline::relay_to_next),
                );
            })?;
            self.handles.push(handle);
            return Ok(());
        }
        let state = Arc::new(EntryState::new(entry_settings(number, address)));
        let shared = Data::from(Arc::clone(&state));
        let threads = Arc::clone(&self.entry_threads);
        let handle = serve(address, &options, move |app| {
            record_thread(&threads);
            app.app_data(shared.clone())
                .route("/v1/generate", web::post().to(post_generate));
        })?;
        self.states.push(state);
        self.handles.push(handle);
        Ok(())
    }

    /// Current load of each endpoint, as its next report would contain it.
    pub(super) fn loads(&self) -> Vec<Load> {
        let queues = self.endpoints.iter().map(|endpoint| &endpoint.queue);
        queues.map(|queue| queue.load()).collect()
    }

    /// Gives every entry the configuration log and a report of each running endpoint
    /// with the given loads.
    pub(super) fn merge_reports(&self, loads: &[Load]) {
        for state in &self.states {
            let now_ms = state.node.now_ms();
            state
                .node
                .follower()
                .apply_log_page(now_ms, now_ms, &log_page());
            let running = self.endpoints.iter().enumerate();
            for (number, endpoint) in running.filter(|(_, endpoint)| endpoint.handle.is_some()) {
                let report = Report {
                    name: format!("endpoint-{number}"),
                    address: endpoint.address,
                    role: HostRole::Endpoint,
                    region: "or-north".to_owned(),
                    domain: "a".to_owned(),
                    service: None,
                    incarnation: 1,
                    leaving: false,
                    config: state.node.config_position(),
                    load: loads[number],
                    served: vec![HostedVersion {
                        model: MODEL.to_owned(),
                        version: "1".to_owned(),
                        manifest: manifest_digest(),
                        progress: VersionProgress::Serving,
                        present_percent: 100,
                        held: None,
                    }],
                    permit_epoch: 0,
                    suspects: Vec::new(),
                };
                state.node.roster().merge_report(&report, now_ms);
            }
        }
    }

    /// Kills the server of endpoint `number`; its engine continues to run.
    pub(super) async fn kill(&mut self, number: usize) {
        if let Some(handle) = self.endpoints[number].handle.take() {
            handle.kill().await;
        }
    }

    /// Restarts the server of the killed endpoint `number`.
    pub(super) fn restart(&mut self, number: usize) -> io::Result<()> {
        let mut endpoint = self.endpoints.remove(number);
        let started = self.start_endpoint(&mut endpoint);
        self.endpoints.insert(number, endpoint);
        started
    }

    /// Metrics of every entry in text format.
    pub(super) fn metrics(&self) -> Vec<String> {
        let states = self.states.iter();
        states.map(|state| state.node.metrics().render()).collect()
    }

    /// Ids of the worker threads of the entries.
    pub(super) fn entry_threads(&self) -> Vec<String> {
        self.entry_threads
            .lock()
            .expect("no holder of the lock panics")
            .clone()
    }

    /// Ids of the worker threads of the endpoints.
    pub(super) fn endpoint_threads(&self) -> Vec<String> {
        self.endpoint_threads
            .lock()
            .expect("no holder of the lock panics")
            .clone()
    }

    /// Kills all endpoints, entries and engines.
    pub(super) async fn stop(mut self) {
        for number in 0..self.endpoints.len() {
            self.kill(number).await;
        }
        for handle in &self.handles {
            handle.kill().await;
        }
    }
}

/// State of an endpoint of the product.
#[derive(Debug)]
struct ProductEndpoint {
    server: GenerateServer,
    received: Arc<AtomicUsize>,
}

/// Handler of an endpoint of the product: counts the call and runs it.
async fn product_endpoint(state: Data<ProductEndpoint>, body: Bytes) -> HttpResponse {
    state.received.fetch_add(1, Ordering::Relaxed);
    match decode_rmp::<GenerateCall>(&body) {
        Ok(call) => state.server.run(call, weights_digest(), ()),
        Err(error) => HttpResponse::BadRequest().body(error.to_string()),
    }
}

/// State of every engine that answers.
pub(super) async fn engine_states(fleet: &RequestsFleet) -> Vec<EngineState> {
    let states = fleet
        .endpoints
        .iter()
        .map(|endpoint| endpoint.engine.fetch_state());
    let states = join_all(states).await;
    states.into_iter().filter_map(Result::ok).collect()
}
