use std::net::SocketAddr;

use crate::fleet::Residency;

/// Whether and how requests of a route may be repeated.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RouteKind {
    /// A request may run more than once.
    Idempotent,
    /// A request runs at most once.
    NonIdempotent,
    /// The answer is a stream of events; a request may be repeated only if `resumable`.
    Streaming {
        /// Whether another replica can resume a broken stream.
        resumable: bool,
    },
}

impl RouteKind {
    /// Whether a request that may have run can be resent.
    pub fn is_repeatable(self) -> bool {
        matches!(self, Self::Idempotent | Self::Streaming { resumable: true })
    }

    /// Whether the answer is a stream of events.
    pub fn is_streaming(self) -> bool {
        matches!(self, Self::Streaming { .. })
    }
}

/// A route of the configuration, which maps requests to services.
#[derive(Debug, Clone)]
pub struct Route {
    /// Name of the route.
    pub name: String,
    /// Value of the host header that the route matches.
    pub host: String,
    /// Prefix of the path that the route matches, with a slash at both ends.
    pub path_prefix: String,
    /// Whether and how requests may be repeated.
    pub kind: RouteKind,
    /// Longest time for which a request is handled, in ms.
    pub timeout_ms: u64,
    /// Latency target of the answer, or of the first event of a stream, in ms.
    pub target_latency_ms: u64,
    /// Priority of the requests; 0 is the most urgent.
    pub priority: u32,
    /// Names of the services with their shares of the requests, as weights.
    pub services: Vec<(String, u32)>,
    /// Largest number of sends of one request.
    pub max_attempts: u32,
    /// Whether requests without an API key are accepted.
    pub allows_anonymous: bool,
    /// Regions in which requests may be served; empty for every region.
    pub allowed_regions: Vec<String>,
}

/// A model that an engine serves.
#[derive(Debug, Clone)]
pub struct ModelProfile {
    /// Name of the model.
    pub name: String,
    /// Time to load the complete model, in ms.
    pub load_ms: u64,
}

/// Performance model of the engines of a service, by which answer times are predicted.
#[derive(Debug, Clone)]
pub struct EngineProfile {
    /// Requests that one engine runs concurrently.
    pub slots: u32,
    /// Base time of one step, which generates a token for each running request, in ms.
    pub step_ms: f64,
    /// Additional time of a step for each running request, in ms.
    pub step_per_request_ms: f64,
    /// Additional time of a step for each 1,000 tokens of context, in ms.
    pub step_per_1k_context_ms: f64,
    /// Prompt tokens processed per ms.
    pub prompt_tokens_per_ms: f64,
    /// Steps of one decode pass.
    pub steps_per_pass: u32,
    /// Mean number of tokens of a prompt.
    pub mean_prompt_tokens: f64,
    /// Mean number of tokens of an answer.
    pub mean_answer_tokens: f64,
    /// Number of chunks of one version of the weights; `gateway` and `staging` call them
    /// pieces.
    pub chunks: u32,
    /// Size of one chunk, in bytes.
    pub chunk_bytes: u32,
    /// Models that the engines serve.
    pub models: Vec<ModelProfile>,
}

/// The origin from which weights are downloaded.
#[derive(Debug, Clone)]
pub struct OriginProfile {
    /// Address of the origin.
    pub address: SocketAddr,
    /// Failure domain of the origin.
    pub failure_domain: String,
    /// Bandwidth of the origin's link, in Mbit/s.
    pub link_mbps: f64,
    /// Connections that the origin accepts at a time.
    pub max_connections: u32,
}

/// A service of the configuration.
#[derive(Debug, Clone)]
pub struct Service {
    /// Name of the service.
    pub name: String,
    /// Path of the health check; empty when there is none.
    pub health_path: String,
    /// Connections that one replica accepts from all clients together.
    pub max_connections: u32,
    /// Time for which a replica is cold after it comes into use, in ms.
    pub cold_start_ms: u64,
    /// Requests per second that a cold replica bears; 0 for no limit.
    pub cold_per_s: f64,
    /// Engine profile, for services whose replicas serve models.
    pub engine: Option<EngineProfile>,
    /// Origin profile, for the service that provides weights.
    pub origin: Option<OriginProfile>,
}

/// Limits on what a client may send.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ClientLimits {
    /// Largest request head, in bytes.
    pub max_head_bytes: usize,
    /// Largest request body, in bytes.
    pub max_body_bytes: usize,
    /// Time within which a complete request head must arrive, in ms.
    pub head_timeout_ms: u64,
    /// Time for which a connection may stay idle, in ms.
    pub idle_timeout_ms: u64,
}

impl ClientLimits {
    /// Limits that allow whatever one of the two allows.
    pub fn most_lenient(self, other: Self) -> Self {
        Self {
            max_head_bytes: self.max_head_bytes.max(other.max_head_bytes),
            max_body_bytes: self.max_body_bytes.max(other.max_body_bytes),
            head_timeout_ms: self.head_timeout_ms.max(other.head_timeout_ms),
            idle_timeout_ms: self.idle_timeout_ms.max(other.idle_timeout_ms),
        }
    }
}

