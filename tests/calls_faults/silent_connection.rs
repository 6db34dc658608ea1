//! Calls over silent connections, with lost replies and to replaced or frozen endpoints.

use std::time::Duration;
use std::time::Instant;

use serde_json::Value;
use serde_json::json;

use crate::caller;
use crate::forwarder::FirstConnection;
use crate::forwarder::Forwarder;
use crate::history::Outcome;
use crate::history::check;
use crate::service_fixture::ServiceFixture;
use crate::support::Cluster;
use crate::support::until;
use bergamotfork::calls::Permit;
use bergamotfork::calls::PermitKey;
use bergamotfork::calls::PermitTarget;

/// Time within which an entry must abandon a silent connection and resolve the call.
const RESOLVE_LIMIT: Duration = Duration::from_secs(3);

fn body() -> Value {
    json!({"hut": 12, "night": "saturday"})
}

/// A copy of `permit` that reaches its endpoint through `forwarder`.
fn permit_through(forwarder: &Forwarder, permit: &Permit) -> Permit {
    let target = PermitTarget {
        endpoint: permit.endpoint.clone(),
        address: forwarder.address,
        incarnation: permit.incarnation,
        epoch: permit.epoch,
    };
    let key = PermitKey::derive(Cluster::SHARED_KEY);
    Permit::with_nonce(&key, target, &permit.branch, &permit.service, permit.nonce)
}

/// A request that the network delivers after the entry gave it up must not be executed, and a
/// resend of the call must get the same "not run".
#[actix_rt::test]
async fn call_request_held_back() {
    let fixture = ServiceFixture::start(1, 1, &[]).await;
    let permit = caller::request_permit(&fixture.entries[0])
        .await
        .expect("a permit");
    let forwarder = Forwarder::start(permit.address, FirstConnection::HoldRequest);
    let permit = permit_through(&forwarder, &permit);
    let started = Instant::now();
    let event = caller::send(&fixture.entries[0], "book", &body(), Some(&permit), 1).await;
    assert!(started.elapsed() < RESOLVE_LIMIT, "{:?}", started.elapsed());
    assert_eq!(event.outcome, Outcome::NotRun("withdrawn".to_owned()));
    forwarder.release();
    // Once a later call has been executed, the endpoint has also read the released request.
    let next = caller::request_permit(&fixture.entries[0])
        .await
        .expect("a permit");
    until("a later call runs", 10, async || {
        let later = caller::send(&fixture.entries[0], "book", &body(), Some(&next), 1).await;
        matches!(later.outcome, Outcome::Answer(_)).then_some(())
    })
    .await;
    let resent = caller::send(&fixture.entries[0], "book", &body(), Some(&permit), 2).await;
    assert_eq!(resent.outcome, Outcome::NotRun("withdrawn".to_owned()));
    let ledger = fixture.ledger().await;
    assert_eq!(check(&[event, resent], &ledger), []);
    assert_eq!(ledger.len(), 1);
}

/// An answer lost on a silent connection is fetched by the nonce of the permit, without a second
/// execution.
#[actix_rt::test]
async fn call_answer_dropped() {
    let fixture = ServiceFixture::start(1, 1, &[]).await;
    let permit = caller::request_permit(&fixture.entries[0])
        .await
        .expect("a permit");
    let forwarder = Forwarder::start(permit.address, FirstConnection::DropAnswer);
    let permit = permit_through(&forwarder, &permit);
    let started = Instant::now();
    let event = caller::send(&fixture.entries[0], "book", &body(), Some(&permit), 1).await;
    assert!(started.elapsed() < RESOLVE_LIMIT, "{:?}", started.elapsed());
    assert!(matches!(event.outcome, Outcome::Answer(_)), "{event:?}");
    let ledger = fixture.ledger().await;
    assert_eq!(check(&[event], &ledger), []);
    assert_eq!(ledger.len(), 1);
}

