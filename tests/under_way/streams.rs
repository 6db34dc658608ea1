//! Token streams whose only endpoint or engine is silent for a while.

use std::time::Duration;

use actix_rt::time::sleep;
use serde_json::json;

use crate::kept_connection::KeptConnection;
use crate::support::until;
use crate::system::Parts;
use crate::system::System;
use crate::system::assert_whole;
use crate::system::generate_body;

/// Tokens of an answer that takes about 1.2 s.
const TOKENS: u32 = 40;

/// Answers after which the entry knows how long a first token takes.
const FIRST_TOKEN_SAMPLES: usize = 20;

/// Silence after which an entry looks for another endpoint by default, and somewhat more.
const LONG_SILENCE: Duration = Duration::from_millis(3200);

async fn start(entry_settings: &str) -> System {
    let parts = Parts {
        engines: 1,
        entry_settings,
        ..Parts::default()
    };
    System::start(parts).await
}

/// A late first token does not end a request that no other endpoint can take.
#[actix_rt::test]
async fn stream_late_first_token_of_only_engine() {
    let system = start("").await;
    for _ in 0..FIRST_TOKEN_SAMPLES {
        assert_whole(&system.generate("tides?", 1).await, 1);
    }
    let started = system.engine_state(0).await.expect("it answers").started;
    system.signal("engine-0-engine", "STOP");
    let answer = system.spawn_generate("rules?", TOKENS);
    sleep(Duration::from_millis(1000)).await;
    system.signal("engine-0-engine", "CONT");
    assert_whole(&answer.await.expect("the caller waits"), TOKENS);
    let state = system.engine_state(0).await.expect("it answers");
    assert_eq!(state.started, started + 1);
}

/// An endpoint that is silent for longer than `silence_ms` goes on with its stream.
#[actix_rt::test]
async fn stream_silent_only_endpoint() {
    let system = start("silence_ms = 600").await;
    let started = system.engine_state(0).await.expect("it answers").started;
    let answer = system.spawn_generate("tides?", TOKENS);
    system.wait_for_stream(0).await;
    system.freeze("engine-0", Duration::from_millis(1600)).await;
    assert_whole(&answer.await.expect("the caller waits"), TOKENS);
    let state = system.engine_state(0).await.expect("it answers");
    assert_eq!(state.started, started + 1);
}

/// An endpoint that is silent for so long that it counts as silent goes on with its stream.
#[actix_rt::test]
async fn stream_long_silent_only_endpoint() {
    let system = start("").await;
    let started = system.engine_state(0).await.expect("it answers").started;
    let answer = system.spawn_generate("tides?", TOKENS);
    system.wait_for_stream(0).await;
    system.freeze("engine-0", LONG_SILENCE).await;
    assert_whole(&answer.await.expect("the caller waits"), TOKENS);
    let state = system.engine_state(0).await.expect("it answers");
    assert_eq!(state.started, started + 1);
}

/// An engine that is silent within a stream, and when another request arrives, goes on with
/// both.
#[actix_rt::test]
async fn stream_silent_only_engine() {
    let system = start("").await;
    let started = system.engine_state(0).await.expect("it answers").started;
    let running = system.spawn_generate("tides?", TOKENS);
    system.wait_for_stream(0).await;
    system.signal("engine-0-engine", "STOP");
    let waiting = system.spawn_generate("rules?", TOKENS);
    sleep(LONG_SILENCE).await;
    system.signal("engine-0-engine", "CONT");
    assert_whole(&running.await.expect("the caller waits"), TOKENS);
    assert_whole(&waiting.await.expect("the caller waits"), TOKENS);
    let state = system.engine_state(0).await.expect("it answers");
    assert_eq!(state.started, started + 2);
}

/// Tokens that have arrived at the deadline are sent, though late.
#[actix_rt::test]
async fn stream_ready_at_deadline() {
    let system = start("").await;
    let connection = KeptConnection::open(&system.entry).expect("the entry listens");
    let mut body = generate_body("tides?", TOKENS);
    body["deadline_ms"] = json!(1800);
    let ((_, answer), ()) = futures_util::join!(connection.post("/v1/generate", &body), async {
        system.wait_for_stream(0).await;
        system.freeze("entry-1", Duration::from_millis(2100)).await;
    });
    assert_whole(&answer, TOKENS);
}

/// A stream that moved away from a silent endpoint to one that fails goes on at the first.
#[actix_rt::test]
async fn stream_silent_endpoint_and_refused_by_other() {
    let parts = Parts {
        engines: 2,
        entry_settings: "silence_ms = 600",
        ..Parts::default()
    };
    let system = System::start(parts).await;
    let answer = system.spawn_generate("tides?", TOKENS);
    let running = until("an engine runs the stream", 10, async || {
        let first = system.engine_state(0).await?;
        let second = system.engine_state(1).await?;
        match (first.running, second.running) {
            (0, 0) => None,
            (0, _) => Some(1),
            _ => Some(0),
        }
    })
    .await;
    let other = 1 - running;
    system.signal(&format!("engine-{other}-engine"), "KILL");
    system
        .freeze(&format!("engine-{running}"), Duration::from_millis(1600))
        .await;
    assert_whole(&answer.await.expect("the caller waits"), TOKENS);
}

/// An endpoint whose engine was replaced gets requests again.
#[actix_rt::test]
async fn stream_after_engine_replaced() {
    let mut system = start("").await;
    let backend = system.engine_address(0);
    system
        .cluster
        .start_bare_engine("engine-0-engine", &backend);
    until("the engine has its weights again", 10, async || {
        let answer = system.generate("tides?", 1).await.expect("an answer");
        assert!([200, 503].contains(&answer.status), "{}", answer.body);
        let state = system.engine_state(0).await?;
        (!state.loaded.is_empty()).then_some(())
    })
    .await;
    until("its endpoint gets requests", 5, async || {
        let answer = system.generate("tides?", 1).await.expect("an answer");
        (answer.status == 200).then_some(())
    })
    .await;
}
