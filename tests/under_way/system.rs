//! An entry with engines of one model and desks of one service, as separate processes.

use std::time::Duration;

use actix_rt::task::JoinHandle;
use actix_rt::time::sleep;
use serde_json::Value;
use serde_json::json;

use crate::kept_connection::Answer;
use crate::kept_connection::KeptConnection;
use crate::support::Cluster;
use crate::support::TOKEN;
use crate::support::until;
use bergamotfork::clients::EngineState;
use bergamotfork::links::HttpClient;
use bergamotfork::standin::service::Execution;
use bergamotfork::weights::Digest;

/// Seed of all token streams.
const SEED: u64 = 3;

/// Deadline of the calls, longer than any pause in these tests.
const DEADLINE_MS: u64 = 15_000;

/// What a system consists of.
#[derive(Debug, Default)]
pub struct Parts<'a> {
    pub engines: usize,
    pub desks: usize,
    /// Arguments of the service stand-ins.
    pub service_args: &'a [&'a str],
    /// Settings added to the section of the entry.
    pub entry_settings: &'a str,
    /// Settings of the section `[endpoint]`.
    pub endpoint_settings: &'a str,
}

/// The processes under test.
pub struct System {
    pub cluster: Cluster,
    /// URL of the entry.
    pub entry: String,
    /// Addresses of the engines.
    engines: Vec<String>,
    /// Addresses of the services.
    services: Vec<String>,
}

impl System {
    /// Starts the processes and waits until each of them answers.
    pub async fn start(parts: Parts<'_>) -> Self {
        let mut cluster = Cluster::new().await;
        cluster.endpoint_settings = parts.endpoint_settings.to_owned();
        let entry = cluster
            .start_entry("entry-1", "or-north", parts.entry_settings)
            .await;
        let pace = ["--first-token-ms", "20", "--token-ms", "30"];
        let mut engines = Vec::new();
        for number in 0..parts.engines {
            let name = format!("engine-{number}");
            let endpoint = cluster.start_engine(&name, "or-north", &pace).await;
            engines.push(cluster.backend_of(&endpoint));
        }
        let mut services = Vec::new();
        for number in 0..parts.desks {
            let name = format!("desk-{number}");
            let endpoint = cluster
                .start_service(&name, "or-north", "bookdesk", parts.service_args)
                .await;
            services.push(cluster.backend_of(&endpoint));
        }
        let manifest = cluster.publish("chat", "v1", 100_000).await;
        let replicas = parts.engines.max(1);
        let model = format!("version = v1\nmanifest = {manifest}\nreplicas = {replicas}\n");
        cluster.append_edit("model chat", 0, &model).await;
        let service = "idempotent = lookup\ntimeout_ms = 2500\n";
        cluster.append_edit("service bookdesk", 0, service).await;
        let branch = format!(
            "token_digest = {}\nweight = 1\nshare_percent = 50\nburst_percent = 100\n\
             models = chat\nservices = bookdesk\n",
            Digest::of_bytes(TOKEN.as_bytes())
        );
        cluster.append_edit("branch seaside", 0, &branch).await;
        let system = Self {
            cluster,
            entry,
            engines,
            services,
        };
        system.wait_until_ready().await;
        system
    }

    async fn wait_until_ready(&self) {
        for engine in 0..self.engines.len() {
            until("the entry uses the engine", 30, async || {
                let _ = self.generate("ready?", 1).await;
                (self.engine_state(engine).await?.started > 0).then_some(())
            })
            .await;
        }
        for desk in 0..self.services.len() {
            until("the entry uses the desk", 30, async || {
                let _ = self.call("lookup", &json!("ready?"), None).await;
                (!self.executions(desk).await.is_empty()).then_some(())
            })
            .await;
        }
    }

    /// Address of an engine.
    pub fn engine_address(&self, engine: usize) -> String {
        self.engines[engine].clone()
    }

    /// URL of the service beside a desk.
    pub fn service_url(&self, desk: usize) -> String {
        format!("http://{}", self.services[desk])
    }

    /// State of an engine; `None` if it does not answer.
    pub async fn engine_state(&self, engine: usize) -> Option<EngineState> {
        let url = format!("http://{}/v1/state", self.engines[engine]);
        HttpClient::to_platform().get_json(&url, 2000).await.ok()
    }

    /// Executions at a desk.
    pub async fn executions(&self, desk: usize) -> Vec<Execution> {
        let url = format!("http://{}/ledger", self.services[desk]);
        let ledger = HttpClient::to_platform().get_json(&url, 2000).await;
        ledger.expect("the service shows its executions")
    }

