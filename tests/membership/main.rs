//! Membership across separate processes: dead, frozen and replaced hosts, and
//! outages of the platform's list.

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

/// A host that died or left gets no new work after this time.
const NO_NEW_WORK: Duration = Duration::from_secs(3);

const BRANCH: &str = "weight = 1\nshare_percent = 50\nburst_percent = 100\nmodels =\nservices =\n";

async fn three_entries() -> (Cluster, Vec<String>) {
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

/// Entries that the entry at `url` names, in ascending order.
async fn named(cluster: &Cluster, url: &str) -> Option<Vec<String>> {
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

async fn until_named(cluster: &Cluster, asked: &str, wanted: &[String]) {
    let mut wanted = wanted.to_vec();
    wanted.sort_unstable();
    until(&format!("{asked} names {wanted:?}"), 30, async || {
        (named(cluster, asked).await? == wanted).then_some(())
    })
    .await;
}

#[actix_rt::test]
async fn addresses_killed_entry_still_listed() {
    let (mut cluster, urls) = three_entries().await;
    until_named(&cluster, &urls[0], &urls).await;
    cluster.process("b").kill();
    let killed = Instant::now();
    until_named(&cluster, &urls[0], &[urls[0].clone(), urls[2].clone()]).await;
    assert!(killed.elapsed() <= NO_NEW_WORK, "{:?}", killed.elapsed());

    // The replacement at the same address is a new incarnation and joins.
    cluster.restart("entry", "b");
    until_named(&cluster, &urls[0], &urls).await;
}

#[actix_rt::test]
async fn addresses_frozen_entry() {
    let (mut cluster, urls) = three_entries().await;
    until_named(&cluster, &urls[0], &urls).await;
    cluster.process("b").signal("STOP");
    until_named(&cluster, &urls[0], &[urls[0].clone(), urls[2].clone()]).await;
    cluster.process("b").signal("CONT");
    until_named(&cluster, &urls[0], &urls).await;
}

#[actix_rt::test]
async fn addresses_list_down_then_empty() {
    let (cluster, urls) = three_entries().await;
    until_named(&cluster, &urls[1], &urls).await;
    for faults in [
        json!({"down": true}),
        json!({"empty": true}),
        json!({"halved": true}),
    ] {
        cluster.set_faults(&cluster.hosts_url(), &faults).await;
        // Long enough for several reads of the list.
        let deadline = Instant::now() + Duration::from_secs(1);
        while Instant::now() < deadline {
            let found = named(&cluster, &urls[1]).await.map(|found| found.len());
            assert_eq!(found, Some(3), "no host is forgotten during {faults}");
            actix_rt::time::sleep(Duration::from_millis(50)).await;
        }
    }
}

#[actix_rt::test]
async fn addresses_leaving_entry() {
    let (mut cluster, urls) = three_entries().await;
    until_named(&cluster, &urls[0], &urls).await;
    cluster.process("b").signal("TERM");
    let told = Instant::now();
    until_named(&cluster, &urls[0], &[urls[0].clone(), urls[2].clone()]).await;
    assert!(told.elapsed() <= NO_NEW_WORK, "{:?}", told.elapsed());
    let code = until("the entry stops", 30, async || {
        cluster.process("b").exit_code()
    })
    .await;
    assert_eq!(code, 0);
}
