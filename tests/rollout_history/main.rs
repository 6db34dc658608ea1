//! Rollout of a new version and back under load: each answer is made with one version only.

mod command;
#[path = "../support/mod.rs"]
mod support;

use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;

use actix_web::http::Method;
use bytes::Bytes;
use serde_json::Value;
use serde_json::json;

use bergamotfork::clients::StreamEvent;
use bergamotfork::links::LinkError;
use bergamotfork::standin::engine::token_text;
use bergamotfork::weights::Digest;
use support::Cluster;
use support::TOKEN;
use support::until;

/// Number of concurrent clients.
const CLIENTS: usize = 4;

/// Length of each answer, in tokens.
const TOKENS: u32 = 12;

/// Seed of every request.
const SEED: u64 = 11;

/// Response to one request, as its client received it.
struct Answer {
    prompt: String,
    result: Result<Bytes, LinkError>,
}

/// Decodes a body with one event a line.
fn events(body: &[u8]) -> Vec<StreamEvent> {
    body.split(|byte| *byte == b'\n')
        .filter(|line| !line.is_empty())
        .map(|line| serde_json::from_slice(line).expect("a line is an event"))
        .collect()
}

/// Returns the manifest that an answer was made with.
///
/// Panics unless the answer is complete and all its tokens are of that version.
fn check_answer(answer: &Answer) -> String {
    let body = answer.result.as_ref().expect("every request is answered");
    let events = events(body);
    let Some(StreamEvent::End {
        tokens,
        manifest,
        whole,
        ..
    }) = events.last()
    else {
        panic!("no end event: {events:?}");
    };
    assert_eq!(*tokens, TOKENS);
    let texts: Vec<(u32, String)> = events
        .iter()
        .filter_map(|event| match event {
            StreamEvent::Token { index, text } => Some((*index, text.clone())),
            _ => None,
        })
        .collect();
    let expected: Vec<(u32, String)> = (0..TOKENS)
        .map(|index| (index, token_text(whole, &answer.prompt, SEED, index)))
        .collect();
    assert_eq!(texts, expected, "the answer mixes versions");
    manifest.to_string()
}

/// Sends a generate request to an entry.
async fn generate(cluster: &Cluster, entry: &str, prompt: String) -> Answer {
    let request = json!({
        "branch": "seaside", "model": "chat", "prompt": prompt, "max_tokens": TOKENS, "seed": SEED,
    });
    let url = format!("{entry}/v1/generate");
    let result = cluster
        .send_request(Method::POST, &url, Some(&request))
        .await;
    Answer { prompt, result }
}

/// Number of replicas that serve `manifest`, from the status of an entry; `None` if the
/// status can't be read.
async fn serving_count(cluster: &Cluster, entry: &str, manifest: &str) -> Option<usize> {
    let url = format!("{entry}/v1/status");
    let body = cluster.send_request(Method::GET, &url, None).await.ok()?;
    let status: Value = serde_json::from_slice(&body).ok()?;
    Some(count_serving(&status, manifest))
}

/// Number of JSON objects in `value` that report `manifest` as serving.
fn count_serving(value: &Value, manifest: &str) -> usize {
    match value {
        Value::Array(items) => items.iter().map(|item| count_serving(item, manifest)).sum(),
        Value::Object(fields) => {
            let has_field =
                |key: &str, text: &str| fields.get(key).and_then(Value::as_str) == Some(text);
            let own =
                usize::from(has_field("manifest", manifest) && has_field("progress", "serving"));
            own + fields
                .values()
                .map(|field| count_serving(field, manifest))
                .sum::<usize>()
        }
        _ => 0,
    }
}

#[actix_rt::test]
async fn rollout_and_rollback_under_load() {
    let mut cluster = Cluster::new().await;
    let entry = cluster.start_entry("entry-1", "or-north", "").await;
    let pace = ["--first-token-ms", "5", "--token-ms", "5"];
    for number in 0..3 {
        cluster
            .start_engine(&format!("engine-{number}"), "or-north", &pace)
            .await;
    }
    let first = cluster.publish("chat", "v1", 1 << 18).await;
    let second = cluster.publish("chat", "v2", (1 << 18) + 5).await;
    let model = |version: &str, manifest: &str| {
        format!("version = {version}\nmanifest = {manifest}\nreplicas = 3\nstep_replicas = 1\n")
    };
    let mut offset = cluster
        .append_edit("model chat", 0, &model("v1", &first))
        .await;
    let digest = Digest::of_bytes(TOKEN.as_bytes());
    let branch = format!("token_digest = {digest}\nshare_percent = 50\nmodels = chat\n");
    cluster.append_edit("branch seaside", 0, &branch).await;
    until("all replicas serve v1", 60, async || {
        (serving_count(&cluster, &entry, &first).await? == 3).then_some(())
    })
    .await;

    let cluster = Arc::new(cluster);
    let stopped = Arc::new(AtomicBool::new(false));
    let clients: Vec<_> = (0..CLIENTS)
        .map(|client| {
            let cluster = Arc::clone(&cluster);
            let stopped = Arc::clone(&stopped);
            let entry = entry.clone();
            actix_rt::spawn(async move {
                let mut answers = Vec::new();
                while !stopped.load(Ordering::Acquire) {
                    let prompt = format!("{client} asks {}", answers.len());
                    answers.push(generate(&cluster, &entry, prompt).await);
                }
                answers
            })
        })
        .collect();
    for (version, manifest) in [("v2", &second), ("v1", &first)] {
        offset = cluster
            .append_edit("model chat", offset + 1, &model(version, manifest))
            .await;
        until(&format!("all replicas serve {version}"), 90, async || {
            (serving_count(&cluster, &entry, manifest).await? == 3).then_some(())
        })
        .await;
    }
    stopped.store(true, Ordering::Release);
    let mut answer_counts = [0, 0];
    for client in clients {
        for answer in client.await.expect("a client task ends") {
            let manifest = check_answer(&answer);
            answer_counts[usize::from(manifest == second)] += 1;
        }
    }
    println!("answers made with v1 and v2: {answer_counts:?}");
    assert!(
        answer_counts.iter().all(|count| *count > 0),
        "{answer_counts:?}"
    );
}

#[test]
#[should_panic(expected = "the answer mixes versions")]
fn check_answer_mixed_versions() {
    let content_digests = [Digest::of_bytes(b"v1"), Digest::of_bytes(b"v2")];
    let mut body = Vec::new();
    for index in 0..TOKENS {
        let whole = &content_digests[usize::from(index >= TOKENS / 2)];
        let text = token_text(whole, "mixed", SEED, index);
        body.extend(StreamEvent::Token { index, text }.to_line());
    }
    let end = StreamEvent::End {
        request_id: "1".to_owned(),
        tokens: TOKENS,
        manifest: content_digests[1],
        whole: content_digests[1],
    };
    body.extend(end.to_line());
    check_answer(&Answer {
        prompt: "mixed".to_owned(),
        result: Ok(Bytes::from(body)),
    });
}
