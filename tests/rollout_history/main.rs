//! Rollouts forwards and back under load: every answer is made with one version.

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

const CALLERS: usize = 4;

const TOKENS: u32 = 12;

const SEED: u64 = 11;

/// One answer as its caller received it.
struct Answer {
    prompt: String,
    result: Result<Bytes, LinkError>,
}

fn events(body: &[u8]) -> Vec<StreamEvent> {
    body.split(|byte| *byte == b'\n')
        .filter(|line| !line.is_empty())
        .map(|line| serde_json::from_slice(line).expect("a line is an event"))
        .collect()
}

/// Manifest an answer was made with; panics unless all of it is of one version.
fn check(answer: &Answer) -> String {
    let body = answer
        .result
        .as_ref()
        .expect("live requests keep their answers");
    let events = events(body);
    let Some(StreamEvent::End {
        tokens,
        manifest,
        whole,
        ..
    }) = events.last()
    else {
        panic!("no end record: {events:?}");
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
    assert_eq!(texts, expected, "an answer of mixed weights");
    manifest.to_string()
}

async fn ask(cluster: &Cluster, entry: &str, prompt: String) -> Answer {
    let request = json!({
        "branch": "seaside", "model": "chat", "prompt": prompt, "max_tokens": TOKENS, "seed": SEED,
    });
    let url = format!("{entry}/v1/generate");
    let result = cluster
        .send_request(Method::POST, &url, Some(&request))
        .await;
    Answer { prompt, result }
}

/// Digests of the versions that are serving somewhere, as the entry sees it.
async fn serving(cluster: &Cluster, entry: &str, manifest: &str) -> Option<usize> {
    let url = format!("{entry}/v1/status");
    let body = cluster.send_request(Method::GET, &url, None).await.ok()?;
    let status: Value = serde_json::from_slice(&body).ok()?;
    Some(count(&status, manifest))
}

/// Objects below `value` that say that `manifest` is serving.
fn count(value: &Value, manifest: &str) -> usize {
    match value {
        Value::Array(items) => items.iter().map(|item| count(item, manifest)).sum(),
        Value::Object(fields) => {
            let says =
                |key: &str, text: &str| fields.get(key).and_then(Value::as_str) == Some(text);
            let own = usize::from(says("manifest", manifest) && says("progress", "serving"));
            own + fields
                .values()
                .map(|field| count(field, manifest))
                .sum::<usize>()
        }
        _ => 0,
    }
}

#[actix_rt::test]
async fn rollout_forwards_and_back_under_load() {
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
        (serving(&cluster, &entry, &first).await? == 3).then_some(())
    })
    .await;

    let cluster = Arc::new(cluster);
    let ended = Arc::new(AtomicBool::new(false));
    let callers: Vec<_> = (0..CALLERS)
        .map(|caller| {
            let cluster = Arc::clone(&cluster);
            let ended = Arc::clone(&ended);
            let entry = entry.clone();
            actix_rt::spawn(async move {
                let mut answers = Vec::new();
                while !ended.load(Ordering::Acquire) {
                    let prompt = format!("{caller} asks {}", answers.len());
                    answers.push(ask(&cluster, &entry, prompt).await);
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
            (serving(&cluster, &entry, manifest).await? == 3).then_some(())
        })
        .await;
    }
    ended.store(true, Ordering::Release);
    let mut made_with = [0, 0];
    for caller in callers {
        for answer in caller.await.expect("a caller ends") {
            let manifest = check(&answer);
            made_with[usize::from(manifest == second)] += 1;
        }
    }
    println!("answers made with v1 and v2: {made_with:?}");
    assert!(made_with.iter().all(|count| *count > 0), "{made_with:?}");
}

#[test]
#[should_panic(expected = "an answer of mixed weights")]
fn check_finds_mixed_weights() {
    let wholes = [Digest::of_bytes(b"v1"), Digest::of_bytes(b"v2")];
    let mut body = Vec::new();
    for index in 0..TOKENS {
        let whole = &wholes[usize::from(index >= TOKENS / 2)];
        let text = token_text(whole, "mixed", SEED, index);
        body.extend(StreamEvent::Token { index, text }.to_line());
    }
    let end = StreamEvent::End {
        request_id: "1".to_owned(),
        tokens: TOKENS,
        manifest: wholes[1],
        whole: wholes[1],
    };
    body.extend(end.to_line());
    check(&Answer {
        prompt: "mixed".to_owned(),
        result: Ok(Bytes::from(body)),
    });
}
