use futures_util::future::join_all;
use serde_json::json;

use crate::api::ReportedOutcome;
use crate::api::fetch_document;
use crate::api::fold_log;
use crate::api::put_until_known;
use crate::api::until_in_force;
use crate::api::until_ready;
use crate::history;
use crate::history::ObservedEdit;
use crate::support::Cluster;
use bergamotfork::clients::LogClient;
use bergamotfork::document::Edit;
use bergamotfork::document::LogRecord;

const SECTIONS: [&str; 2] = ["service desk", "service member"];
const EDITORS: usize = 4;
const EDITS: usize = 12;

/// Edits both sections in turn, each time based on the last revision that was reported.
async fn run_editor(cluster: &Cluster, entry: &str, editor: usize) -> Vec<ObservedEdit> {
    let mut revisions = [0; SECTIONS.len()];
    let mut observed = Vec::new();
    for number in 0..EDITS {
        let section = number % SECTIONS.len();
        let edit_id = format!("editor-{editor}-{number}");
        let body = format!("timeout_ms = {}", 1000 * (editor + 1) + number);
        let edit = (edit_id.as_str(), revisions[section], body.as_str());
        let reported = put_until_known(cluster, entry, SECTIONS[section], edit).await;
        observed.push(ObservedEdit {
            edit_id: edit_id.clone(),
            section: SECTIONS[section].to_owned(),
            base_revision: revisions[section],
            body: body.clone(),
            reported: reported.clone(),
        });
        match reported {
            ReportedOutcome::Accepted { revision } | ReportedOutcome::Conflict { revision } => {
                revisions[section] = revision
            }
            ReportedOutcome::Unknown => unreachable!("the outcome is known"),
        }
    }
    observed
}

/// Runs concurrent editors on three entries under `faults` of the log and checks the history.
async fn race_editors(cluster: &mut Cluster, faults: Option<serde_json::Value>) {
    let mut entries = Vec::new();
    for (number, region) in ["wa-coast", "or-north", "or-south"].iter().enumerate() {
        let name = format!("entry-{number}");
        entries.push(cluster.start_entry(&name, region, "").await);
    }
    for entry in &entries {
        until_ready(cluster, entry).await;
    }
    if let Some(faults) = faults {
        cluster.set_faults(&cluster.log_url(), &faults).await;
    }
    let editors =
        (0..EDITORS).map(|editor| run_editor(cluster, &entries[editor % entries.len()], editor));
    let observed: Vec<ObservedEdit> = join_all(editors).await.into_iter().flatten().collect();
    assert_eq!(observed.len(), EDITORS * EDITS);
    let (fold, records) = fold_log(cluster).await;
    history::check(&observed, &records, |name| {
        let section = fold.document().section(name);
        section
            .expect("an edit of the section was accepted")
            .body
            .clone()
    });
    for edit in &observed {
        let accepted = matches!(edit.reported, ReportedOutcome::Accepted { .. });
        // An edit that is certain to conflict is refused without a record in the log.
        let decided = fold.edit_outcome(&edit.edit_id).map(|o| o.is_accepted());
        assert_eq!(decided.unwrap_or(false), accepted, "{edit:?}");
    }
    until_in_force(cluster, &entries[0], fold.head(), 3).await;
}

#[actix_rt::test]
async fn race_concurrent_editors() {
    let mut cluster = Cluster::new().await;
    race_editors(&mut cluster, None).await;
}

#[actix_rt::test]
async fn race_lost_replies() {
    let mut cluster = Cluster::new().await;
    race_editors(&mut cluster, Some(json!({ "lose_replies": 8 }))).await;
    let url = format!("{}/stats", cluster.log_url());
    let stats = cluster
        .send_request(actix_web::http::Method::GET, &url, None)
        .await;
    let stats: serde_json::Value =
        serde_json::from_slice(&stats.expect("the log answers")).expect("JSON");
    assert!(stats["appends"].as_u64() > Some(8), "{stats}");
}

#[actix_rt::test]
async fn race_slow_log() {
    let mut cluster = Cluster::new().await;
    race_editors(&mut cluster, Some(json!({ "delay_ms": 200 }))).await;
}

#[actix_rt::test]
async fn race_record_appended_again() {
    let mut cluster = Cluster::new().await;
    let entry = cluster.start_entry("entry-0", "wa-coast", "").await;
    until_ready(&cluster, &entry).await;
    let edit = |edit_id: &str, base_revision: u64, body: &str| Edit {
        edit_id: edit_id.to_owned(),
        team: "platform".to_owned(),
        section: SECTIONS[0].to_owned(),
        base_revision,
        body: Some(body.to_owned()),
    };
    let first = edit("a", 0, "timeout_ms = 1");
    let second = edit("b", 1, "timeout_ms = 2");
    let log = LogClient::new(&cluster.log_url(), "config");
    for edit in [&first, &first, &second, &first] {
        let record = LogRecord::Edit(edit.clone()).encode();
        log.append(record)
            .await
            .expect("the log accepts the record");
    }
    until_in_force(&cluster, &entry, 4, 1).await;
    let resent = ("a", 0, "timeout_ms = 1");
    let reported = put_until_known(&cluster, &entry, SECTIONS[0], resent).await;
    assert_eq!(reported, ReportedOutcome::Accepted { revision: 1 });
    let answer = fetch_document(&cluster, &entry)
        .await
        .expect("the entry answers");
    assert!(answer.document.contains("timeout_ms = 2"), "{answer:?}");
}
