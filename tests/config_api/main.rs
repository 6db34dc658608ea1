//! Tests the administration API and the command `config` against real processes.

#[path = "../support/mod.rs"]
mod support;

use std::fs;
use std::path::PathBuf;
use std::process::Command;
use std::process::Output;

use actix_web::http::Method;
use serde_json::Value;
use serde_json::json;

use bergamotfork::links::LinkError;
use bergamotfork::weights::Digest;
use support::Cluster;
use support::TOKEN;
use support::until;

const DESK_TOKEN: &str = "token of the desk";

/// Starts two entries and an endpoint, and waits until their configuration is confirmed.
async fn start_cluster() -> (Cluster, String, String) {
    let mut cluster = Cluster::new().await;
    let desk = format!(
        "[team desk]\ntoken_digest = {}\nsections = service desk-*\n",
        Digest::of_bytes(DESK_TOKEN.as_bytes())
    );
    let entry_1 = cluster.start_entry("entry-1", "or-north", &desk).await;
    let entry_2 = cluster.start_entry("entry-2", "wa-coast", &desk).await;
    cluster
        .start_service("desk-1", "or-north", "bookdesk", &[])
        .await;
    for entry in [&entry_1, &entry_2] {
        wait_until_ready(&cluster, entry).await;
        wait_for_processes(&cluster, entry).await;
    }
    (cluster, entry_1, entry_2)
}

async fn wait_until_ready(cluster: &Cluster, entry: &str) {
    let url = format!("{entry}/health/ready");
    until("the entry is ready", 20, async || {
        cluster.send_request(Method::GET, &url, None).await.ok()
    })
    .await;
}

/// Waits until the entry knows the other two processes.
async fn wait_for_processes(cluster: &Cluster, entry: &str) {
    let url = format!("{entry}/v1/config/wait?revision=0");
    until("the entry knows all processes", 20, async || {
        let answer = cluster.send_request(Method::GET, &url, None).await.ok()?;
        let answer: Value = serde_json::from_slice(&answer).ok()?;
        (answer["processes"] == 3).then_some(())
    })
    .await;
}

/// Sends an edit, given as edit id, base revision and body, and returns the answer or the
/// status and body of the error.
async fn put_section(
    cluster: &Cluster,
    entry: &str,
    section: &str,
    edit: (&str, u64, &str),
) -> Result<Value, (u16, Value)> {
    let (edit_id, base_revision, body) = edit;
    let url = format!("{entry}/v1/config/sections/{}", section.replace(' ', "%20"));
    let body = json!({ "edit_id": edit_id, "base_revision": base_revision, "body": body });
    match cluster.send_request(Method::PUT, &url, Some(&body)).await {
        Ok(answer) => Ok(serde_json::from_slice(&answer).expect("the answer is JSON")),
        Err(LinkError::Status { status, body, .. }) => Err((
            status,
            serde_json::from_str(&body).expect("the error is JSON"),
        )),
        Err(error) => panic!("no answer: {error}"),
    }
}

#[actix_rt::test]
async fn put_conflict_shows_winner() {
    let (cluster, entry_1, entry_2) = start_cluster().await;
    let section = "service bookdesk";
    let first = put_section(&cluster, &entry_1, section, ("a", 0, "timeout_ms = 1")).await;
    let first = first.expect("accepted");
    let revision = first["revision"].as_u64().expect("a revision");
    let (status, answer) = put_section(&cluster, &entry_2, section, ("b", 0, "timeout_ms = 2"))
        .await
        .expect_err("the section has changed");
    assert_eq!((status, &answer["code"]), (409, &json!("conflict")));
    let winner = &answer["details"]["winner"];
    assert_eq!(winner["body"], "timeout_ms = 1");
    assert_eq!(answer["details"]["revision"], revision);
    // The same edit id through the other entry gives the first outcome.
    let again = put_section(&cluster, &entry_2, section, ("a", 0, "timeout_ms = 1")).await;
    assert_eq!(again, Ok(first));
    let reused = put_section(
        &cluster,
        &entry_1,
        section,
        ("a", revision, "timeout_ms = 9"),
    )
    .await;
    assert_eq!(reused.expect_err("the id is taken").0, 400);
}

#[actix_rt::test]
async fn put_refused_before_append() {
    let (cluster, entry_1, _) = start_cluster().await;
    let (status, answer) = put_section(
        &cluster,
        &entry_1,
        "service bookdesk",
        ("a", 0, "speed = 3"),
    )
    .await
    .expect_err("the key is unknown");
    assert_eq!((status, &answer["code"]), (422, &json!("invalid_edit")));
    let fault = &answer["details"]["faults"][0];
    assert_eq!(fault["section"], "service bookdesk");
    assert_eq!(fault["key"], "speed");
    let large = format!("idempotent = {}", "x".repeat(70_000));
    let (status, answer) = put_section(&cluster, &entry_1, "service bookdesk", ("b", 0, &large))
        .await
        .expect_err("the section is too large");
    assert_eq!(status, 422);
    assert!(answer["message"].to_string().contains("more than 65536"));
    let forbidden = put_section(&cluster, &entry_1, "planet x", ("c", 0, "a = b")).await;
    assert_eq!(forbidden.expect_err("no team may write the section").0, 403);
    let url = format!("{entry_1}/v1/config");
    let shown = cluster
        .send_request(Method::GET, &url, None)
        .await
        .expect("shown");
    let shown: Value = serde_json::from_slice(&shown).expect("JSON");
    assert_eq!(shown["offset"], 0, "nothing was appended: {shown}");
}

