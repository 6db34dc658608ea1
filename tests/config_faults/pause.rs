use std::net::UdpSocket as StdUdpSocket;
use std::time::Duration;

use actix_web::http::Method;
use serde_json::json;

use crate::api::is_ready;
use crate::api::shown;
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

/// Longer than the pause that a process notices.
const PAUSE: Duration = Duration::from_millis(6_000);

#[actix_rt::test]
async fn pause_third_of_the_entries() {
    let mut cluster = Cluster::new().await;
    let mut entries = Vec::new();
    for name in ["entry-0", "entry-1", "entry-2"] {
        entries.push(cluster.entry(name, "wa-coast", "").await);
    }
    for entry in &entries {
        until_ready(&cluster, entry).await;
    }
    cluster.process("entry-0").signal("STOP");
    // The read that waits at the log gets the first edit; the second comes after it.
    let first = cluster.edit("service desk", 0, "timeout_ms = 600").await + 1;
    until("the others have the first edit", 20, async || {
        let shown = shown(&cluster, &entries[1]).await?;
        (shown.offset >= first).then_some(())
    })
    .await;
    let revision = cluster
        .edit("service desk", first, "timeout_ms = 700")
        .await
        + 1;
    actix_rt::time::sleep(PAUSE).await;
    let slow = json!({ "delay_ms": 2000 });
    cluster.fault(&cluster.log_url(), &slow).await;
    cluster.process("entry-0").signal("CONT");
    // From its first answer on, it is either not ready or up to date.
    for _ in 0..200 {
        if is_ready(&cluster, &entries[0]).await {
            let shown = shown(&cluster, &entries[0]).await.expect("it answers");
            assert!(shown.offset >= revision, "ready and behind: {shown:?}");
        }
        actix_rt::time::sleep(Duration::from_millis(5)).await;
    }
    until_ready(&cluster, &entries[0]).await;
    until_in_force(&cluster, &entries[1], revision, 3).await;
}

#[actix_rt::test]
async fn pause_of_every_tailer() {
    let mut cluster = Cluster::new().await;
    let names = ["entry-0", "entry-1", "entry-2", "entry-3", "entry-4"];
    let mut entries = Vec::new();
    for name in names {
        entries.push(cluster.entry(name, "wa-coast", "").await);
    }
    for entry in &entries {
        until_ready(&cluster, entry).await;
    }
    // Every entry knows the others, and no read of a later rank waits at the log.
    until_in_force(&cluster, &entries[3], 0, 5).await;
    until_in_force(&cluster, &entries[4], 0, 5).await;
    let first = cluster.edit("service desk", 0, "timeout_ms = 600").await + 1;
    until_in_force(&cluster, &entries[3], first, 5).await;
    for name in &names[..3] {
        cluster.process(name).signal("STOP");
    }
    // The entries that are left read the log in their place.
    let revision = cluster
        .edit("service desk", first, "timeout_ms = 700")
        .await
        + 1;
    for entry in &entries[3..] {
        until("the entry has the edit", 20, async || {
            let shown = shown(&cluster, entry).await?;
            (shown.offset >= revision).then_some(())
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

#[actix_rt::test]
async fn bootstrap_answer_to_an_earlier_incarnation() {
    let mut cluster = Cluster::new().await;
    cluster
        .fault(&cluster.log_url(), &json!({"down": true}))
        .await;
    let entry = cluster.entry("entry-0", "wa-coast", "").await;
    // A listed entry that answers what the process before this one asked.
    let other = StdUdpSocket::bind("127.0.0.1:0").expect("a free port");
    let address = other.local_addr().expect("it is bound");
    let record = json!({
        "name": "entry-1", "address": address, "role": "entry", "region": "or-north",
        "domain": "or-north-a", "service": null, "state": "live",
    });
    let url = format!("{}/v1/hosts/entry-1", cluster.hosts_url());
    let put = cluster.call(Method::PUT, &url, Some(&record)).await;
    put.expect("the host list takes a host");
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
        other.send_to(&datagram, to).expect("it is sent");
        assert!(!is_ready(&cluster, &entry).await);
        actix_rt::time::sleep(Duration::from_millis(50)).await;
    }
}
