use std::time::Duration;

use crate::api::Told;
use crate::api::is_ready;
use crate::api::put_until_told;
use crate::api::shown;
use crate::api::until_in_force;
use crate::api::until_ready;
use crate::support::Cluster;
use crate::support::until;
use bergamotfork::conf::PartitionPolicy;
use bergamotfork::node::Admission;
use bergamotfork::node::CUT_OFF_MS;

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
    let edit = ("a", 0, "timeout_ms = 700");
    let told = put_until_told(&cluster, &entries[1], "service desk", edit).await;
    let Told::Accepted { revision } = told else {
        panic!("nobody else edits: {told:?}");
    };
    actix_rt::time::sleep(PAUSE).await;
    cluster.process("entry-0").signal("CONT");
    // From its first answer on, it is either not ready or up to date.
    for _ in 0..40 {
        if is_ready(&cluster, &entries[0]).await {
            let shown = shown(&cluster, &entries[0]).await.expect("it answers");
            assert!(shown.offset >= revision, "ready and behind: {shown:?}");
        }
        actix_rt::time::sleep(Duration::from_millis(25)).await;
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
    for name in &names[..3] {
        cluster.process(name).signal("STOP");
    }
    // The entries that are left read the log in their place.
    let edit = ("a", 0, "timeout_ms = 700");
    let told = put_until_told(&cluster, &entries[3], "service desk", edit).await;
    let Told::Accepted { revision } = told else {
        panic!("nobody else edits: {told:?}");
    };
    until("the other entry has the edit", 20, async || {
        let shown = shown(&cluster, &entries[4]).await?;
        (shown.offset >= revision).then_some(())
    })
    .await;
    for name in &names[..3] {
        cluster.process(name).signal("CONT");
    }
    until_in_force(&cluster, &entries[3], revision, 5).await;
}

#[test]
fn admission_cut_off_policy() {
    let decide = |age_ms, policy| Admission::decide(true, age_ms, policy);
    let serve = PartitionPolicy::Serve;
    let refuse = PartitionPolicy::Refuse;
    assert_eq!(decide(CUT_OFF_MS - 1, refuse), Admission::Confirmed);
    assert_eq!(decide(CUT_OFF_MS, serve), Admission::CutOffServing);
    assert_eq!(decide(CUT_OFF_MS, refuse), Admission::CutOffRefusing);
    assert!(!decide(CUT_OFF_MS, refuse).admits() && decide(CUT_OFF_MS, serve).admits());
    let unconfirmed = Admission::decide(false, 0, serve);
    assert_eq!(unconfirmed, Admission::Unconfirmed);
}
