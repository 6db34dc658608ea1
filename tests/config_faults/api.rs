use std::time::Duration;

use actix_web::http::Method;
use serde_json::Value;
use serde_json::json;

use crate::support::Cluster;
use crate::support::until;
use bergamotfork::clients::LogClient;
use bergamotfork::document::Fold;
use bergamotfork::entry::admin::DocumentAnswer;
use bergamotfork::links::LinkError;

/// Time within which a change must be in force on every process.
pub const IN_FORCE_LIMIT_S: u64 = 20;

/// Outcome of one send of an edit as reported to the editor.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ReportedOutcome {
    Accepted { revision: u64 },
    Conflict { revision: u64 },
    Unknown,
}

/// Sends an edit, given as its id, base revision and body, once.
pub async fn put(
    cluster: &Cluster,
    entry: &str,
    section: &str,
    edit: (&str, u64, &str),
) -> ReportedOutcome {
    let (edit_id, base_revision, body) = edit;
    let url = format!("{entry}/v1/config/sections/{}", section.replace(' ', "%20"));
    let body = json!({ "edit_id": edit_id, "base_revision": base_revision, "body": body });
    match cluster.send_request(Method::PUT, &url, Some(&body)).await {
        Ok(answer) => ReportedOutcome::Accepted {
            revision: read_number(&answer, "/revision"),
        },
        Err(LinkError::Status {
            status: 409, body, ..
        }) => ReportedOutcome::Conflict {
            revision: read_number(body.as_bytes(), "/details/revision"),
        },
        Err(_) => ReportedOutcome::Unknown,
    }
}

/// Sends an edit until its outcome is reported; panics after 20 sends.
pub async fn put_until_known(
    cluster: &Cluster,
    entry: &str,
    section: &str,
    edit: (&str, u64, &str),
) -> ReportedOutcome {
    for _ in 0..20 {
        match put(cluster, entry, section, edit).await {
            ReportedOutcome::Unknown => actix_rt::time::sleep(Duration::from_millis(100)).await,
            reported => return reported,
        }
    }
    panic!("the outcome of {edit:?} was never reported");
}

/// Reads the number at the JSON pointer `pointer`.
fn read_number(answer: &[u8], pointer: &str) -> u64 {
    let answer: Value = serde_json::from_slice(answer).expect("the answer is JSON");
    let number = answer.pointer(pointer).and_then(Value::as_u64);
    number.unwrap_or_else(|| panic!("{pointer} is missing in {answer}"))
}

/// Configuration document that an entry has in force, or `None` without an answer.
pub async fn fetch_document(cluster: &Cluster, entry: &str) -> Option<DocumentAnswer> {
    let url = format!("{entry}/v1/config");
    let body = cluster.send_request(Method::GET, &url, None).await.ok()?;
    serde_json::from_slice(&body).ok()
}

/// Whether the readiness probe of a process succeeds.
pub async fn is_ready(cluster: &Cluster, process: &str) -> bool {
    let url = format!("{process}/health/ready");
    cluster.send_request(Method::GET, &url, None).await.is_ok()
}

/// Waits until a process is ready.
pub async fn until_ready(cluster: &Cluster, process: &str) {
    until(
        &format!("{process} is ready"),
        IN_FORCE_LIMIT_S,
        async || is_ready(cluster, process).await.then_some(()),
    )
    .await;
}

/// Waits until `entry` reports that `revision` is in force on exactly `processes` processes.
pub async fn until_in_force(cluster: &Cluster, entry: &str, revision: u64, processes: u64) {
    let url = format!("{entry}/v1/config/wait?revision={revision}&wait_ms=1000");
    until("the revision is in force", IN_FORCE_LIMIT_S, async || {
        let answer = cluster.send_request(Method::GET, &url, None).await.ok()?;
        (read_number(&answer, "/in_force") == processes).then_some(())
    })
    .await;
}

/// Folds the complete log and returns its records too; panics if the log was trimmed.
pub async fn fold_log(cluster: &Cluster) -> (Fold, Vec<Vec<u8>>) {
    let log = LogClient::new(&cluster.log_url(), "config");
    let slice = log.read(0, 10_000, 0).await.expect("the log answers");
    assert_eq!(slice.earliest, 0);
    let mut fold = Fold::new();
    let mut records = Vec::new();
    for entry in &slice.records {
        fold.apply_record(entry.offset, &entry.body());
        records.push(entry.body());
    }
    (fold, records)
}
