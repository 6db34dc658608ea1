use std::process::Command;
use std::process::Output;

use super::*;

/// Runs `bergamotfork model` with `args` against an entry.
fn run_model(entry: &str, args: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_bergamotfork"))
        .arg("model")
        .args(args)
        .args(["--entry", entry])
        .env("BERGAMOTFORK_TOKEN", TOKEN)
        .output()
        .expect("the program starts")
}

#[actix_rt::test]
async fn model_rollout_watch() {
    let mut cluster = Cluster::new().await;
    let entry = cluster.start_entry("entry-1", "or-north", "").await;
    cluster.start_engine("engine-1", "or-north", &[]).await;
    let first = cluster.publish("chat", "v1", 1 << 18).await;
    let second = cluster.publish("chat", "v2", (1 << 18) + 5).await;
    let body = format!("version = v1\nmanifest = {first}\nreplicas = 1\n");
    cluster.append_edit("model chat", 0, &body).await;
    until("the replica serves v1", 60, async || {
        (serving_count(&cluster, &entry, &first).await? == 1).then_some(())
    })
    .await;
    let rollout = ["rollout", "chat", "--version", "v2", "--manifest", &second];
    let output = run_model(&entry, &[&rollout[..], &["--watch"]].concat());
    let text = String::from_utf8_lossy(&output.stdout).into_owned();
    assert!(output.status.success(), "{output:?}");
    assert!(text.contains("chat v2: 1 of 1 serving"), "{text}");
    let listed = run_model(&entry, &["list"]);
    let text = String::from_utf8_lossy(&listed.stdout).into_owned();
    assert!(text.starts_with("chat\tv2\t"), "{text}");
    let unknown = run_model(
        &entry,
        &["rollout", "no", "--version", "v2", "--manifest", &second],
    );
    assert_eq!(unknown.status.code(), Some(1), "{unknown:?}");
}
