use serde_json::json;

use crate::api::Told;
use crate::api::is_ready;
use crate::api::put;
use crate::api::put_until_told;
use crate::api::shown;
use crate::api::until_in_force;
use crate::api::until_ready;
use crate::support::Cluster;
use crate::support::until;

const ENTRIES: [(&str, &str); 3] = [
    ("entry-0", "wa-coast"),
    ("entry-1", "or-north"),
    ("entry-2", "or-south"),
];

async fn start() -> (Cluster, Vec<String>) {
    let mut cluster = Cluster::new().await;
    let mut entries = Vec::new();
    for (name, region) in ENTRIES {
        entries.push(cluster.start_entry(name, region, "").await);
    }
    for entry in &entries {
        until_ready(&cluster, entry).await;
    }
    (cluster, entries)
}

async fn accepted(cluster: &Cluster, entry: &str, edit_id: &str, base: u64) -> u64 {
    let body = format!("timeout_ms = {}", base + 1);
    let told = put_until_told(cluster, entry, "service desk", (edit_id, base, &body)).await;
    let Told::Accepted { revision } = told else {
        panic!("nobody else edits: {told:?}");
    };
    revision
}

/// Kills the entry and starts it again with nothing but its settings.
fn replace(cluster: &mut Cluster, name: &str) {
    cluster.process(name).kill();
    cluster.restart("entry", name);
}

#[actix_rt::test]
async fn outage_every_host_replaced_in_turn() {
    let (mut cluster, entries) = start().await;
    let endpoint = cluster
        .start_service("desk-1", "or-north", "bookdesk", &[])
        .await;
    let endpoint = format!("http://{endpoint}");
    until_ready(&cluster, &endpoint).await;
    let first = accepted(&cluster, &entries[0], "a", 0).await;
    let revision = accepted(&cluster, &entries[1], "b", first).await;
    until_in_force(&cluster, &entries[0], revision, 4).await;
    cluster
        .set_faults(&cluster.log_url(), &json!({"down": true}))
        .await;
    for (entry, (name, _)) in entries.iter().zip(ENTRIES) {
        replace(&mut cluster, name);
        until_ready(&cluster, entry).await;
        let shown = shown(&cluster, entry).await.expect("it answers");
        assert_eq!(shown.offset, revision, "{name} came back behind");
    }
    cluster.process("desk-1").kill();
    cluster.restart("endpoint", "desk-1");
    until_ready(&cluster, &endpoint).await;
    until_in_force(&cluster, &entries[2], revision, 4).await;
}

#[actix_rt::test]
async fn outage_majority_replaced_at_once() {
    let (mut cluster, entries) = start().await;
    let revision = accepted(&cluster, &entries[0], "a", 0).await;
    until_in_force(&cluster, &entries[0], revision, 3).await;
    cluster
        .set_faults(&cluster.log_url(), &json!({"down": true}))
        .await;
    replace(&mut cluster, "entry-0");
    replace(&mut cluster, "entry-1");
    // They learn the document from the one that is left, but may not rely on it.
    for entry in &entries[..2] {
        let learnt = until("it learns from its peer", 20, async || {
            let shown = shown(&cluster, entry).await?;
            (shown.offset == revision).then_some(shown)
        });
        assert_eq!(learnt.await.admission, "unconfirmed");
        assert!(!is_ready(&cluster, entry).await);
    }
    cluster
        .set_faults(&cluster.log_url(), &json!({"down": false}))
        .await;
    for entry in &entries {
        until_ready(&cluster, entry).await;
    }
}

#[actix_rt::test]
async fn outage_alone_serves_last_configuration() {
    let mut cluster = Cluster::new().await;
    let entry = cluster.start_entry("entry-0", "wa-coast", "").await;
    until_ready(&cluster, &entry).await;
    cluster
        .set_faults(&cluster.log_url(), &json!({"down": true}))
        .await;
    assert!(is_ready(&cluster, &entry).await);
    let told = put(&cluster, &entry, "service desk", ("a", 0, "timeout_ms = 1"));
    assert_eq!(told.await, Told::Unknown, "the log is down");
}
