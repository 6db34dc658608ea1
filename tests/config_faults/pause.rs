use std::net::UdpSocket as StdUdpSocket;
use std::time::Duration;

use actix_web::http::Method;
use serde_json::json;

use crate::api::fetch_document;
use crate::api::is_ready;
use crate::api::until_in_force;
use crate::api::until_ready;
use crate::support::Cluster;
use crate::support::until;
use bergamotfork::conf::PartitionPolicy;
use bergamotfork::document::Fold;
use bergamotfork::hosts::ConfigPosition;
use bergamotfork::hosts::Datagram;
use bergamotfork::hosts::HeartbeatAnswer;
use bergamotfork::hosts::HeartbeatKey;
use bergamotfork::hosts::NameTag;
use bergamotfork::node::CUT_OFF_MS;
use bergamotfork::node::ConfigAdmission;

/// Longer than the shortest pause that a process detects.
const PAUSE: Duration = Duration::from_millis(6_000);

/// An entry that was paused must not report readiness with the configuration of before its pause.
#[actix_rt::test]
async fn pause_third_of_entries() {
    let mut cluster = Cluster::new().await;
    let mut entries = Vec::new();
    for name in ["entry-0", "entry-1", "entry-2"] {
        entries.push(cluster.start_entry(name, "wa-coast", "").await);
    }
    for entry in &entries {
        until_ready(&cluster, entry).await;
    }
    cluster.process("entry-0").signal("STOP");
    // The pending long poll of the paused entry returns the first edit but not the second.
    let first = cluster
        .append_edit("service desk", 0, "timeout_ms = 600")
        .await
        + 1;
    until("the other entries have the first edit", 20, async || {
        let answer = fetch_document(&cluster, &entries[1]).await?;
        (answer.offset >= first).then_some(())
    })
    .await;
    let revision = cluster
        .append_edit("service desk", first, "timeout_ms = 700")
        .await
        + 1;
    actix_rt::time::sleep(PAUSE).await;
    let slow_log = json!({ "delay_ms": 2000 });
    cluster.set_faults(&cluster.log_url(), &slow_log).await;
    cluster.process("entry-0").signal("CONT");
    // From its first answer on, the resumed entry is either not ready or up to date.
    for _ in 0..200 {
        if is_ready(&cluster, &entries[0]).await {
            let answer = fetch_document(&cluster, &entries[0])
                .await
                .expect("the entry answers");
            assert!(
                answer.offset >= revision,
                "ready with an old configuration: {answer:?}"
            );
        }
        actix_rt::time::sleep(Duration::from_millis(5)).await;
    }
    until_ready(&cluster, &entries[0]).await;
    until_in_force(&cluster, &entries[1], revision, 3).await;
}

/// While all entries that read the log are paused, the others must still receive edits.
#[actix_rt::test]
async fn pause_entries_that_read_log() {
    let mut cluster = Cluster::new().await;
    let names = ["entry-0", "entry-1", "entry-2", "entry-3", "entry-4"];
    let mut entries = Vec::new();
    for name in names {
        entries.push(cluster.start_entry(name, "wa-coast", "").await);
    }
    for entry in &entries {
        until_ready(&cluster, entry).await;
    }
    // Wait until every entry knows the others, so that no entry of a later rank still has a long
    // poll pending at the log.
    until_in_force(&cluster, &entries[3], 0, 5).await;
    until_in_force(&cluster, &entries[4], 0, 5).await;
    let first = cluster
        .append_edit("service desk", 0, "timeout_ms = 600")
        .await
        + 1;
    until_in_force(&cluster, &entries[3], first, 5).await;
    for name in &names[..3] {
        cluster.process(name).signal("STOP");
    }
    // The running entries read the log in place of the paused ones.
    let revision = cluster
        .append_edit("service desk", first, "timeout_ms = 700")
        .await
        + 1;
    for entry in &entries[3..] {
        until("the entry has the edit", 20, async || {
            let answer = fetch_document(&cluster, entry).await?;
            (answer.offset >= revision).then_some(())
        })
        .await;
    }
    for name in &names[..3] {
        cluster.process(name).signal("CONT");
    }
    until_in_force(&cluster, &entries[3], revision, 5).await;
}

#[test]
fn admission_cut_off_policy() {
    let decide = |age_ms, policy| ConfigAdmission::decide(true, age_ms, policy);
    let serve = PartitionPolicy::Serve;
    let refuse = PartitionPolicy::Refuse;
    assert_eq!(decide(CUT_OFF_MS - 1, refuse), ConfigAdmission::Confirmed);
    assert_eq!(decide(CUT_OFF_MS, serve), ConfigAdmission::CutOffServing);
    assert_eq!(decide(CUT_OFF_MS, refuse), ConfigAdmission::CutOffRefusing);
    assert!(!decide(CUT_OFF_MS, refuse).admits() && decide(CUT_OFF_MS, serve).admits());
    let unconfirmed = ConfigAdmission::decide(false, 0, serve);
    assert_eq!(unconfirmed, ConfigAdmission::Unconfirmed);
}

/// A starting entry must not take its configuration as confirmed from an answer that was meant for
/// an earlier incarnation of it.
#[actix_rt::test]
async fn bootstrap_answer_to_earlier_incarnation() {
    let mut cluster = Cluster::new().await;
    cluster
        .set_faults(&cluster.log_url(), &json!({"down": true}))
        .await;
    let entry = cluster.start_entry("entry-0", "wa-coast", "").await;
    // A listed entry whose answers are addressed to an earlier incarnation of the entry.
    let other = StdUdpSocket::bind("127.0.0.1:0").expect("a free port");
    let address = other.local_addr().expect("the socket is bound");
    let record = json!({
        "name": "entry-1", "address": address, "role": "entry", "region": "or-north",
        "domain": "or-north-a", "service": null, "state": "live",
    });
    let url = format!("{}/v1/hosts/entry-1", cluster.hosts_url());
    let added = cluster.send_request(Method::PUT, &url, Some(&record)).await;
    added.expect("the host list accepts the host");
    let answer = HeartbeatAnswer {
        name: NameTag::of_name("entry-1"),
        to: 1,
        asked_ms: 1_000,
        wants_report: false,
        config: ConfigPosition {
            offset: 0,
            digest: Fold::new().digest(),
        },
        is_voter: true,
        confirmed_age_ms: Some(0),
    };
    let key = HeartbeatKey::derive(Cluster::SHARED_KEY);
    let datagram = Datagram::Answer(answer).seal(&key);
    let to = entry.strip_prefix("http://").expect("a URL");
    until_in_force(&cluster, &entry, 0, 2).await;
    for _ in 0..40 {
        other.send_to(&datagram, to).expect("the datagram is sent");
        assert!(!is_ready(&cluster, &entry).await);
        actix_rt::time::sleep(Duration::from_millis(50)).await;
    }
}
