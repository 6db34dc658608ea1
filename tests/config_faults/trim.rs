use crate::api::ReportedOutcome;
use crate::api::fetch_document;
use crate::api::put_until_known;
use crate::api::until_ready;
use crate::support::Cluster;
use crate::support::until;
use bergamotfork::clients::LogClient;

const RETENTION_MS: &str = "6000";
const SETTINGS: &str = "log_retention_ms = 6000";

#[actix_rt::test]
async fn trim_all_hosts_replaced() {
    let mut cluster = Cluster::with_log_args(&["--retention-ms", RETENTION_MS]).await;
    let mut entries = Vec::new();
    for name in ["entry-0", "entry-1"] {
        entries.push(cluster.start_entry(name, "wa-coast", SETTINGS).await);
    }
    for entry in &entries {
        until_ready(&cluster, entry).await;
    }
    let edit = ("a", 0, "timeout_ms = 700");
    let reported = put_until_known(&cluster, &entries[0], "service desk", edit).await;
    let ReportedOutcome::Accepted { revision } = reported else {
        panic!("there is no other editor: {reported:?}");
    };
    let log = LogClient::new(&cluster.log_url(), "config");
    until("the edit is trimmed from the log", 30, async || {
        let slice = log.read(0, 1, 0).await.ok()?;
        (slice.earliest >= revision).then_some(())
    })
    .await;
    for name in ["entry-0", "entry-1"] {
        cluster.process(name).kill();
    }
    for name in ["entry-0", "entry-1"] {
        cluster.restart("entry", name);
    }
    for entry in &entries {
        until_ready(&cluster, entry).await;
        let answer = fetch_document(&cluster, entry)
            .await
            .expect("the entry answers");
        assert!(answer.document.contains("timeout_ms = 700"), "{answer:?}");
        assert!(answer.offset >= revision);
    }
    // The checkpoint contains the ids of decided edits, so a resent edit gets its first outcome.
    let resent = put_until_known(&cluster, &entries[1], "service desk", edit).await;
    assert_eq!(resent, ReportedOutcome::Accepted { revision });
}
