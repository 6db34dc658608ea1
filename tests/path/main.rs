//! The complete path across separate processes: weights are published, transferred and loaded,
//! then a generate request and a service call are answered.

#[path = "../support/mod.rs"]
mod support;

use actix_web::http::Method;
use serde_json::Value;
use serde_json::json;

use bergamotfork::clients::StreamEvent;
use bergamotfork::weights::Digest;
use support::Cluster;
use support::TOKEN;
use support::until;

const MODEL_BYTES: u64 = 1 << 20;

/// Text of token `index` that every engine stand-in computes for a prompt and seed, where
/// `weights` is the digest of the complete weights.
fn expected_token(weights: Digest, prompt: &str, seed: u64, index: u32) -> String {
    let text = format!("{weights}{prompt}{seed}{index}");
    Digest::of_bytes(text.as_bytes()).to_string()[..8].to_owned()
}

/// Parses a stream of one event a line.
fn parse_events(body: &[u8]) -> Vec<StreamEvent> {
    body.split(|byte| *byte == b'\n')
        .filter(|line| !line.is_empty())
        .map(|line| serde_json::from_slice(line).expect("a line is an event"))
        .collect()
}

#[actix_rt::test]
async fn path_generate_and_call() {
    let mut cluster = Cluster::new().await;
    let entry = cluster.start_entry("entry-1", "or-north", "").await;
    let endpoint = cluster.start_engine("engine-1", "or-north", &[]).await;
    cluster.start_engine("engine-2", "wa-coast", &[]).await;
    cluster
        .start_service("desk-1", "or-north", "bookdesk", &[])
        .await;
    let manifest = cluster.publish("chat", "v1", MODEL_BYTES).await;
    let model = format!("version = v1\nmanifest = {manifest}\nreplicas = 2\n");
    cluster.append_edit("model chat", 0, &model).await;
    let digest = Digest::of_bytes(TOKEN.as_bytes());
    let branch = format!(
        "token_digest = {digest}\nweight = 1\nshare_percent = 50\nburst_percent = 100\n\
         models = chat\nservices = bookdesk\n"
    );
    cluster.append_edit("branch seaside", 0, &branch).await;
    cluster
        .append_edit(
            "service bookdesk",
            0,
            "idempotent = lookup\ntimeout_ms = 5000\n",
        )
        .await;

    let url = format!("{entry}/v1/addresses?branch=seaside&service=bookdesk");
    let addresses = until("the entry gives addresses and permits", 30, async || {
        let body = cluster.send_request(Method::GET, &url, None).await.ok()?;
        let answer: Value = serde_json::from_slice(&body).ok()?;
        (!answer["permits"].as_array()?.is_empty()).then_some(answer)
    })
    .await;
    let chosen = addresses["entries"][0]["url"].as_str().expect("an address");
    assert_eq!(chosen, entry);

    let url = format!("{chosen}/v1/generate");
    let request = json!({
        "branch": "seaside", "model": "chat", "prompt": "tide rules?", "max_tokens": 5, "seed": 3,
    });
    let body = until("a replica answers", 30, async || {
        cluster
            .send_request(Method::POST, &url, Some(&request))
            .await
            .ok()
    })
    .await;
    let events = parse_events(&body);
    let Some(StreamEvent::End {
        tokens,
        manifest: answered,
        whole,
        ..
    }) = events.last()
    else {
        panic!("the stream has no end record: {events:?}");
    };
    assert_eq!(*tokens, 5);
    assert_eq!(answered.to_string(), manifest);
    let texts: Vec<&String> = events
        .iter()
        .filter_map(|event| match event {
            StreamEvent::Token { text, .. } => Some(text),
            _ => None,
        })
        .collect();
    let expected: Vec<String> = (0..5)
        .map(|index| expected_token(*whole, "tide rules?", 3, index))
        .collect();
    assert_eq!(texts, expected.iter().collect::<Vec<_>>());

    let url = format!("{chosen}/v1/call");
    let request = json!({
        "branch": "seaside", "service": "bookdesk", "path": "lookup", "body": {"hut": 12},
    });
    let body = cluster
        .send_request(Method::POST, &url, Some(&request))
        .await
        .expect("the service answers");
    let answer: Value = serde_json::from_slice(&body).expect("the answer is JSON");
    assert!(answer.to_string().contains("\"hut\":12"), "{answer}");
    drop(endpoint);
}
