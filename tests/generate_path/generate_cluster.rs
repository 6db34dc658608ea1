use actix_rt::task::JoinHandle;
use actix_web::http::Method;
use bytes::Bytes;
use serde_json::Value;
use serde_json::json;

use crate::support::Cluster;
use crate::support::Process;
use crate::support::TOKEN;
use crate::support::until;
use bergamotfork::clients::EngineState;
use bergamotfork::clients::StreamEvent;
use bergamotfork::links::HttpClient;
use bergamotfork::links::LinkError;
use bergamotfork::standin::engine::token_text;
use bergamotfork::weights::Digest;

/// Seed of all requests.
const SEED: u64 = 3;
/// Arguments of the engines: slow enough to be interrupted, and crashing on demand.
const ENGINE_ARGS: [&str; 5] = ["--first-token-ms", "20", "--token-ms", "30", "--may-crash"];

/// An entry and the replicas of one model, as separate processes.
pub struct GenerateCluster {
    cluster: Cluster,
    /// URL of the entry.
    entry: String,
    /// Addresses of the engines behind their endpoints.
    engines: Vec<String>,
}

impl GenerateCluster {
    /// Starts the cluster and waits until every replica serves the model.
    pub async fn start(replicas: usize) -> Self {
        let mut cluster = Cluster::new().await;
        let entry = cluster.start_entry("entry-1", "or-north", "").await;
        let mut engines = Vec::new();
        for number in 0..replicas {
            let name = format!("engine-{number}");
            let endpoint = cluster.start_engine(&name, "or-north", &ENGINE_ARGS).await;
            engines.push(cluster.backend_of(&endpoint));
        }
        Self::serve_model(cluster, entry, engines).await
    }

    /// Starts the cluster with endpoints that reach their engines at the addresses that
    /// `start_proxy` returns for those of the engines.
    pub async fn start_with_proxies(replicas: usize, start_proxy: impl Fn(&str) -> String) -> Self {
        let mut cluster = Cluster::new().await;
        let entry = cluster.start_entry("entry-1", "or-north", "").await;
        let mut engines = Vec::new();
        for number in 0..replicas {
            let engine = cluster.unused_address();
            cluster.start_bare_engine(&format!("bare-engine-{number}"), &engine);
            let backend = start_proxy(&engine);
            let name = format!("engine-{number}");
            cluster
                .start_endpoint(&name, "or-north", &backend, "")
                .await;
            engines.push(engine);
        }
        Self::serve_model(cluster, entry, engines).await
    }

    /// Publishes the model and waits until every replica serves it.
    async fn serve_model(cluster: Cluster, entry: String, engines: Vec<String>) -> Self {
        let manifest = cluster.publish("chat", "v1", 100_000).await;
        let replicas = engines.len().max(1);
        let model = format!("version = v1\nmanifest = {manifest}\nreplicas = {replicas}\n");
        cluster.append_edit("model chat", 0, &model).await;
        let digest = Digest::of_bytes(TOKEN.as_bytes());
        let branch = format!("token_digest = {digest}\nshare_percent = 50\nmodels = chat\n");
        cluster.append_edit("branch seaside", 0, &branch).await;
        let started = Self {
            cluster,
            entry,
            engines,
        };
        started.wait_until_ready().await;
        started
    }

    /// Waits until the entry knows the model and every engine serves it.
    async fn wait_until_ready(&self) {
        until("the entry knows the model", 30, async || {
            match self.generate("ready?", 1).await {
                Ok(_) => Some(()),
                Err(error) => error.to_string().contains("no_replica").then_some(()),
            }
        })
        .await;
        for number in 0..self.engines.len() {
            until("the engine serves", 30, async || {
                (!self.state(number).await?.loaded.is_empty()).then_some(())
            })
            .await;
        }
        until("the entry uses every replica", 30, async || {
            let states = self.states().await;
            if states.iter().all(|state| state.started > 0) {
                return Some(());
            }
            let _ = self.generate("ready?", 1).await;
            None
        })
        .await;
    }

    /// State of an engine; `None` if it does not answer.
    async fn state(&self, number: usize) -> Option<EngineState> {
        let url = format!("http://{}/v1/state", self.engines[number]);
        HttpClient::to_platform().get_json(&url, 2000).await.ok()
    }

    /// States of the engines that answer.
    async fn states(&self) -> Vec<EngineState> {
        let mut states = Vec::new();
        for number in 0..self.engines.len() {
            states.extend(self.state(number).await);
        }
        states
    }

