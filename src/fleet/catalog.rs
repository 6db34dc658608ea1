use std::net::SocketAddr;

/// What may be repeated of the requests on a route.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RouteKind {
    /// May run more than once.
    Idempotent,
    /// Runs at most once.
    NonIdempotent,
    /// Answers with a stream of events; may be repeated only if `resumable`.
    Streaming {
        /// Whether the stream may go on at another replica.
        resumable: bool,
    },
}

impl RouteKind {
    /// Whether a request that may have run can be sent again.
    pub fn is_repeatable(self) -> bool {
        matches!(self, Self::Idempotent | Self::Streaming { resumable: true })
    }

    /// Whether the answer is a stream of events.
    pub fn is_streaming(self) -> bool {
        matches!(self, Self::Streaming { .. })
    }
}

/// One route of the configuration.
#[derive(Debug, Clone)]
pub struct Route {
    /// Name.
    pub name: String,
    /// Host that requests name.
    pub host: String,
    /// Beginning of the path, with a slash at both ends.
    pub path_prefix: String,
    /// What may be repeated.
    pub kind: RouteKind,
    /// Longest time that a request is kept.
    pub timeout_ms: u64,
    /// Time within which an answer, or the first event, is on time.
    pub target_latency_ms: u64,
    /// Rank; 0 is the most urgent.
    pub priority: u32,
    /// Services with their weights.
    pub services: Vec<(String, u32)>,
    /// Replicas that one request may be sent to.
    pub max_attempts: u32,
    /// Whether no API key is asked for.
    pub allows_anonymous: bool,
}

/// A model of an engine.
#[derive(Debug, Clone)]
pub struct ModelProfile {
    /// Name.
    pub name: String,
    /// Time to load the whole model.
    pub load_ms: u64,
}

/// How the engines of a service work.
#[derive(Debug, Clone)]
pub struct EngineProfile {
    /// Requests that run at once.
    pub slots: u32,
    /// Time of one token step.
    pub step_ms: f64,
    /// Further time of a step for each running request.
    pub step_per_request_ms: f64,
    /// Further time of a step for each 1,000 tokens of context.
    pub step_per_1k_context_ms: f64,
    /// Prompt tokens read in one ms.
    pub prompt_tokens_per_ms: f64,
    /// Steps of one pass that writes.
    pub steps_per_pass: u32,
    /// Mean tokens of a prompt.
    pub mean_prompt_tokens: f64,
    /// Mean tokens of an answer.
    pub mean_answer_tokens: f64,
    /// Pieces of the weights of one version.
    pub chunks: u32,
    /// Bytes of one piece.
    pub chunk_bytes: u32,
    /// Models that the engines serve.
    pub models: Vec<ModelProfile>,
}

/// Where weights come from.
#[derive(Debug, Clone)]
pub struct OriginProfile {
    /// Address.
    pub address: SocketAddr,
    /// Failure domain it stands in.
    pub failure_domain: String,
    /// Bandwidth of its link.
    pub link_mbps: f64,
    /// Connections that it accepts.
    pub max_connections: u32,
}

/// One service of the configuration.
#[derive(Debug, Clone)]
pub struct Service {
    /// Name.
    pub name: String,
    /// Path of the health check; empty where there is none.
    pub health_path: String,
    /// Connections that one replica accepts from all callers.
    pub max_connections: u32,
    /// Engine, for services of model replicas.
    pub engine: Option<EngineProfile>,
    /// Origin of weights, for the service that is one.
    pub origin: Option<OriginProfile>,
}

/// What a client may send.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ClientLimits {
    /// Largest head, in bytes.
    pub max_head_bytes: usize,
    /// Largest body, in bytes.
    pub max_body_bytes: usize,
    /// Time for a whole head.
    pub head_timeout_ms: u64,
    /// Time that a connection may stay idle.
    pub idle_timeout_ms: u64,
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

/// A workspace that owns API keys.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Workspace {
    /// Name.
    pub name: String,
    /// Rank; 0 is the most urgent.
    pub priority: Option<u32>,
}

/// One version of the configuration, indexed for look-up.
#[derive(Debug, Clone)]
pub struct Catalog {
    /// Version of the document.
    pub version: u64,
    /// ClientLimits for clients.
    pub limits: ClientLimits,
    // Ascending by host, then by falling length of the prefix.
    routes: Vec<Route>,
    // Ascending by name.
    services: Vec<Service>,
    workspaces: Vec<Workspace>,
    // Ascending by key.
    api_keys: Vec<(String, usize)>,
}

impl Catalog {
    /// Indexes a configuration; `workspaces` come with their API keys.
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
            workspaces: owners,
            api_keys,
        }
    }

    /// Route with the longest prefix of `path` among those of `host`.
    pub fn route(&self, host: &str, path: &str) -> Option<&Route> {
        let first = self.routes.partition_point(|r| r.host.as_str() < host);
        self.routes[first..]
            .iter()
            .take_while(|route| route.host == host)
            .find(|route| path.starts_with(&route.path_prefix))
    }

    /// Service by name.
    pub fn service(&self, name: &str) -> Option<&Service> {
        let at = self
            .services
            .binary_search_by(|service| service.name.as_str().cmp(name))
            .ok()?;
        Some(&self.services[at])
    }

    /// All services, by name.
    pub fn services(&self) -> &[Service] {
        &self.services
    }

    /// Whether requests need an API key.
    pub fn has_workspaces(&self) -> bool {
        !self.workspaces.is_empty()
    }

    /// Workspace that holds `key`.
    pub fn workspace(&self, key: &str) -> Option<&Workspace> {
        let at = self
            .api_keys
            .binary_search_by(|owned| owned.0.as_str().cmp(key))
            .ok()?;
        Some(&self.workspaces[self.api_keys[at].1])
    }
}
