//! Token streams under faults, as separate processes.

#[path = "../support/mod.rs"]
mod support;
mod world;

use std::time::Duration;
use std::time::Instant;

use crate::world::World;
use bergamotfork::links::LinkError;

/// Tokens of an answer that takes about two seconds.
const LONG: u32 = 60;

#[actix_rt::test]
async fn generate_without_replica_tells_when_to_come_back() {
    let world = World::start(0).await;
    let refused = world
        .ask("anyone?", 1)
        .await
        .expect_err("no replica is there");
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
    let mut world = World::start(2).await;
    let answer = world.start_asking("tides?", LONG);
    let serving = world.serving().await;
    world.process(serving).kill();
    world.check(&answer.await.expect("the caller waits"), "tides?", LONG);
}

#[actix_rt::test]
async fn generate_resumes_after_silence() {
    let mut world = World::start(2).await;
    let start = Instant::now();
    let answer = world.start_asking("tides?", LONG);
    let serving = world.serving().await;
    world.process(serving).signal("STOP");
    let answer = answer.await.expect("the caller waits");
    let took = start.elapsed();
    world.process(serving).signal("CONT");
    world.check(&answer, "tides?", LONG);
    assert!(took < Duration::from_secs(15), "{took:?}");
}

#[actix_rt::test]
async fn generate_outlives_planned_stop() {
    let mut world = World::start(2).await;
    let answer = world.start_asking("tides?", LONG);
    let serving = world.serving().await;
    world.process(serving).signal("TERM");
    for number in 0..10 {
        let prompt = format!("rule {number}?");
        let answer = world.ask(&prompt, 2).await.expect("a replica is left");
        world.check(&answer, &prompt, 2);
    }
    world.check(&answer.await.expect("the caller waits"), "tides?", LONG);
    world.started_once().await;
}

#[actix_rt::test]
async fn generate_is_cancelled_when_the_caller_goes() {
    let world = World::start(2).await;
    let answer = world.start_asking("tides?", 1000);
    world.serving().await;
    answer.abort();
    world.idle().await;
}

/// A prompt that kills every engine is refused after three deaths of the fleet.
#[actix_rt::test]
async fn generate_poison_is_refused_after_three_deaths() {
    let world = World::start(5).await;
    let innocent = world.start_asking("tides?", LONG);
    world.serving().await;
    let poison = "what [[crash]] is this?";
    for _ in 0..6 {
        let refused = world.ask(poison, 4).await;
        assert!(refused.is_err(), "no engine survives it");
    }
    let refused = world.ask(poison, 4).await.expect_err("it is refused");
    assert!(refused.to_string().contains("request_blocked"), "{refused}");
    assert!(world.engines_alive().await >= 2);
    world.check(&innocent.await.expect("the caller waits"), "tides?", LONG);
    let answer = world.ask("rules?", 4).await.expect("engines are left");
    world.check(&answer, "rules?", 4);
}
