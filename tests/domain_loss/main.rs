//! Loss of a failure domain under load, with separate processes.

#[path = "../support/mod.rs"]
mod support;

use std::time::Duration;
use std::time::Instant;

use actix_web::http::Method;
use serde_json::Value;
use serde_json::json;

use bergamotfork::clients::StreamEvent;
use bergamotfork::weights::Digest;
use support::Cluster;
use support::TOKEN;
use support::until;

/// Regions of the cluster; the processes of the first one are killed.
const REGIONS: [&str; 2] = ["wa-coast", "or-north"];

/// Time within which failed hosts must stop receiving new requests.
const NO_NEW_WORK_LIMIT: Duration = Duration::from_secs(3);

/// Time for which requests are sent after the loss.
const LOAD_AFTER_LOSS: Duration = Duration::from_secs(6);

/// Pause between two requests.
const REQUEST_PAUSE: Duration = Duration::from_millis(50);

/// A generate request and whether its answer was complete.
struct SentRequest {
    sent_at: Instant,
    is_complete: bool,
}

async fn start() -> (Cluster, Vec<String>) {
    let mut cluster = Cluster::new().await;
    let mut entries = Vec::new();
    for region in REGIONS {
        entries.push(
            cluster
                .start_entry(&format!("entry-{region}"), region, "")
                .await,
        );
        for number in 0..2 {
            let name = format!("engine-{region}-{number}");
            cluster.start_engine(&name, region, &[]).await;
        }
    }
    let manifest = cluster.publish("chat", "v1", 1 << 18).await;
    let model = format!("version = v1\nmanifest = {manifest}\nreplicas = 4\n");
    cluster.append_edit("model chat", 0, &model).await;
    let digest = Digest::of_bytes(TOKEN.as_bytes());
    let branch = format!(
        "token_digest = {digest}\nweight = 1\nshare_percent = 50\nburst_percent = 100\n\
         models = chat\nservices =\n"
    );
    cluster.append_edit("branch seaside", 0, &branch).await;
    (cluster, entries)
}

/// Number of replicas that the entry at `url` reports as serving.
async fn count_serving(cluster: &Cluster, url: &str) -> Option<usize> {
    let url = format!("{url}/v1/status");
    let body = cluster.send_request(Method::GET, &url, None).await.ok()?;
    let status = String::from_utf8(body.to_vec()).ok()?;
    Some(status.matches("\"progress\":\"serving\"").count())
}

/// Sends one generate request through the entry at `url` and reads its stream to the end.
async fn send_generate(cluster: &Cluster, url: &str, number: usize) -> SentRequest {
    let sent_at = Instant::now();
    let request = json!({
        "branch": "seaside", "model": "chat", "prompt": format!("hut {number}?"), "max_tokens": 3,
    });
    let url = format!("{url}/v1/generate");
    let body = cluster
        .send_request(Method::POST, &url, Some(&request))
        .await;
    let last = body.ok().and_then(|body| {
        let line = body
            .split(|byte| *byte == b'\n')
            .rfind(|line| !line.is_empty())?;
        serde_json::from_slice::<Value>(line).ok()
    });
    let is_complete = last.is_some_and(|last| {
        matches!(
            serde_json::from_value(last),
            Ok(StreamEvent::End { tokens: 3, .. })
        )
    });
    SentRequest {
        sent_at,
        is_complete,
    }
}

#[actix_rt::test]
async fn domain_lost_under_load() {
    let (mut cluster, entries) = start().await;
    until("all replicas serve", 60, async || {
        (count_serving(&cluster, &entries[1]).await? == 4).then_some(())
    })
    .await;
    for number in 0..20 {
        assert!(
            send_generate(&cluster, &entries[1], number)
                .await
                .is_complete,
            "before the loss"
        );
    }
    let lost = format!("-{}", REGIONS[0]);
    for (_, process) in cluster
        .processes
        .iter_mut()
        .filter(|(name, _)| name.contains(&lost))
    {
        process.kill();
    }
    let killed = Instant::now();
    let mut sent = Vec::new();
    while killed.elapsed() < LOAD_AFTER_LOSS {
        sent.push(send_generate(&cluster, &entries[1], sent.len()).await);
        actix_rt::time::sleep(REQUEST_PAUSE).await;
    }
    let failed: Vec<Duration> = sent
        .iter()
        .filter(|sent| !sent.is_complete)
        .map(|sent| sent.sent_at - killed)
        .collect();
    println!("{} of {} failed, at {failed:?}", failed.len(), sent.len());
    assert!(
        failed.iter().all(|after| *after <= NO_NEW_WORK_LIMIT),
        "requests failed late: {failed:?}"
    );
}