impl Default for ClientLimits {
    fn default() -> Self {
        Self {
            max_head_bytes: 16 * 1024,
            max_body_bytes: 4 * 1024 * 1024,
            head_timeout_ms: 3_000,
            idle_timeout_ms: 15_000,
        }
    }
}

/// A workspace, which owns API keys.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Workspace {
    /// Name of the workspace.
    pub name: String,
    /// Priority of its requests, 0 being the most urgent; None for that of the route.
    pub priority: Option<u32>,
    /// Regions in which its requests may be served; empty for every region.
    pub allowed_regions: Vec<String>,
}

/// One version of the configuration, indexed for lookup.
#[derive(Debug, Clone)]
pub struct Catalog {
    /// Version of the configuration document.
    pub version: u64,
    /// Limits on what clients may send.
    pub limits: ClientLimits,
    // Sorted by host, then from the longest path prefix to the shortest.
    routes: Vec<Route>,
    // Sorted by name.
    services: Vec<Service>,
    workspaces: Vec<Workspace>,
    has_workspaces: bool,
    // Index of the owner in `workspaces` for each API key, sorted by key.
    api_keys: Vec<(String, usize)>,
}

impl Catalog {
    /// Indexes a configuration; each workspace comes with its API keys.
    pub fn new(
        version: u64,
        mut routes: Vec<Route>,
        mut services: Vec<Service>,
        limits: ClientLimits,
        workspaces: Vec<(Workspace, Vec<String>)>,
    ) -> Self {
        routes.sort_by(|a, b| {
            a.host
                .cmp(&b.host)
                .then(b.path_prefix.len().cmp(&a.path_prefix.len()))
        });
        services.sort_by(|a, b| a.name.cmp(&b.name));
        let mut api_keys: Vec<(String, usize)> = Vec::new();
        let mut owners = Vec::with_capacity(workspaces.len());
        for (index, (workspace, own_keys)) in workspaces.into_iter().enumerate() {
            api_keys.extend(own_keys.into_iter().map(|key| (key, index)));
            owners.push(workspace);
        }
        api_keys.sort_unstable();
        Self {
            version,
            limits,
            routes,
            services,
            has_workspaces: !owners.is_empty(),
            workspaces: owners,
            api_keys,
        }
    }

    /// Route of `host` with the longest prefix of `path`.
    pub fn route(&self, host: &str, path: &str) -> Option<&Route> {
        let first = self.routes.partition_point(|r| r.host.as_str() < host);
        self.routes[first..]
            .iter()
            .take_while(|route| route.host == host)
            .find(|route| path.starts_with(&route.path_prefix))
    }

    /// Regions that all routes of `host` with a list of regions allow; every region if there
    /// is no such route.
    pub fn host_residency(&self, host: &str) -> Residency {
        let first = self.routes.partition_point(|r| r.host.as_str() < host);
        let mut residency = Residency::default();
        for route in self.routes[first..].iter().take_while(|r| r.host == host) {
            residency.narrow(&route.allowed_regions);
        }
        residency
    }

    /// Service with that name.
    pub fn service(&self, name: &str) -> Option<&Service> {
        let at = self
            .services
            .binary_search_by(|service| service.name.as_str().cmp(name))
            .ok()?;
        Some(&self.services[at])
    }

    /// All services, sorted by name.
    pub fn services(&self) -> &[Service] {
        &self.services
    }

    /// Number of pieces of one version of the weights of `model`; 0 when no service has
    /// engines that serve it.
    pub fn piece_count(&self, model: &str) -> u32 {
        let engines = self.services.iter().filter_map(|s| s.engine.as_ref());
        engines
            .filter(|engine| engine.models.iter().any(|m| m.name == model))
            .map(|engine| engine.chunks)
            .max()
            .unwrap_or(0)
    }

    /// Marks that the configuration lists its workspaces, even if the list is empty.
    pub fn mark_workspaces_listed(&mut self) {
        self.has_workspaces = true;
    }

    /// Whether the configuration lists workspaces, so that requests need an API key. With an
    /// empty list, no key is valid.
    pub fn has_workspaces(&self) -> bool {
        self.has_workspaces
    }

    /// Workspace that owns the API key `key`.
    pub fn workspace(&self, key: &str) -> Option<&Workspace> {
        let at = self
            .api_keys
            .binary_search_by(|owned| owned.0.as_str().cmp(key))
            .ok()?;
        Some(&self.workspaces[self.api_keys[at].1])
    }

    /// Workspace with that name.
    pub fn workspace_named(&self, name: &str) -> Option<&Workspace> {
        self.workspaces.iter().find(|owner| owner.name == name)
    }
}
