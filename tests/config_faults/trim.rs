use crate::api::Told;
use crate::api::put_until_told;
use crate::api::shown;
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
    let told = put_until_told(&cluster, &entries[0], "service desk", edit).await;
    let Told::Accepted { revision } = told else {
        panic!("nobody else edits: {told:?}");
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
        let shown = shown(&cluster, entry).await.expect("it answers");
        assert!(shown.document.contains("timeout_ms = 700"), "{shown:?}");
        assert!(shown.offset >= revision);
    }
    // The checkpoint carries the edit ids: a retry still gets the first outcome.
    let again = put_until_told(&cluster, &entries[1], "service desk", edit).await;
    assert_eq!(again, Told::Accepted { revision });
}
