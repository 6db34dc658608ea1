use serde_json::json;

use crate::api::ReportedOutcome;
use crate::api::fetch_document;
use crate::api::is_ready;
use crate::api::put;
use crate::api::put_until_known;
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

/// Sends an edit that must be accepted and returns its revision.
async fn put_accepted(cluster: &Cluster, entry: &str, edit_id: &str, base: u64) -> u64 {
    let body = format!("timeout_ms = {}", base + 1);
    let reported = put_until_known(cluster, entry, "service desk", (edit_id, base, &body)).await;
    let ReportedOutcome::Accepted { revision } = reported else {
        panic!("there is no other editor: {reported:?}");
    };
    revision
}

/// Kills an entry and starts it again with its settings as its only state.
fn replace_entry(cluster: &mut Cluster, name: &str) {
    cluster.process(name).kill();
    cluster.restart("entry", name);
}

#[actix_rt::test]
async fn outage_hosts_replaced_one_by_one() {
    let (mut cluster, entries) = start().await;
    let endpoint = cluster
        .start_service("desk-1", "or-north", "bookdesk", &[])
        .await;
    let endpoint = format!("http://{endpoint}");
    until_ready(&cluster, &endpoint).await;
    let first = put_accepted(&cluster, &entries[0], "a", 0).await;
    let revision = put_accepted(&cluster, &entries[1], "b", first).await;
    until_in_force(&cluster, &entries[0], revision, 4).await;
    cluster
        .set_faults(&cluster.log_url(), &json!({"down": true}))
        .await;
    for (entry, (name, _)) in entries.iter().zip(ENTRIES) {
        replace_entry(&mut cluster, name);
        until_ready(&cluster, entry).await;
        let answer = fetch_document(&cluster, entry)
            .await
            .expect("the entry answers");
        assert_eq!(
            answer.offset, revision,
            "{name} restarted with an old configuration"
        );
    }
    cluster.process("desk-1").kill();
    cluster.restart("endpoint", "desk-1");
    until_ready(&cluster, &endpoint).await;
    until_in_force(&cluster, &entries[2], revision, 4).await;
}

#[actix_rt::test]
async fn outage_majority_replaced_at_once() {
    let (mut cluster, entries) = start().await;
    let revision = put_accepted(&cluster, &entries[0], "a", 0).await;
    until_in_force(&cluster, &entries[0], revision, 3).await;
    cluster
        .set_faults(&cluster.log_url(), &json!({"down": true}))
        .await;
    // Both are gone before either starts: an old one still running would confirm the
    // document together with the remaining entry.
    for name in ["entry-0", "entry-1"] {
        cluster.process(name).kill();
    }
    for name in ["entry-0", "entry-1"] {
        cluster.restart("entry", name);
    }
    // The replaced entries get the document from the remaining one, but it stays unconfirmed and
    // they do not become ready.
    for entry in &entries[..2] {
        let unconfirmed = until(
            "the entry gets the document from its peer",
            20,
            async || {
                let answer = fetch_document(&cluster, entry).await?;
                (answer.offset == revision).then_some(answer)
            },
        );
        assert_eq!(unconfirmed.await.admission, "unconfirmed");
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
async fn outage_single_entry_serves_last_configuration() {
    let mut cluster = Cluster::new().await;
    let entry = cluster.start_entry("entry-0", "wa-coast", "").await;
    until_ready(&cluster, &entry).await;
    cluster
        .set_faults(&cluster.log_url(), &json!({"down": true}))
        .await;
    assert!(is_ready(&cluster, &entry).await);
    let reported = put(&cluster, &entry, "service desk", ("a", 0, "timeout_ms = 1"));
    assert_eq!(reported.await, ReportedOutcome::Unknown, "the log is down");
}
