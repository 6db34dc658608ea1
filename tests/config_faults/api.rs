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

/// Time within which a change must be in force everywhere.
pub const IN_FORCE_S: u64 = 20;

/// What became of one send of an edit, as the editor sees it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Told {
    Accepted { revision: u64 },
    Conflict { revision: u64 },
    Unknown,
}

/// Sends an edit once.
pub async fn put(cluster: &Cluster, entry: &str, section: &str, edit: (&str, u64, &str)) -> Told {
    let (edit_id, base_revision, body) = edit;
    let url = format!("{entry}/v1/config/sections/{}", section.replace(' ', "%20"));
    let body = json!({ "edit_id": edit_id, "base_revision": base_revision, "body": body });
    match cluster.call(Method::PUT, &url, Some(&body)).await {
        Ok(answer) => Told::Accepted {
            revision: number(&answer, "/revision"),
        },
        Err(LinkError::Status {
            status: 409, body, ..
        }) => Told::Conflict {
            revision: number(body.as_bytes(), "/details/revision"),
        },
        Err(_) => Told::Unknown,
    }
}

/// Sends an edit until its outcome is told.
pub async fn put_until_told(
    cluster: &Cluster,
    entry: &str,
    section: &str,
    edit: (&str, u64, &str),
) -> Told {
    for _ in 0..20 {
        match put(cluster, entry, section, edit).await {
            Told::Unknown => actix_rt::time::sleep(Duration::from_millis(100)).await,
            told => return told,
        }
    }
    panic!("the outcome of {edit:?} was never told");
}

fn number(answer: &[u8], pointer: &str) -> u64 {
    let answer: Value = serde_json::from_slice(answer).expect("the answer is JSON");
    let number = answer.pointer(pointer).and_then(Value::as_u64);
    number.unwrap_or_else(|| panic!("{pointer} is missing in {answer}"))
}

/// What an entry shows of its configuration, if it answers.
pub async fn shown(cluster: &Cluster, entry: &str) -> Option<DocumentAnswer> {
    let url = format!("{entry}/v1/config");
    let body = cluster.call(Method::GET, &url, None).await.ok()?;
    serde_json::from_slice(&body).ok()
}

pub async fn is_ready(cluster: &Cluster, process: &str) -> bool {
    let url = format!("{process}/health/ready");
    cluster.call(Method::GET, &url, None).await.is_ok()
}

pub async fn until_ready(cluster: &Cluster, process: &str) {
    until(&format!("{process} is ready"), IN_FORCE_S, async || {
        is_ready(cluster, process).await.then_some(())
    })
    .await;
}

/// Waits until `revision` is in force on all `processes`, as `entry` sees it.
pub async fn until_in_force(cluster: &Cluster, entry: &str, revision: u64, processes: u64) {
    let url = format!("{entry}/v1/config/wait?revision={revision}&wait_ms=1000");
    until("the revision is in force", IN_FORCE_S, async || {
        let answer = cluster.call(Method::GET, &url, None).await.ok()?;
        (number(&answer, "/in_force") == processes).then_some(())
    })
    .await;
}

/// The fold of the whole log, which must not be trimmed.
pub async fn fold_of_log(cluster: &Cluster) -> (Fold, Vec<Vec<u8>>) {
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
