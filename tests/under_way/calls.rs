//! Calls of a service whose only endpoint is silent for a while, and deadlines.

use std::time::Duration;

use actix_rt::time::sleep;
use serde_json::json;

use crate::kept_connection::KeptConnection;
use crate::support::until;
use crate::system::Parts;
use crate::system::System;
use crate::system::assert_answered;
use crate::system::call_body;

/// Silence that is longer than two waits of the entry for a silent connection.
const SILENCE: Duration = Duration::from_millis(2800);

async fn start(desks: usize, delay: &str) -> System {
    let parts = Parts {
        desks,
        service_args: &["--delay-ms", delay],
        ..Parts::default()
    };
    System::start(parts).await
}

/// Calls that run at their only endpoint when it falls silent, and calls that reach it then, are
/// answered when it goes on, and ran once.
#[actix_rt::test]
async fn call_silent_only_endpoint() {
    let system = start(1, "500").await;
    let (running_permit, waiting_permit) = (system.permit().await, system.permit().await);
    let before = system.executions(0).await.len();
    let body = json!({"hut": 12});
    let waiting = async {
        system.wait_for_executions(0, before + 2).await;
        system.signal("desk-0", "STOP");
        futures_util::join!(
            system.call("lookup", &body, None),
            system.call("book", &body, Some(&waiting_permit)),
            async {
                sleep(SILENCE).await;
                system.signal("desk-0", "CONT");
            }
        )
    };
    let (lookup, book, (later_lookup, later_book, ())) = futures_util::join!(
        system.call("lookup", &body, None),
        system.call("book", &body, Some(&running_permit)),
        waiting
    );
    for answer in [lookup, book, later_lookup, later_book] {
        assert_answered(&answer);
    }
    assert_eq!(system.executions(0).await.len(), before + 4);
}

/// A call whose only endpoint is killed has an outcome that is true, on a connection that stays
/// usable, and is not run again.
#[actix_rt::test]
async fn call_killed_only_endpoint() {
    let mut system = start(1, "1000").await;
    let permit = system.permit().await;
    let before = system.executions(0).await.len();
    let connection = KeptConnection::open(&system.entry).expect("the entry listens");
    let body = call_body("book", &json!({"hut": 12}), Some(&permit));
    let ((connection, answer), ()) =
        futures_util::join!(connection.post("/v1/call", &body), async {
            system.wait_for_executions(0, before + 1).await;
            system.signal("desk-0", "KILL");
        });
    let answer = answer.expect("there is an answer");
    assert!(answer.body.contains("\"endpoint_gone\""), "{}", answer.body);
    system.cluster.restart("endpoint", "desk-0");
    until("the call is known to be lost", 10, {
        let mut connection = Some(connection);
        async move || {
            let mut again = body.clone();
            again["send"] = json!(2);
            let kept = connection.take().expect("the last answer returned it");
            let (kept, answer) = kept.post("/v1/call", &again).await;
            connection = Some(kept);
            let answer = answer.expect("there is an answer");
            answer.body.contains("\"past_incarnation\"").then_some(())
        }
    })
    .await;
    assert_eq!(system.executions(0).await.len(), before + 1);
}

/// An answer that is ready at the deadline is sent, or a refusal, on a connection that stays
/// usable.
#[actix_rt::test]
async fn call_answer_at_deadline() {
    let system = start(1, "300").await;
    let mut connection = KeptConnection::open(&system.entry).expect("the entry listens");
    for deadline_ms in (290..320).step_by(3) {
        let mut body = call_body("lookup", &json!({"hut": 12}), None);
        body["deadline_ms"] = json!(deadline_ms);
        let (kept, answer) = connection.post("/v1/call", &body).await;
        let answer = answer.expect("there is an answer");
        assert!([200, 504].contains(&answer.status), "{}", answer.body);
        connection = kept;
    }
}

/// Idempotent calls that run at an endpoint when it is killed are answered by another one.
#[actix_rt::test]
async fn call_idempotent_killed_endpoint() {
    let system = start(2, "600").await;
    let body = json!({"hut": 12});
    let before = system.executions(0).await.len();
    let calls = (0..8).map(|_| system.call("lookup", &body, None));
    let (answers, ()) = futures_util::join!(futures_util::future::join_all(calls), async {
        system.wait_for_executions(0, before + 1).await;
        system.signal("desk-0", "KILL");
    });
    for answer in &answers {
        assert_answered(answer);
    }
}

/// A caller that closes its sending side after a request gets the answer.
#[actix_rt::test]
async fn call_half_closed_caller() {
    let system = start(1, "300").await;
    let connection = KeptConnection::open(&system.entry).expect("the entry listens");
    let body = call_body("lookup", &json!({"hut": 12}), None);
    assert_answered(&connection.post_and_shut("/v1/call", &body).await);
}

/// A caller whose body is too large gets the refusal, also if it sends for seconds before it
/// reads; its connection was reset under it.
#[actix_rt::test]
async fn call_body_too_large() {
    let system = start(1, "20").await;
    let body = call_body("lookup", &json!("x".repeat(3 << 20)), None);
    for pause_ms in [0, 500, 2500] {
        let connection = KeptConnection::open(&system.entry).expect("the entry listens");
        let pause = Duration::from_millis(pause_ms);
        let posted = connection.post_in_parts("/v1/call", &body, pause).await;
        let answer = posted
            .1
            .unwrap_or_else(|cut| panic!("{pause_ms} ms: {cut}"));
        assert_eq!(answer.status, 413, "{}", answer.body);
        assert!(answer.body.contains("body_too_large"), "{}", answer.body);
    }
}

/// A kept connection that is idle is open for 4 s at least, and is closed without a byte.
#[actix_rt::test]
async fn call_idle_connection() {
    let system = start(1, "20").await;
    let connection = KeptConnection::open(&system.entry).expect("the entry listens");
    let body = call_body("lookup", &json!({"hut": 12}), None);
    let (connection, first) = connection.post("/v1/call", &body).await;
    assert_answered(&first);
    sleep(Duration::from_secs(4)).await;
    let (connection, second) = connection.post("/v1/call", &body).await;
    assert_answered(&second);
    connection.wait_for_close().await.expect("it is closed");
}
