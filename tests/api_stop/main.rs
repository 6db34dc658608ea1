//! Tests planned stops of each role by SIGTERM and SIGINT: requests in progress are
//! completed, and the process exits with code 0.

#[path = "../support/mod.rs"]
mod support;

use std::fmt::Debug;

use actix_web::http::Method;
use serde_json::Value;
use serde_json::json;

use bergamotfork::clients::StreamEvent;
use bergamotfork::links::HttpClient;
use bergamotfork::weights::Digest;
use support::Cluster;
use support::TOKEN;
use support::until;

/// Tokens of an answer that takes about two seconds.
const ANSWER_TOKENS: u32 = 40;

/// An entry, a slow engine and a slow service, with a branch that may use both.
struct TestSystem {
    cluster: Cluster,
    /// URL of the entry.
    entry: String,
    /// Address of the engine behind its endpoint.
    engine: String,
    /// Address of the service behind its endpoint.
    service: String,
}

/// Starts the processes and waits until the entry answers both kinds of requests.
async fn start_system() -> TestSystem {
    let mut cluster = Cluster::new().await;
    let entry = cluster.start_entry("entry-1", "or-north", "").await;
    let engine = cluster
        .start_engine("engine-1", "or-north", &["--token-ms", "50"])
        .await;
    let engine = cluster.backend_of(&engine);
    let delay = ["--delay-ms", "1500"];
    let service = cluster
        .start_service("desk-1", "or-north", "bookdesk", &delay)
        .await;
    let service = cluster.backend_of(&service);
    let manifest = cluster.publish("chat", "v1", 1 << 17).await;
    let model = format!("version = v1\nmanifest = {manifest}\nreplicas = 1\n");
    cluster.append_edit("model chat", 0, &model).await;
    let section = "idempotent = lookup\ntimeout_ms = 5000\n";
    cluster.append_edit("service bookdesk", 0, section).await;
    let branch = format!(
        "token_digest = {}\nweight = 1\nshare_percent = 50\nburst_percent = 100\n\
         models = chat\nservices = bookdesk\n",
        Digest::of_bytes(TOKEN.as_bytes())
    );
    cluster.append_edit("branch seaside", 0, &branch).await;
    let system = TestSystem {
        cluster,
        entry,
        engine,
        service,
    };
    until("both kinds of calls are answered", 30, async || {
        let is_complete = system.generate(1).await.is_some();
        (is_complete && system.call_service().await.is_some()).then_some(())
    })
    .await;
    system
}

impl TestSystem {
    /// Requests tokens; returns their number if the answer is complete.
    async fn generate(&self, max_tokens: u32) -> Option<u32> {
        let url = format!("{}/v1/generate", self.entry);
        let body = json!({
            "branch": "seaside", "model": "chat", "prompt": "tide?", "max_tokens": max_tokens,
        });
        let answer = self
            .cluster
            .send_request(Method::POST, &url, Some(&body))
            .await
            .ok()?;
        let last = answer
            .split(|byte| *byte == b'\n')
            .rfind(|line| !line.is_empty())?;
        match serde_json::from_slice(last).ok()? {
            StreamEvent::End { tokens, .. } => Some(tokens),
            _ => None,
        }
    }

    /// Calls the service; returns its answer.
    async fn call_service(&self) -> Option<Value> {
        let url = format!("{}/v1/call", self.entry);
        let body = json!({
            "branch": "seaside", "service": "bookdesk", "path": "lookup", "body": {"hut": 1},
        });
        let answer = self
            .cluster
            .send_request(Method::POST, &url, Some(&body))
            .await
            .ok()?;
        serde_json::from_slice(&answer).ok()
    }

    /// Waits until the engine runs a stream.
    async fn wait_for_stream(&self) {
        let url = format!("http://{}/v1/state", self.engine);
        until("a stream runs", 20, async || {
            let state: Value = HttpClient::to_platform().get_json(&url, 5000).await.ok()?;
            (state["running"].as_u64()? > 0).then_some(())
        })
        .await;
    }

    /// Waits until a process ends; returns its exit code.
    async fn wait_for_exit(&mut self, name: &str) -> i32 {
        let process = self.cluster.process(name);
        until(&format!("{name} ends"), 30, async || process.exit_code()).await
    }
}

/// Signals a process during a token stream; the stream has to complete and the process to
/// exit with code 0.
async fn assert_stream_completes(name: &str, signal: &str) {
    let mut system = start_system().await;
    let (tokens, ()) = futures_util::join!(system.generate(ANSWER_TOKENS), async {
        system.wait_for_stream().await;
        send_signal(&system, name, signal);
    });
    assert_eq!(tokens, Some(ANSWER_TOKENS), "the stream was cut off");
    assert_eq!(system.wait_for_exit(name).await, 0);
}

fn send_signal(system: &TestSystem, name: &str, signal: &str) {
    let found = system
        .cluster
        .processes
        .iter()
        .find(|(known, _)| known == name);
    found.expect("the process was started").1.signal(signal);
}

fn assert_answered(answer: &Option<impl Debug>) {
    assert!(answer.is_some(), "the call was cut off");
}

#[actix_rt::test]
async fn stop_entry_term() {
    assert_stream_completes("entry-1", "TERM").await;
}

#[actix_rt::test]
async fn stop_entry_int() {
    assert_stream_completes("entry-1", "INT").await;
}

#[actix_rt::test]
async fn stop_engine_endpoint_term() {
    assert_stream_completes("engine-1", "TERM").await;
}

#[actix_rt::test]
async fn stop_engine_endpoint_int() {
    assert_stream_completes("engine-1", "INT").await;
}

#[actix_rt::test]
async fn stop_service_endpoint_term() {
    let mut system = start_system().await;
    let ledger = format!("http://{}/ledger", system.service);
    let before = executions(&ledger).await;
    let (answer, ()) = futures_util::join!(system.call_service(), async {
        until("the call runs", 20, async || {
            (executions(&ledger).await > before).then_some(())
        })
        .await;
        send_signal(&system, "desk-1", "TERM");
    });
    assert_answered(&answer);
    assert_eq!(system.wait_for_exit("desk-1").await, 0);
}

#[actix_rt::test]
async fn stop_standins() {
    let mut system = start_system().await;
    for name in [
        "log",
        "hosts",
        "origin",
        "engine-1-engine",
        "desk-1-service",
    ] {
        send_signal(&system, name, "TERM");
        assert_eq!(system.wait_for_exit(name).await, 0, "{name}");
    }
}

/// Number of executions that the service has recorded in its ledger.
async fn executions(ledger: &str) -> usize {
    let ledger: Result<Vec<Value>, _> = HttpClient::to_platform().get_json(ledger, 5000).await;
    ledger.map_or(0, |executions| executions.len())
}