    /// Number of engines that answer.
    pub async fn live_engine_count(&self) -> usize {
        self.states().await.len()
    }

    /// Waits until an engine runs a stream, and returns its number.
    pub async fn wait_for_running_engine(&self) -> usize {
        until("an engine runs the stream", 20, async || {
            let states = self.states().await;
            states.iter().position(|state| state.running > 0)
        })
        .await
    }

    /// Waits until no engine runs a stream.
    pub async fn wait_until_idle(&self) {
        until("no engine runs a stream", 20, async || {
            let states = self.states().await;
            states.iter().all(|state| state.running == 0).then_some(())
        })
        .await;
    }

    /// Endpoint process with the given number.
    pub fn process(&mut self, number: usize) -> &mut Process {
        self.cluster.process(&format!("engine-{number}"))
    }

    /// Sends a request and waits for its answer.
    pub async fn generate(&self, prompt: &str, tokens: u32) -> Result<Bytes, LinkError> {
        send_generate(&self.entry, prompt, tokens).await
    }

    /// Sends a request with these fields changed and waits for its answer.
    pub async fn generate_with(&self, prompt: &str, changes: &Value) -> Result<Bytes, LinkError> {
        let mut body = generate_body(prompt, 2);
        for (key, value) in changes.as_object().expect("an object") {
            body[key] = value.clone();
        }
        send_body(&self.entry, &body).await
    }

    /// Sends a request in the background; its answer can be awaited later.
    pub fn spawn_generate(&self, prompt: &'static str, tokens: u32) -> JoinHandle<Bytes> {
        let entry = self.entry.clone();
        actix_rt::spawn(async move {
            let answer = send_generate(&entry, prompt, tokens).await;
            answer.expect("the entry answers")
        })
    }

    /// Checks that an answer is complete, in order and generated by one version.
    pub fn assert_answer(&self, answer: &Bytes, prompt: &str, tokens: u32) {
        let lines = answer.split(|&byte| byte == b'\n');
        let mut events: Vec<StreamEvent> = lines
            .filter(|line| !line.is_empty())
            .map(|line| serde_json::from_slice(line).expect("a line is an event"))
            .collect();
        events.retain(|event| *event != StreamEvent::Beat);
        let Some(StreamEvent::End {
            tokens: count,
            whole,
            ..
        }) = events.pop()
        else {
            panic!("no end record: {events:?}");
        };
        assert_eq!(count, tokens);
        let expected: Vec<StreamEvent> = (0..tokens)
            .map(|index| StreamEvent::Token {
                index,
                text: token_text(&whole, prompt, SEED, index),
            })
            .collect();
        assert_eq!(events, expected);
    }

    /// Checks that the engines started each answered request once.
    pub async fn assert_started_once(&self) {
        let started: u64 = self.states().await.iter().map(|state| state.started).sum();
        let answered = self.answered_count().await;
        assert_eq!(started, answered);
    }

    /// Number of requests that the entry has answered completely.
    async fn answered_count(&self) -> u64 {
        let url = format!("{}/metrics", self.entry);
        let request = HttpClient::to_platform().request(Method::GET, &url);
        let text = HttpClient::send_and_read(request, Bytes::new(), 2000).await;
        let text = String::from_utf8_lossy(&text.expect("the entry has metrics")).into_owned();
        let line = text.lines().find(|line| {
            line.starts_with("bergamotfork_requests_total{") && line.contains("\"done\"")
        });
        let count = line.and_then(|line| line.rsplit(' ').next()?.parse().ok());
        count.expect("requests are counted")
    }
}

async fn send_generate(entry: &str, prompt: &str, tokens: u32) -> Result<Bytes, LinkError> {
    send_body(entry, &generate_body(prompt, tokens)).await
}

fn generate_body(prompt: &str, tokens: u32) -> Value {
    json!({
        "branch": "seaside", "model": "chat", "prompt": prompt, "max_tokens": tokens, "seed": SEED,
    })
}

async fn send_body(entry: &str, body: &Value) -> Result<Bytes, LinkError> {
    let request = HttpClient::to_platform()
        .request(Method::POST, &format!("{entry}/v1/generate"))
        .insert_header(("authorization", format!("Bearer {TOKEN}")))
        .insert_header(("content-type", "application/json"));
    HttpClient::send_and_read(request, body.to_string(), 40_000).await
}
