//! Tests token streams through an entry while endpoints, engines and callers fail.
//!
//! Entry, endpoints and engines run as separate processes.

mod foreign_bytes;
mod generate_cluster;
#[path = "../support/mod.rs"]
mod support;

use std::time::Duration;
use std::time::Instant;

use serde_json::Value;
use serde_json::json;

use crate::generate_cluster::GenerateCluster;
use bergamotfork::links::LinkError;

/// Number of tokens of an answer that takes about two seconds.
const LONG_ANSWER_TOKENS: u32 = 60;

#[actix_rt::test]
async fn generate_no_replica() {
    let cluster = GenerateCluster::start(0).await;
    let refused = cluster
        .generate("anyone?", 1)
        .await
        .expect_err("there is no replica");
    let LinkError::Status {
        status,
        retry_after_ms,
        body,
    } = refused
    else {
        panic!("not an answer: {refused}");
    };
    assert_eq!((status, retry_after_ms), (503, Some(1000)), "{body}");
    assert!(body.contains("no_replica"), "{body}");
}

#[actix_rt::test]
async fn generate_resumes_after_kill() {
    let mut cluster = GenerateCluster::start(2).await;
    let answer = cluster.spawn_generate("tides?", LONG_ANSWER_TOKENS);
    let running = cluster.wait_for_running_engine().await;
    cluster.process(running).kill();
    cluster.assert_answer(
        &answer.await.expect("the caller waits"),
        "tides?",
        LONG_ANSWER_TOKENS,
    );
}

#[actix_rt::test]
async fn generate_resumes_after_silence() {
    let mut cluster = GenerateCluster::start(2).await;
    let start = Instant::now();
    let answer = cluster.spawn_generate("tides?", LONG_ANSWER_TOKENS);
    let running = cluster.wait_for_running_engine().await;
    cluster.process(running).signal("STOP");
    let answer = answer.await.expect("the caller waits");
    let took = start.elapsed();
    cluster.process(running).signal("CONT");
    cluster.assert_answer(&answer, "tides?", LONG_ANSWER_TOKENS);
    assert!(took < Duration::from_secs(15), "{took:?}");
}

#[actix_rt::test]
async fn generate_planned_stop() {
    let mut cluster = GenerateCluster::start(2).await;
    let answer = cluster.spawn_generate("tides?", LONG_ANSWER_TOKENS);
    let running = cluster.wait_for_running_engine().await;
    cluster.process(running).signal("TERM");
    for number in 0..10 {
        let prompt = format!("rule {number}?");
        let answer = cluster
            .generate(&prompt, 2)
            .await
            .expect("a replica is left");
        cluster.assert_answer(&answer, &prompt, 2);
    }
    cluster.assert_answer(
        &answer.await.expect("the caller waits"),
        "tides?",
        LONG_ANSWER_TOKENS,
    );
    cluster.assert_started_once().await;
}

#[actix_rt::test]
async fn generate_caller_disconnects() {
    let cluster = GenerateCluster::start(2).await;
    let answer = cluster.spawn_generate("tides?", 1000);
    cluster.wait_for_running_engine().await;
    answer.abort();
    cluster.wait_until_idle().await;
}

/// A prompt that crashes every engine is refused after three crashes, so that the other
/// engines keep running.
#[actix_rt::test]
async fn generate_refused_after_three_crashes() {
    let cluster = GenerateCluster::start(5).await;
    let unaffected = cluster.spawn_generate("tides?", LONG_ANSWER_TOKENS);
    cluster.wait_for_running_engine().await;
    let crashing = "what [[crash]] is this?";
    for _ in 0..6 {
        let refused = cluster.generate(crashing, 4).await;
        assert!(refused.is_err(), "no engine survives it");
    }
    let refused = cluster
        .generate(crashing, 4)
        .await
        .expect_err("it is refused");
    assert!(refused.to_string().contains("request_blocked"), "{refused}");
    assert!(cluster.live_engine_count().await >= 2);
    cluster.assert_answer(
        &unaffected.await.expect("the caller waits"),
        "tides?",
        LONG_ANSWER_TOKENS,
    );
    let answer = cluster
        .generate("rules?", 4)
        .await
        .expect("engines are left");
    cluster.assert_answer(&answer, "rules?", 4);
}

/// Guards against prompts with one beginning that crash engines, no two alike.
#[actix_rt::test]
async fn generate_beginning_that_crashes_refused() {
    let cluster = GenerateCluster::start(9).await;
    let instructions = "Answer as the harbour office does, briefly and politely. ".repeat(3);
    let crashing = format!(
        "{instructions} [[crash]] {}",
        "The tide tables of May. ".repeat(8)
    );
    for number in 0..8 {
        let sound = cluster
            .generate(&format!("{instructions} rules {number}?"), 2)
            .await;
        sound.expect("engines are left");
        let refused = cluster.generate(&format!("{crashing} {number}?"), 4).await;
        assert!(refused.is_err(), "no engine survives it");
    }
    let refused = cluster
        .generate(&format!("{crashing} and now?"), 4)
        .await
        .expect_err("it is refused");
    assert!(refused.to_string().contains("request_blocked"), "{refused}");
    assert!(cluster.live_engine_count().await >= 3);
    let prompt = format!("{instructions} and now?");
    let answer = cluster.generate(&prompt, 4).await;
    cluster.assert_answer(&answer.expect("it is served"), &prompt, 4);
}

/// Numbers that no caller means are answered, and the next request is served.
#[actix_rt::test]
async fn generate_odd_numbers_answered() {
    let cluster = GenerateCluster::start(1).await;
    let times_ms = [u64::MAX, u64::MAX / 2 + 1, u64::MAX / 2, 0];
    let mut odd: Vec<Value> = times_ms.map(|ms| json!({ "deadline_ms": ms })).into();
    odd.extend([
        json!({"max_tokens": u32::MAX, "deadline_ms": 200}),
        json!({"max_tokens": u32::MAX, "resume_from": u32::MAX}),
        json!({"max_tokens": 0, "resume_from": u32::MAX}),
        json!({"max_tokens": 0}),
        json!({"seed": u64::MAX, "priority": u8::MAX}),
        json!({"deadline_ms": -1}),
        json!({"max_tokens": u64::MAX}),
        json!({"priority": 256}),
    ]);
    for changes in odd {
        let answer = cluster.generate_with("tides?", &changes).await;
        let is_answered = matches!(&answer, Ok(_) | Err(LinkError::Status { .. }));
        assert!(is_answered, "{changes}: {answer:?}");
        let answer = cluster.generate("rules?", 2).await;
        cluster.assert_answer(&answer.expect("it is served"), "rules?", 2);
    }
}
