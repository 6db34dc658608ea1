use futures_util::future::join_all;
use serde_json::json;

use crate::api::Told;
use crate::api::fold_of_log;
use crate::api::put_until_told;
use crate::api::shown;
use crate::api::until_in_force;
use crate::api::until_ready;
use crate::history;
use crate::history::Observed;
use crate::support::Cluster;
use bergamotfork::clients::LogClient;
use bergamotfork::document::Edit;
use bergamotfork::document::LogRecord;

const SECTIONS: [&str; 2] = ["service desk", "service member"];
const EDITORS: usize = 4;
const EDITS: usize = 12;

/// One operator: edits both sections in turn from the revision it last saw.
async fn operate(cluster: &Cluster, entry: &str, editor: usize) -> Vec<Observed> {
    let mut seen = [0; SECTIONS.len()];
    let mut observed = Vec::new();
    for number in 0..EDITS {
        let at = number % SECTIONS.len();
        let edit_id = format!("editor-{editor}-{number}");
        let body = format!("timeout_ms = {}", 1000 * (editor + 1) + number);
        let edit = (edit_id.as_str(), seen[at], body.as_str());
        let told = put_until_told(cluster, entry, SECTIONS[at], edit).await;
        observed.push(Observed {
            edit_id: edit_id.clone(),
            section: SECTIONS[at].to_owned(),
            base_revision: seen[at],
            body: body.clone(),
            told: told.clone(),
        });
        match told {
            Told::Accepted { revision } | Told::Conflict { revision } => seen[at] = revision,
            Told::Unknown => unreachable!("the outcome was told"),
        }
    }
    observed
}

async fn race(cluster: &mut Cluster, faults: Option<serde_json::Value>) {
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
    let operators =
        (0..EDITORS).map(|editor| operate(cluster, &entries[editor % entries.len()], editor));
    let observed: Vec<Observed> = join_all(operators).await.into_iter().flatten().collect();
    assert_eq!(observed.len(), EDITORS * EDITS);
    let (fold, records) = fold_of_log(cluster).await;
    history::check(&observed, &records, |name| {
        let section = fold.document().section(name);
        section.expect("it was accepted").body.clone()
    });
    for edit in &observed {
        let accepted = matches!(edit.told, Told::Accepted { .. });
        // A sure loser is refused without a record.
        let decided = fold.edit_outcome(&edit.edit_id).map(|o| o.is_accepted());
        assert_eq!(decided.unwrap_or(false), accepted, "{edit:?}");
    }
    until_in_force(cluster, &entries[0], fold.head(), 3).await;
}

#[actix_rt::test]
async fn race_four_operators() {
    let mut cluster = Cluster::new().await;
    race(&mut cluster, None).await;
}

#[actix_rt::test]
async fn race_lost_replies() {
    let mut cluster = Cluster::new().await;
    race(&mut cluster, Some(json!({ "lose_replies": 8 }))).await;
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
    race(&mut cluster, Some(json!({ "delay_ms": 200 }))).await;
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
        log.append(record).await.expect("the log takes a record");
    }
    until_in_force(&cluster, &entry, 4, 1).await;
    let again = ("a", 0, "timeout_ms = 1");
    let told = put_until_told(&cluster, &entry, SECTIONS[0], again).await;
    assert_eq!(told, Told::Accepted { revision: 1 });
    let shown = shown(&cluster, &entry).await.expect("it answers");
    assert!(shown.document.contains("timeout_ms = 2"), "{shown:?}");
}
