//! Requests that arrive late in the stop of an entry, and bodies that are late for it.

use std::time::Duration;
use std::time::Instant;

use actix_rt::task::JoinHandle;
use actix_rt::time::sleep;
use serde_json::Value;
use serde_json::json;

use crate::kept_connection::Answer;
use crate::kept_connection::KeptConnection;
use crate::system::Parts;
use crate::system::System;
use crate::system::assert_answered;
use crate::system::assert_whole;
use crate::system::call_body;
use crate::system::generate_body;

/// Pause between two requests of a caller.
const REQUEST_PAUSE: Duration = Duration::from_millis(50);

/// Time within which a refusal has to come that nobody else is asked for.
const AT_ONCE: Duration = Duration::from_millis(700);

async fn start(engines: usize, desks: usize, delay: &str, entry_settings: &str) -> System {
    let parts = Parts {
        engines,
        desks,
        service_args: &["--delay-ms", delay],
        entry_settings,
        ..Parts::default()
    };
    System::start(parts).await
}

/// Posts a request over a connection of its own; None if the entry accepts none.
fn spawn_post(
    entry: &str,
    path: &'static str,
    body: Value,
) -> Option<JoinHandle<(Result<Answer, String>, Duration)>> {
    let connection = KeptConnection::open(entry).ok()?;
    let started = Instant::now();
    Some(actix_rt::spawn(async move {
        let answer = connection.post(path, &body).await.1;
        (answer, started.elapsed())
    }))
}

/// Checks that an answer says that the request was not run, as the entry is leaving, and that
/// it came at once.
fn assert_refused(answer: &Result<Answer, String>, took: Duration) {
    let answer = answer.as_ref().expect("there is an answer");
    assert_eq!(answer.status, 503, "{}", answer.body);
    let body: Value = serde_json::from_str(&answer.body).expect("a refusal is JSON");
    assert_eq!(body["code"], "leaving", "{body}");
    assert!(took < AT_ONCE, "{took:?} {body}");
}

/// Calls that can't end before the drain does are refused at once and did not run; they ended
/// with `still_running` although nobody had begun them.
#[actix_rt::test]
async fn stop_entry_calls_sent_late() {
    let mut system = start(0, 2, "1200", "drain_ms = 2000").await;
    let mut permits = Vec::new();
    for _ in 0..3 {
        permits.push(system.permit().await);
    }
    let ran = async || system.executions(0).await.len() + system.executions(1).await.len();
    let before = ran().await;
    let lookup = || call_body("lookup", &json!({"hut": 12}), None);
    system.signal("entry-1", "TERM");
    let early = spawn_post(&system.entry, "/v1/call", lookup()).expect("it listens");
    sleep(Duration::from_millis(350)).await;
    let mut late = Vec::new();
    for permit in &permits {
        late.extend(spawn_post(&system.entry, "/v1/call", lookup()));
        let book = call_body("book", &json!({"hut": 12}), Some(permit));
        late.extend(spawn_post(&system.entry, "/v1/call", book));
        sleep(REQUEST_PAUSE).await;
    }
    assert!(late.len() >= 2, "{}", late.len());
    for caller in late {
        let (answer, took) = caller.await.expect("the caller runs");
        assert_refused(&answer, took);
        let answer = answer.expect("there is an answer");
        assert!(answer.body.contains("\"not_run\""), "{}", answer.body);
    }
    assert_answered(&early.await.expect("the caller runs").0);
    assert_eq!(ran().await, before + 1);
    assert_eq!(system.wait_for_exit("entry-1", 10).await, 0);
}

/// Streams that can't end before the drain does are refused at once, and those that can are
/// whole; they were begun and broken.
#[actix_rt::test]
async fn stop_entry_streams_sent_late() {
    let mut system = start(2, 0, "0", "drain_ms = 2000").await;
    for tokens in [5, 80] {
        assert_whole(&system.generate("tides?", tokens).await, tokens);
    }
    let entry = system.entry.clone();
    let post = |tokens| spawn_post(&entry, "/v1/generate", generate_body("tides?", tokens));
    system.signal("entry-1", "TERM");
    let mut callers = Vec::new();
    for _ in 0..8 {
        callers.extend(post(5).map(|caller| (5, caller)));
        callers.extend(post(80).map(|caller| (80, caller)));
        sleep(REQUEST_PAUSE).await;
    }
    assert!(callers.len() >= 12, "{}", callers.len());
    for (tokens, caller) in callers {
        let (answer, took) = caller.await.expect("the caller runs");
        match tokens {
            5 => assert_whole(&answer, 5),
            _ => assert_refused(&answer, took),
        }
    }
    assert_eq!(system.wait_for_exit("entry-1", 10).await, 0);
}