/// Runs the command `config` and returns its output.
fn run_config(entry: &str, token: &str, args: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_bergamotfork"))
        .arg("config")
        .args(args)
        .args(["--entry", entry])
        .env("BERGAMOTFORK_TOKEN", token)
        .output()
        .expect("the program starts")
}

fn text(bytes: &[u8]) -> String {
    String::from_utf8_lossy(bytes).into_owned()
}

/// Writes the body of a section to a temporary file.
fn body_file(name: &str, body: &str) -> PathBuf {
    let name = format!("bergamotfork-{}-{name}", std::process::id());
    let path = std::env::temp_dir().join(name);
    fs::write(&path, body).expect("the body is written");
    path
}

#[actix_rt::test]
async fn config_command_edit() {
    let (_cluster, entry_1, entry_2) = start_cluster().await;
    let file = body_file("whole", "timeout_ms = 700\nidempotent = lookup\n");
    let file = file.to_str().expect("the path is text");
    let edited = run_config(&entry_1, TOKEN, &["edit", "service desk-a", "--file", file]);
    assert!(edited.status.success(), "{}", text(&edited.stderr));
    let output = text(&edited.stdout);
    let revision = output.trim().strip_prefix("accepted, revision ");
    let revision = revision.expect("the output names the revision");
    let waited = run_config(&entry_2, TOKEN, &["wait", revision]);
    assert_eq!(text(&waited.stdout), "in force on 3 of 3 processes\n");
    let shown = run_config(&entry_2, DESK_TOKEN, &["show"]);
    assert!(text(&shown.stdout).contains("[service desk-a]\ntimeout_ms = 700"));
    let got = run_config(&entry_2, DESK_TOKEN, &["get", "service desk-a"]);
    assert!(text(&got.stdout).contains("idempotent = lookup"));
    let other = body_file("other", "timeout_ms = 800\n");
    let other = other.to_str().expect("the path is text");
    let diff = run_config(
        &entry_1,
        TOKEN,
        &["diff", "service desk-a", "--file", other],
    );
    let expected = "- timeout_ms = 700\n+ timeout_ms = 800\n- idempotent = lookup\n";
    assert_eq!(text(&diff.stdout), expected);
    let stale = ["edit", "service desk-a", "--file", other, "--base", "0"];
    let stale = run_config(&entry_1, DESK_TOKEN, &stale);
    assert_eq!(stale.status.code(), Some(1));
    assert!(
        text(&stale.stderr).contains("timeout_ms = 700"),
        "the winner"
    );
    let deleted = run_config(
        &entry_1,
        DESK_TOKEN,
        &["edit", "service desk-a", "--delete"],
    );
    assert!(deleted.status.success(), "{}", text(&deleted.stderr));
    let history = run_config(&entry_1, TOKEN, &["history", "--section", "service desk-a"]);
    let history = text(&history.stdout);
    let teams: Vec<&str> = history
        .lines()
        .filter_map(|line| line.split('\t').nth(1))
        .collect();
    assert_eq!(teams, ["desk", "platform"]);
}

#[actix_rt::test]
async fn config_command_refusals() {
    let (_cluster, entry_1, _) = start_cluster().await;
    let file = body_file("refused", "timeout_ms = 700\n");
    let file = file.to_str().expect("the path is text");
    let other_team = run_config(
        &entry_1,
        DESK_TOKEN,
        &["edit", "service other", "--file", file],
    );
    assert_eq!(other_team.status.code(), Some(1));
    assert!(text(&other_team.stderr).contains("forbidden: team \"desk\" may write"));
    let unknown = run_config(&entry_1, "no token", &["show"]);
    assert!(text(&unknown.stderr).contains("wrong_token"));
    let absent = run_config(&entry_1, TOKEN, &["get", "model none"]);
    assert!(text(&absent.stderr).contains("does not exist"));
    let timed_out = run_config(&entry_1, TOKEN, &["wait", "5", "--timeout-s", "0"]);
    assert_eq!(timed_out.status.code(), Some(1));
    let lacking = text(&timed_out.stderr);
    assert!(lacking.contains("in force on 0 of 3 processes; not on "));
    assert!(lacking.contains("desk-1") && lacking.contains("entry-2"));
}