/// Idempotent calls are answered in time although one of two endpoints is frozen.
#[actix_rt::test]
async fn call_idempotent_with_frozen_endpoint() {
    let mut fixture = ServiceFixture::start(1, 2, &[]).await;
    fixture.cluster.process("desk-0").signal("STOP");
    for number in 0..6 {
        let started = Instant::now();
        let event = caller::send(&fixture.entries[0], "lookup", &json!(number), None, 1).await;
        assert!(started.elapsed() < RESOLVE_LIMIT, "{:?}", started.elapsed());
        assert!(matches!(event.outcome, Outcome::Answer(_)), "{event:?}");
    }
    fixture.cluster.process("desk-0").signal("CONT");
}

/// A call whose reply the service lost or mixed up has an unknown outcome on every send and is
/// never executed again.
#[actix_rt::test]
async fn call_reply_lost_at_service() {
    let fixture = ServiceFixture::start(2, 1, &[]).await;
    for fault in ["lose_reply", "crossed_reply"] {
        let url = fixture.service_url(0);
        fixture.cluster.set_faults(&url, &json!({ fault: 1 })).await;
        let permit = caller::request_permit(&fixture.entries[0])
            .await
            .expect("a permit");
        for (send_no, entry) in (1..).zip(&fixture.entries) {
            let event = caller::send(entry, "book", &body(), Some(&permit), send_no).await;
            assert_eq!(event.outcome, Outcome::Unknown("service_lost".to_owned()));
        }
        let key = permit.nonce.to_string();
        let executions = fixture
            .ledger()
            .await
            .iter()
            .filter(|execution| execution.key == key)
            .count();
        assert_eq!(executions, 1, "{fault}");
    }
}

/// After its endpoint was replaced, a call is "not run" only on the first send through the entry
/// that issued the permit; an earlier send may have been executed.
#[actix_rt::test]
async fn call_endpoint_replaced() {
    let mut fixture = ServiceFixture::start(2, 1, &[]).await;
    let first = caller::request_permit(&fixture.entries[0])
        .await
        .expect("a permit");
    let second = caller::request_permit(&fixture.entries[0])
        .await
        .expect("a permit");
    let other = caller::request_permit(&fixture.entries[1])
        .await
        .expect("a permit");
    fixture.cluster.process("desk-0").kill();
    fixture.cluster.restart("endpoint", "desk-0");
    until("the new endpoint is known", 20, async || {
        let permit = caller::request_permit(&fixture.entries[0]).await?;
        (permit.incarnation > first.incarnation).then_some(())
    })
    .await;
    let entry = &fixture.entries[0];
    let first_send = caller::send(entry, "book", &body(), Some(&first), 1).await;
    assert_eq!(first_send.outcome, Outcome::NotRun("replaced".to_owned()));
    let unknown = Outcome::Unknown("past_incarnation".to_owned());
    let resent = caller::send(entry, "book", &body(), Some(&second), 2).await;
    assert_eq!(resent.outcome, unknown);
    let foreign = caller::send(entry, "book", &body(), Some(&other), 1).await;
    assert_eq!(foreign.outcome, unknown);
    assert_eq!(fixture.ledger().await, []);
}

/// A frozen endpoint that resumes must not execute a call whose deadline has passed.
#[actix_rt::test]
async fn call_deadline_passed_at_frozen_endpoint() {
    let mut fixture = ServiceFixture::start(1, 1, &[]).await;
    let entry = fixture.entries[0].clone();
    let permit = caller::request_permit(&entry).await.expect("a permit");
    fixture.cluster.process("desk-0").signal("STOP");
    let late = caller::send_with_deadline(&entry, "book", &body(), Some(&permit), 1, 600).await;
    assert!(matches!(late.outcome, Outcome::Unknown(_)), "{late:?}");
    let frozen_since = Instant::now();
    until(
        "the endpoint stays frozen past the deadline",
        10,
        async || (frozen_since.elapsed() > Duration::from_secs(2)).then_some(()),
    )
    .await;
    fixture.cluster.process("desk-0").signal("CONT");
    fixture.wait_ready().await;
    assert_eq!(fixture.ledger().await, []);
    let resent = caller::send(&entry, "book", &body(), Some(&permit), 2).await;
    let ledger = fixture.ledger().await;
    assert_eq!(check(&[resent], &ledger), []);
    assert!(ledger.len() <= 1);
}
