//! Requests under way while the sections that they use are changed or removed.

use std::time::Duration;

use actix_rt::time::sleep;
use serde_json::Value;
use serde_json::json;

use crate::kept_connection::KeptConnection;
use crate::support::until;
use crate::system::Parts;
use crate::system::System;
use crate::system::assert_answered;
use crate::system::assert_whole;
use crate::system::call_body;
use crate::system::generate_body;
use bergamotfork::clients::LogClient;
use bergamotfork::document::Edit;
use bergamotfork::document::LogRecord;

/// Tokens of an answer that lasts until replaced weights would have been unloaded.
const TOKENS: u32 = 250;

/// Requests under way while a version is rolled out, and while the model, the service and the
/// branch are removed.
#[actix_rt::test]
async fn edit_sections_in_use() {
    let parts = Parts {
        engines: 1,
        desks: 1,
        service_args: &["--delay-ms", "1000"],
        ..Parts::default()
    };
    let system = System::start(parts).await;
    let permit = system.permit().await;
    let before = system.executions(0).await.len();
    let first = system.engine_state(0).await.expect("it answers").loaded;
    let tokens = system.spawn_generate("tides?", TOKENS);
    system.wait_for_stream(0).await;

    let manifest = system.cluster.publish("chat", "v2", 100_000).await;
    let model = format!("version = v2\nmanifest = {manifest}\nreplicas = 1\n");
    let revision = system.cluster.append_edit("model chat", 1, &model).await + 1;
    until("the next version answers", 10, async || {
        let answer = system.generate("rules?", 1).await;
        assert_whole(&answer, 1);
        answer.ok()?.body.contains(&manifest).then_some(())
    })
    .await;

    let later_tokens = system.spawn_generate("rules?", TOKENS);
    let body = json!({"hut": 12});
    let (lookup, book, ()) = futures_util::join!(
        system.call("lookup", &body, None),
        system.call("book", &body, Some(&permit)),
        async {
            system.wait_for_executions(0, before + 2).await;
            remove_section(&system, "model chat", revision).await;
            remove_section(&system, "service bookdesk", 2).await;
            remove_section(&system, "branch seaside", 3).await;
        }
    );
    assert_answered(&lookup);
    assert_answered(&book);
    assert_eq!(system.executions(0).await.len(), before + 2);
    let refused = system.generate("tides?", 1).await.expect("an answer");
    assert_eq!(refused.status, 404, "{}", refused.body);

    while !tokens.is_finished() {
        let loaded = system.engine_state(0).await.expect("it answers").loaded;
        assert!(
            tokens.is_finished() || loaded.contains(&first[0]),
            "unloaded in use"
        );
        sleep(Duration::from_millis(20)).await;
    }
    assert_whole(&tokens.await.expect("the caller waits"), TOKENS);
    assert_whole(&later_tokens.await.expect("the caller waits"), TOKENS);
    until("no version is left", 10, async || {
        system
            .engine_state(0)
            .await?
            .loaded
            .is_empty()
            .then_some(())
    })
    .await;
}

/// A request whose body arrives while its service or branch is removed gets a refusal, over a
/// connection that stays usable.
#[actix_rt::test]
async fn edit_sections_while_bodies_arrive() {
    let parts = Parts {
        engines: 1,
        desks: 1,
        service_args: &["--delay-ms", "20"],
        ..Parts::default()
    };
    let system = System::start(parts).await;
    let post = async |path: &str, body: Value| {
        let connection = KeptConnection::open(&system.entry).expect("the entry listens");
        let pause = Duration::from_millis(1500);
        let (kept, answer) = connection.post_in_parts(path, &body, pause).await;
        let (_, again) = kept.post(path, &body).await;
        [answer, again]
    };
    let call = call_body("lookup", &json!({"hut": 12}), None);
    let (calls, streams, ()) = futures_util::join!(
        post("/v1/call", call),
        post("/v1/generate", generate_body("tides?", 5)),
        async {
            sleep(Duration::from_millis(200)).await;
            remove_section(&system, "model chat", 1).await;
            remove_section(&system, "service bookdesk", 2).await;
            remove_section(&system, "branch seaside", 3).await;
        }
    );
    for answer in calls.into_iter().chain(streams) {
        let answer = answer.expect("there is an answer");
        assert_eq!(answer.status, 404, "{}", answer.body);
    }
}

/// Removes a section by a record in the log.
async fn remove_section(system: &System, section: &str, base_revision: u64) {
    let edit = Edit {
        edit_id: format!("remove {section}"),
        team: "platform".to_owned(),
        section: section.to_owned(),
        base_revision,
        body: None,
    };
    LogClient::new(&system.cluster.log_url(), "config")
        .append(LogRecord::Edit(edit).encode())
        .await
        .expect("the log accepts the edit");
}
