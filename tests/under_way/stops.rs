//! Requests under way at an entry or endpoint that is stopped.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use actix_rt::time::sleep;
use serde_json::json;

use crate::kept_connection::KeptConnection;
use crate::system::Parts;
use crate::system::System;
use crate::system::assert_answered;
use crate::system::assert_whole;
use crate::system::call_body;
use crate::system::generate_body;

/// Callers that send one request after the other.
const CALLERS: usize = 6;

/// Time for which callers send requests before the stop.
const BEFORE_STOP: Duration = Duration::from_millis(300);

async fn start() -> System {
    let parts = Parts {
        engines: 2,
        desks: 2,
        service_args: &["--delay-ms", "20"],
        entry_settings: "drain_ms = 2000",
        endpoint_settings: "drain_ms = 1500",
    };
    System::start(parts).await
}

/// A request whose body arrives while the entry is stopped gets its answer.
#[actix_rt::test]
async fn stop_entry_while_body_arrives() {
    let mut system = start().await;
    let post = async |path: &str, body| {
        let connection = KeptConnection::open(&system.entry).expect("the entry listens");
        let pause = Duration::from_millis(1200);
        connection.post_in_parts(path, &body, pause).await.1
    };
    let call = call_body("lookup", &json!({"hut": 12}), None);
    let (answer, tokens, ()) = futures_util::join!(
        post("/v1/call", call),
        post("/v1/generate", generate_body("tides?", 5)),
        async {
            sleep(BEFORE_STOP).await;
            system.signal("entry-1", "TERM");
        }
    );
    assert_answered(&answer);
    assert_whole(&tokens, 5);
    assert_eq!(system.wait_for_exit("entry-1", 10).await, 0);
}

/// Callers on kept connections get an answer to each request until the entry closes theirs.
#[actix_rt::test]
async fn stop_entry_kept_connections_in_use() {
    let mut system = start().await;
    let callers = (0..CALLERS).map(|number| {
        let entry = system.entry.clone();
        actix_rt::spawn(async move {
            let mut connection = KeptConnection::open(&entry).expect("the entry listens");
            let mut answers = 0;
            loop {
                let (path, body) = match number % 2 {
                    0 => ("/v1/call", call_body("lookup", &json!({"hut": 12}), None)),
                    _ => ("/v1/generate", generate_body("tides?", 2)),
                };
                let (kept, answer) = connection.post(path, &body).await;
                let answer = answer.map_err(|cut| format!("{path} after {answers}: {cut}"))?;
                assert_eq!(answer.status, 200, "{}", answer.body);
                answers += 1;
                if answer.closes {
                    return Ok::<usize, String>(answers);
                }
                connection = kept;
            }
        })
    });
    let callers: Vec<_> = callers.collect();
    sleep(BEFORE_STOP).await;
    system.signal("entry-1", "TERM");
    for caller in callers {
        let answers = caller.await.expect("the caller runs");
        assert!(
            answers.as_ref().is_ok_and(|count| *count > 1),
            "{answers:?}"
        );
    }
    assert_eq!(system.wait_for_exit("entry-1", 10).await, 0);
}

/// A request that is longer than the drain ends with a refusal.
#[actix_rt::test]
async fn stop_entry_requests_longer_than_drain() {
    let mut system = start().await;
    let tokens = system.spawn_generate("tides?", 300);
    system.wait_for_stream_anywhere().await;
    for service in 0..2 {
        let faults = json!({"silent_reply": 1});
        let url = system.service_url(service);
        system.cluster.set_faults(&url, &faults).await;
    }
    let permit = system.permit().await;
    let body = json!({"hut": 12});
    let (answer, ()) = futures_util::join!(system.call("book", &body, Some(&permit)), async {
        sleep(BEFORE_STOP).await;
        system.signal("entry-1", "TERM");
    });
    let answer = answer.expect("there is an answer");
    assert!(answer.body.contains("\"unknown\""), "{}", answer.body);
    let tokens = tokens.await.expect("the caller runs").expect("an answer");
    let last = tokens.body.lines().last().expect("it has events");
    assert!(last.contains("\"stream_broken\""), "{last}");
    assert_eq!(system.wait_for_exit("entry-1", 10).await, 0);
}

/// Callers of other endpoints notice nothing of endpoints that stop.
#[actix_rt::test]
async fn stop_endpoints_under_load() {
    let mut system = start().await;
    let stop = Rc::new(Cell::new(false));
    let callers = (0..CALLERS).map(|number| {
        let entry = system.entry.clone();
        let stop = Rc::clone(&stop);
        actix_rt::spawn(async move {
            let mut connection = KeptConnection::open(&entry).expect("the entry listens");
            while !stop.get() {
                let (path, body) = match number % 2 {
                    0 => ("/v1/call", call_body("lookup", &json!({"hut": 12}), None)),
                    _ => ("/v1/generate", generate_body("tides?", 20)),
                };
                let (kept, answer) = connection.post(path, &body).await;
                match number % 2 {
                    0 => assert_answered(&answer),
                    _ => assert_whole(&answer, 20),
                }
                connection = kept;
            }
        })
    });
    let callers: Vec<_> = callers.collect();
    sleep(BEFORE_STOP).await;
    for name in ["engine-0", "desk-0"] {
        system.signal(name, "TERM");
        assert_eq!(system.wait_for_exit(name, 10).await, 0);
    }
    sleep(BEFORE_STOP).await;
    stop.set(true);
    for caller in callers {
        caller.await.expect("each request is answered");
    }
}

