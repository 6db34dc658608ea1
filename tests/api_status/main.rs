//! Tests the status of all hosts and models, as shown by an entry and by the command `status`.

#[path = "../support/mod.rs"]
mod support;

use std::process::Command;
use std::process::Output;

use actix_web::http::Method;

use bergamotfork::entry::StatusView;
use support::Cluster;
use support::TOKEN;
use support::until;

/// Status as answered by an entry; `None` if it does not answer.
async fn get_status(cluster: &Cluster, entry: &str) -> Option<StatusView> {
    let url = format!("{entry}/v1/status");
    let body = cluster.send_request(Method::GET, &url, None).await.ok()?;
    Some(serde_json::from_slice(&body).expect("the answer is a status"))
}

/// Runs the command `status` and returns its output.
fn run_status_command(entry: &str, token: &str, args: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_bergamotfork"))
        .args(["status", "--entry", entry])
        .args(args)
        .env("BERGAMOTFORK_TOKEN", token)
        .output()
        .expect("the program starts")
}

/// Starts an entry, an endpoint with an engine that serves a model, and an endpoint of a
/// service.
async fn start_cluster() -> (Cluster, String) {
    let mut cluster = Cluster::new().await;
    let entry = cluster.start_entry("entry-1", "or-north", "").await;
    cluster.start_engine("engine-1", "or-north", &[]).await;
    cluster
        .start_service("desk-1", "wa-coast", "bookdesk", &[])
        .await;
    let manifest = cluster.publish("chat", "v1", 1 << 17).await;
    let model = format!("version = v1\nmanifest = {manifest}\nreplicas = 1\n");
    cluster.append_edit("model chat", 0, &model).await;
    (cluster, entry)
}

#[actix_rt::test]
async fn status_of_served_model() {
    let (mut cluster, entry) = start_cluster().await;
    let view = until("the model is served everywhere", 30, async || {
        let view = get_status(&cluster, &entry).await?;
        let served = view.models.first().is_some_and(|model| model.serving == 1);
        (served && view.behind.is_empty()).then_some(view)
    })
    .await;
    assert_eq!(view.answered_by, "entry-1");
    assert!(view.ready);
    assert_eq!(view.config.offset, 1);
    let model = &view.models[0];
    assert_eq!(
        (model.name.as_str(), model.version.as_str(), model.wanted),
        ("chat", "v1", 1)
    );
    assert!(model.held.is_empty());
    let host = |name: &str| {
        let found = view.hosts.iter().find(|host| host.name == name);
        found.unwrap_or_else(|| panic!("no host {name}"))
    };
    assert_eq!(host("engine-1").versions[0].present_percent, 100);
    assert_eq!(host("engine-1").standing, "usable");
    assert_eq!(host("entry-1").standing, "usable");
    assert_eq!(host("entry-1").config_offset, Some(1));
    assert_eq!(host("desk-1").service.as_deref(), Some("bookdesk"));

    let output = run_status_command(&entry, TOKEN, &[]);
    let text = String::from_utf8_lossy(&output.stdout);
    assert_eq!(output.status.code(), Some(0), "{output:?}");
    assert!(text.contains("chat v1: 1 of 1 serving"), "{text}");
    let output = run_status_command(&entry, TOKEN, &["--json"]);
    serde_json::from_slice::<StatusView>(&output.stdout).expect("the output is JSON");

    cluster.process("engine-1").kill();
    until(
        "the killed replica is no longer shown as serving",
        30,
        async || {
            let view = self::get_status(&cluster, &entry).await?;
            let host = view.hosts.iter().find(|host| host.name == "engine-1")?;
            (view.models[0].serving == 0 && host.standing != "usable").then_some(())
        },
    )
    .await;
}

#[actix_rt::test]
async fn status_command_failures() {
    let mut cluster = Cluster::new().await;
    let entry = cluster.start_entry("entry-1", "or-north", "").await;
    until("the entry answers", 20, async || {
        get_status(&cluster, &entry).await
    })
    .await;
    assert_eq!(run_status_command(&entry, "", &[]).status.code(), Some(2));
    let output = run_status_command(&entry, "wrong", &[]);
    assert_eq!(output.status.code(), Some(1));
    assert!(String::from_utf8_lossy(&output.stderr).contains("wrong_token"));
    assert_eq!(
        run_status_command("http://127.0.0.1:1", TOKEN, &[])
            .status
            .code(),
        Some(1)
    );
}