    /// Waits until a desk has run `count` calls more than `before`.
    pub async fn wait_for_executions(&self, desk: usize, count: usize) {
        until("the calls run", 10, async || {
            (self.executions(desk).await.len() >= count).then_some(())
        })
        .await;
    }

    /// Waits until an engine runs a stream.
    pub async fn wait_for_stream(&self, engine: usize) {
        until("the engine runs the stream", 10, async || {
            (self.engine_state(engine).await?.running > 0).then_some(())
        })
        .await;
    }

    /// Waits until any engine runs a stream, and returns its number.
    pub async fn wait_for_stream_anywhere(&self) -> usize {
        until("an engine runs the stream", 10, async || {
            for engine in 0..self.engines.len() {
                if self.engine_state(engine).await?.running > 0 {
                    return Some(engine);
                }
            }
            None
        })
        .await
    }

    /// Sends a signal to the process called `name`.
    pub fn signal(&self, name: &str, signal: &str) {
        let mut processes = self.cluster.processes.iter();
        let found = processes.find(|(known, _)| known == name);
        found.expect("the process was started").1.signal(signal);
    }

    /// Stops the process called `name` for `pause`.
    pub async fn freeze(&self, name: &str, pause: Duration) {
        self.signal(name, "STOP");
        sleep(pause).await;
        self.signal(name, "CONT");
    }

    /// Waits until the process called `name` has ended, and returns its exit code.
    pub async fn wait_for_exit(&mut self, name: &str, limit_s: u64) -> i32 {
        let process = self.cluster.process(name);
        until(&format!("{name} ends"), limit_s, async || {
            process.exit_code()
        })
        .await
    }

    /// Requests tokens over a connection of their own.
    pub async fn generate(&self, prompt: &str, tokens: u32) -> Result<Answer, String> {
        let connection = KeptConnection::open(&self.entry)?;
        let body = generate_body(prompt, tokens);
        connection.post("/v1/generate", &body).await.1
    }

    /// Requests tokens in the background.
    pub fn spawn_generate(&self, prompt: &str, tokens: u32) -> JoinHandle<Result<Answer, String>> {
        let entry = self.entry.clone();
        let body = generate_body(prompt, tokens);
        actix_rt::spawn(async move {
            let connection = KeptConnection::open(&entry)?;
            connection.post("/v1/generate", &body).await.1
        })
    }

    /// Calls the service over a connection of its own.
    pub async fn call(
        &self,
        path: &str,
        body: &Value,
        permit: Option<&Value>,
    ) -> Result<Answer, String> {
        let connection = KeptConnection::open(&self.entry)?;
        let body = call_body(path, body, permit);
        connection.post("/v1/call", &body).await.1
    }

    /// A permit for a call that may not be repeated.
    pub async fn permit(&self) -> Value {
        until("a permit is issued", 10, async || {
            let url = format!("{}/v1/permits?branch=seaside&service=bookdesk", self.entry);
            let answer = self
                .cluster
                .send_request(actix_web::http::Method::GET, &url, None)
                .await
                .ok()?;
            let answer: Value = serde_json::from_slice(&answer).ok()?;
            answer["permits"].get(0).cloned()
        })
        .await
    }
}

/// Body of a request for tokens.
pub fn generate_body(prompt: &str, tokens: u32) -> Value {
    json!({
        "branch": "seaside", "model": "chat", "prompt": prompt, "max_tokens": tokens,
        "seed": SEED, "deadline_ms": DEADLINE_MS,
    })
}

/// Body of a call of the service.
pub fn call_body(path: &str, body: &Value, permit: Option<&Value>) -> Value {
    json!({
        "branch": "seaside", "service": "bookdesk", "path": path, "body": body,
        "permit": permit, "send": 1, "deadline_ms": DEADLINE_MS,
    })
}

/// Checks that an answer holds all tokens in order and its end.
pub fn assert_whole(answer: &Result<Answer, String>, tokens: u32) {
    let answer = answer.as_ref().expect("there is an answer");
    assert_eq!(answer.status, 200, "{}", answer.body);
    let events: Vec<Value> = answer
        .body
        .lines()
        .map(|line| serde_json::from_str(line).expect("a line is an event"))
        .collect();
    let last = events.last().expect("an answer has events");
    assert_eq!(last["kind"], "end", "{last}");
    assert_eq!(last["tokens"], tokens);
    let tokens_sent = events.iter().filter(|event| event["kind"] == "token");
    let indices = tokens_sent.filter_map(|event| event["index"].as_u64());
    assert!(indices.eq(0..u64::from(tokens)), "{}", answer.body);
}

/// Checks that an answer is the service's own.
pub fn assert_answered(answer: &Result<Answer, String>) {
    let answer = answer.as_ref().expect("there is an answer");
    assert_eq!(answer.status, 200, "{}", answer.body);
}
