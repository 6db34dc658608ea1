//! Membership across separate processes: failed, frozen and replaced hosts, and
//! outages of the platform's host list.

#[path = "../support/mod.rs"]
mod support;

use std::time::Duration;
use std::time::Instant;

use actix_web::http::Method;
use serde_json::Value;
use serde_json::json;

use bergamotfork::weights::Digest;
use support::Cluster;
use support::TOKEN;
use support::until;

/// Time within which a failed or leaving host must stop receiving new requests.
const NO_NEW_WORK_LIMIT: Duration = Duration::from_secs(3);

/// Section of the branch without its token digest.
const BRANCH: &str = "weight = 1\nshare_percent = 50\nburst_percent = 100\nmodels =\nservices =\n";

async fn start_three_entries() -> (Cluster, Vec<String>) {
    let mut cluster = Cluster::new().await;
    let mut urls = Vec::new();
    for (name, region) in [("a", "wa-coast"), ("b", "or-north"), ("c", "or-south")] {
        urls.push(cluster.start_entry(name, region, "").await);
    }
    let digest = Digest::of_bytes(TOKEN.as_bytes());
    cluster
        .append_edit(
            "branch seaside",
            0,
            &format!("token_digest = {digest}\n{BRANCH}"),
        )
        .await;
    (cluster, urls)
}

/// URLs of the entries that the entry at `url` lists, in ascending order.
async fn listed_entries(cluster: &Cluster, url: &str) -> Option<Vec<String>> {
    let url = format!("{url}/v1/addresses?branch=seaside");
    let body = cluster.send_request(Method::GET, &url, None).await.ok()?;
    let answer: Value = serde_json::from_slice(&body).ok()?;
    let entries = answer["entries"].as_array()?.iter();
    let mut urls: Vec<String> = entries
        .filter_map(|entry| Some(entry["url"].as_str()?.to_owned()))
        .collect();
    urls.sort_unstable();
    Some(urls)
}

/// Waits until the entry at `lister` lists exactly the entries `wanted`.
async fn until_listed(cluster: &Cluster, lister: &str, wanted: &[String]) {
    let mut wanted = wanted.to_vec();
    wanted.sort_unstable();
    until(&format!("{lister} lists {wanted:?}"), 30, async || {
        (listed_entries(cluster, lister).await? == wanted).then_some(())
    })
    .await;
}

#[actix_rt::test]
async fn addresses_killed_entry() {
    let (mut cluster, urls) = start_three_entries().await;
    until_listed(&cluster, &urls[0], &urls).await;
    cluster.process("b").kill();
    let killed = Instant::now();
    until_listed(&cluster, &urls[0], &[urls[0].clone(), urls[2].clone()]).await;
    assert!(
        killed.elapsed() <= NO_NEW_WORK_LIMIT,
        "{:?}",
        killed.elapsed()
    );

    // The replacement at the same address is a new incarnation and is listed again.
    cluster.restart("entry", "b");
    until_listed(&cluster, &urls[0], &urls).await;
}

#[actix_rt::test]
async fn addresses_frozen_entry() {
    let (mut cluster, urls) = start_three_entries().await;
    until_listed(&cluster, &urls[0], &urls).await;
    cluster.process("b").signal("STOP");
    until_listed(&cluster, &urls[0], &[urls[0].clone(), urls[2].clone()]).await;
    cluster.process("b").signal("CONT");
    until_listed(&cluster, &urls[0], &urls).await;
}

#[actix_rt::test]
async fn addresses_host_list_faults() {
    let (cluster, urls) = start_three_entries().await;
    until_listed(&cluster, &urls[1], &urls).await;
    for faults in [
        json!({"down": true}),
        json!({"empty": true}),
        json!({"halved": true}),
    ] {
        cluster.set_faults(&cluster.hosts_url(), &faults).await;
        // Long enough for several polls of the host list.
        let deadline = Instant::now() + Duration::from_secs(1);
        while Instant::now() < deadline {
            let entry_count = listed_entries(&cluster, &urls[1])
                .await
                .map(|urls| urls.len());
            assert_eq!(entry_count, Some(3), "no entry is removed during {faults}");
            actix_rt::time::sleep(Duration::from_millis(50)).await;
        }
    }
}

#[actix_rt::test]
async fn addresses_leaving_entry() {
    let (mut cluster, urls) = start_three_entries().await;
    until_listed(&cluster, &urls[0], &urls).await;
    cluster.process("b").signal("TERM");
    let signalled = Instant::now();
    until_listed(&cluster, &urls[0], &[urls[0].clone(), urls[2].clone()]).await;
    assert!(
        signalled.elapsed() <= NO_NEW_WORK_LIMIT,
        "{:?}",
        signalled.elapsed()
    );
    let code = until("the entry stops", 30, async || {
        cluster.process("b").exit_code()
    })
    .await;
    assert_eq!(code, 0);
}