/// In a drain of nearly nothing each call is answered or refused truthfully, with nothing left
/// unknown; calls past its end were passed on and given up.
#[actix_rt::test]
async fn stop_entry_short_drain() {
    let mut system = start(0, 1, "20", "drain_ms = 600").await;
    let before = system.executions(0).await.len();
    system.signal("entry-1", "TERM");
    let mut callers = Vec::new();
    let started = Instant::now();
    while started.elapsed() < Duration::from_millis(450) {
        let body = call_body("lookup", &json!({"hut": 12}), None);
        callers.extend(spawn_post(&system.entry, "/v1/call", body));
        sleep(Duration::from_millis(10)).await;
    }
    assert!(callers.len() >= 20, "{}", callers.len());
    let mut answered = 0;
    for caller in callers {
        let (answer, took) = caller.await.expect("the caller runs");
        match &answer {
            Ok(whole) if whole.status == 200 => answered += 1,
            _ => assert_refused(&answer, took),
        }
    }
    assert_eq!(system.executions(0).await.len(), before + answered);
    assert!(answered > 0);
    assert_eq!(system.wait_for_exit("entry-1", 10).await, 0);
}

/// A request whose body is not whole at the end of the drain gets a refusal, also while its
/// caller goes on sending; its connection was cut.
#[actix_rt::test]
async fn stop_entry_body_later_than_drain() {
    let mut system = start(1, 1, "20", "drain_ms = 2000").await;
    let post = async |path: &str, body| {
        let connection = KeptConnection::open(&system.entry).expect("the entry listens");
        let pause = Duration::from_millis(50);
        connection.post_slowly(path, &body, pause).await
    };
    let long = json!({"note": "x".repeat(400)});
    let prompt = "x".repeat(400);
    let (call, tokens, ()) = futures_util::join!(
        post("/v1/call", call_body("lookup", &long, None)),
        post("/v1/generate", generate_body(&prompt, 5)),
        async {
            sleep(Duration::from_millis(300)).await;
            system.signal("entry-1", "TERM");
        }
    );
    for answer in [call, tokens] {
        assert_refused(&answer, Duration::ZERO);
    }
    assert_eq!(system.wait_for_exit("entry-1", 10).await, 0);
}

/// A connection whose stream ends within a stop, and whose answer did not say that it would be
/// closed, takes another request; it was closed under it.
#[actix_rt::test]
async fn stop_entry_connection_of_stream_kept() {
    let mut system = start(1, 1, "20", "drain_ms = 4000").await;
    let entry = system.entry.clone();
    let caller = actix_rt::spawn(async move {
        let connection = KeptConnection::open(&entry).expect("the entry listens");
        let body = generate_body("tides?", 40);
        let (kept, tokens) = connection.post("/v1/generate", &body).await;
        assert_whole(&tokens, 40);
        assert!(!tokens.expect("there is an answer").closes);
        let body = call_body("lookup", &json!({"hut": 12}), None);
        let (_, answer) = kept.post("/v1/call", &body).await;
        answer
    });
    system.wait_for_stream(0).await;
    system.signal("entry-1", "TERM");
    let answer = caller.await.expect("the caller runs");
    let answer = answer.expect("there is an answer");
    assert!(matches!(answer.status, 200 | 503), "{}", answer.body);
    assert!(answer.closes);
    assert_eq!(system.wait_for_exit("entry-1", 10).await, 0);
}

/// What has arrived while the entry stood still past the end of its drain is delivered; what has
/// not ends with a refusal.
#[actix_rt::test]
async fn stop_entry_frozen_past_drain() {
    let mut system = start(1, 1, "600", "drain_ms = 2000").await;
    let lookup = call_body("lookup", &json!({"hut": 12}), None);
    let post = |path, body| spawn_post(&system.entry, path, body).expect("it listens");
    let call = post("/v1/call", lookup);
    let short = post("/v1/generate", generate_body("tides?", 20));
    let long = post("/v1/generate", generate_body("tides?", 150));
    sleep(Duration::from_millis(150)).await;
    system.signal("entry-1", "TERM");
    sleep(Duration::from_millis(100)).await;
    system.freeze("entry-1", Duration::from_millis(2300)).await;
    assert_answered(&call.await.expect("the caller runs").0);
    assert_whole(&short.await.expect("the caller runs").0, 20);
    let long = long.await.expect("the caller runs").0.expect("an answer");
    let last = long.body.lines().last().expect("it has events");
    assert!(last.contains("\"stream_broken\""), "{last}");
    assert_eq!(system.wait_for_exit("entry-1", 10).await, 0);
}

/// A stop ends within its drain, also with a stream that is longer.
#[actix_rt::test]
async fn stop_entry_ends_within_drain() {
    let mut system = start(1, 0, "0", "drain_ms = 1400").await;
    let tokens = system.spawn_generate("tides?", 200);
    system.wait_for_stream(0).await;
    let idle = KeptConnection::open(&system.entry).expect("the entry listens");
    system.signal("entry-1", "TERM");
    let started = Instant::now();
    assert_eq!(system.wait_for_exit("entry-1", 10).await, 0);
    let took = started.elapsed();
    assert!(took < Duration::from_millis(1700), "{took:?}");
    idle.wait_for_close().await.expect("it is closed");
    let tokens = tokens.await.expect("the caller runs").expect("an answer");
    let last = tokens.body.lines().last().expect("it has events");
    assert!(last.contains("\"stream_broken\""), "{last}");
}