/// A request that is longer than the drain of its endpoint is resumed or sent elsewhere, or ends
/// with a refusal, and the endpoint ends in time.
#[actix_rt::test]
async fn stop_endpoints_requests_longer_than_drain() {
    let mut system = start().await;
    let tokens = system.spawn_generate("tides?", 120);
    let running = system.wait_for_stream_anywhere().await;
    let permit = system.permit().await;
    let desk = permit["endpoint"].as_str().expect("a name").to_owned();
    for service in 0..2 {
        let faults = json!({"silent_reply": 1});
        let url = system.service_url(service);
        system.cluster.set_faults(&url, &faults).await;
    }
    let body = json!({"hut": 12});
    let entry = system.entry.clone();
    let call = call_body("book", &body, Some(&permit));
    let book = actix_rt::spawn(async move {
        let connection = KeptConnection::open(&entry)?;
        connection.post("/v1/call", &call).await.1
    });
    sleep(BEFORE_STOP).await;
    for name in [&format!("engine-{running}"), &desk] {
        system.signal(name, "TERM");
    }
    assert_eq!(system.wait_for_exit(&desk, 3).await, 0);
    let name = format!("engine-{running}");
    assert_eq!(system.wait_for_exit(&name, 3).await, 0);
    let book = book.await.expect("the caller runs").expect("an answer");
    assert!(book.body.contains("\"still_running\""), "{}", book.body);
    assert_whole(&tokens.await.expect("the caller runs"), 120);
}

/// Idempotent calls that an endpoint hands back at the end of its drain are answered elsewhere,
/// however many they are; beyond the budget they ended with `endpoint_gone`.
#[actix_rt::test]
async fn stop_endpoint_hands_back_calls() {
    let parts = Parts {
        desks: 2,
        service_args: &["--delay-ms", "1500"],
        endpoint_settings: "drain_ms = 1000",
        ..Parts::default()
    };
    let mut system = System::start(parts).await;
    let body = json!({"hut": 12});
    let calls = (0..60).map(|_| system.call("lookup", &body, None));
    let (answers, ()) = futures_util::join!(futures_util::future::join_all(calls), async {
        sleep(BEFORE_STOP).await;
        system.signal("desk-0", "TERM");
    });
    for answer in &answers {
        assert_answered(answer);
    }
    assert_eq!(system.wait_for_exit("desk-0", 10).await, 0);
}

/// Calls under permits of an endpoint that stops are answered or did not run, up to its last
/// moment and after it.
#[actix_rt::test]
async fn stop_endpoint_permits_until_gone() {
    let parts = Parts {
        desks: 1,
        service_args: &["--delay-ms", "40"],
        endpoint_settings: "drain_ms = 1500",
        ..Parts::default()
    };
    let mut system = System::start(parts).await;
    let mut permits = Vec::new();
    while permits.len() < 150 {
        permits.push(system.permit().await);
    }
    let before = system.executions(0).await.len();
    let calls = permits.into_iter().enumerate().map(|(number, permit)| {
        let entry = system.entry.clone();
        actix_rt::spawn(async move {
            sleep(Duration::from_millis(10) * number as u32).await;
            let connection = KeptConnection::open(&entry)?;
            let call = call_body("book", &json!({"hut": number}), Some(&permit));
            connection.post("/v1/call", &call).await.1
        })
    });
    let calls: Vec<_> = calls.collect();
    sleep(BEFORE_STOP).await;
    system.signal("desk-0", "TERM");
    let mut answered = 0;
    for call in calls {
        let answer = call.await.expect("the caller runs").expect("an answer");
        match answer.status {
            200 => answered += 1,
            _ => assert!(answer.body.contains("\"not_run\""), "{}", answer.body),
        }
    }
    assert_eq!(system.executions(0).await.len(), before + answered);
    assert_eq!(system.wait_for_exit("desk-0", 10).await, 0);
}

/// What runs at an endpoint that stands still past the end of its drain is answered.
#[actix_rt::test]
async fn stop_endpoint_frozen_past_drain() {
    let parts = Parts {
        desks: 1,
        service_args: &["--delay-ms", "600"],
        endpoint_settings: "drain_ms = 1500",
        ..Parts::default()
    };
    let mut system = System::start(parts).await;
    let permit = system.permit().await;
    let before = system.executions(0).await.len();
    let body = json!({"hut": 12});
    let (book, lookup, ()) = futures_util::join!(
        system.call("book", &body, Some(&permit)),
        system.call("lookup", &body, None),
        async {
            system.wait_for_executions(0, before + 2).await;
            system.signal("desk-0", "TERM");
            sleep(Duration::from_millis(100)).await;
            system.freeze("desk-0", Duration::from_millis(1800)).await;
        }
    );
    assert_answered(&book);
    assert_answered(&lookup);
    assert_eq!(system.wait_for_exit("desk-0", 10).await, 0);
}
