//! Silent connections, lost replies and replaced endpoints.

use std::time::Duration;
use std::time::Instant;

use serde_json::Value;
use serde_json::json;

use crate::caller;
use crate::desk::Desk;
use crate::forwarder::First;
use crate::forwarder::Forwarder;
use crate::history::Outcome;
use crate::history::check;
use crate::support::Cluster;
use crate::support::until;
use bergamotfork::calls::Permit;
use bergamotfork::calls::PermitKey;
use bergamotfork::calls::PermitTarget;

/// Time within which a silent connection must be left and the call resolved.
const SILENCE_LIMIT: Duration = Duration::from_secs(3);

fn body() -> Value {
    json!({"hut": 12, "night": "saturday"})
}

/// The permit, leading to the endpoint through `forwarder`.
fn through(forwarder: &Forwarder, permit: &Permit) -> Permit {
    let place = PermitTarget {
        endpoint: permit.endpoint.clone(),
        address: forwarder.address,
        incarnation: permit.incarnation,
        epoch: permit.epoch,
    };
    let key = PermitKey::derive(Cluster::SHARED_KEY);
    Permit::with_nonce(&key, place, &permit.branch, &permit.service, permit.nonce)
}

#[actix_rt::test]
async fn silence_request_held_is_not_run_for_good() {
    let desk = Desk::start(1, 1, &[]).await;
    let permit = caller::permit(&desk.entries[0]).await.expect("a permit");
    let forwarder = Forwarder::start(permit.address, First::HoldRequest);
    let permit = through(&forwarder, &permit);
    let started = Instant::now();
    let event = caller::send(&desk.entries[0], "book", &body(), Some(&permit), 1).await;
    assert!(started.elapsed() < SILENCE_LIMIT, "{:?}", started.elapsed());
    assert_eq!(event.outcome, Outcome::NotRun("withdrawn".to_owned()));
    forwarder.release();
    // A later call that has run shows that the endpoint has read the late one.
    let next = caller::permit(&desk.entries[0]).await.expect("a permit");
    until("a later call runs", 10, async || {
        let later = caller::send(&desk.entries[0], "book", &body(), Some(&next), 1).await;
        matches!(later.outcome, Outcome::Answer(_)).then_some(())
    })
    .await;
    let resent = caller::send(&desk.entries[0], "book", &body(), Some(&permit), 2).await;
    assert_eq!(resent.outcome, Outcome::NotRun("withdrawn".to_owned()));
    let ledger = desk.ledger().await;
    assert_eq!(check(&[event, resent], &ledger), []);
    assert_eq!(ledger.len(), 1);
}

#[actix_rt::test]
async fn silence_answer_dropped_is_fetched_by_nonce() {
    let desk = Desk::start(1, 1, &[]).await;
    let permit = caller::permit(&desk.entries[0]).await.expect("a permit");
    let forwarder = Forwarder::start(permit.address, First::DropAnswer);
    let permit = through(&forwarder, &permit);
    let started = Instant::now();
    let event = caller::send(&desk.entries[0], "book", &body(), Some(&permit), 1).await;
    assert!(started.elapsed() < SILENCE_LIMIT, "{:?}", started.elapsed());
    assert!(matches!(event.outcome, Outcome::Answer(_)), "{event:?}");
    let ledger = desk.ledger().await;
    assert_eq!(check(&[event], &ledger), []);
    assert_eq!(ledger.len(), 1);
}

#[actix_rt::test]
async fn silence_frozen_endpoint_leaves_lookups_going() {
    let mut desk = Desk::start(1, 2, &[]).await;
    desk.cluster.process("desk-0").signal("STOP");
    for number in 0..6 {
        let started = Instant::now();
        let event = caller::send(&desk.entries[0], "lookup", &json!(number), None, 1).await;
        assert!(started.elapsed() < SILENCE_LIMIT, "{:?}", started.elapsed());
        assert!(matches!(event.outcome, Outcome::Answer(_)), "{event:?}");
    }
    desk.cluster.process("desk-0").signal("CONT");
}

#[actix_rt::test]
async fn reply_lost_at_service_is_unknown_and_never_rerun() {
    let desk = Desk::start(2, 1, &[]).await;
    for fault in ["lose_reply", "crossed_reply"] {
        let url = desk.service_url(0);
        desk.cluster.set_faults(&url, &json!({ fault: 1 })).await;
        let permit = caller::permit(&desk.entries[0]).await.expect("a permit");
        for (send_no, entry) in (1..).zip(&desk.entries) {
            let event = caller::send(entry, "book", &body(), Some(&permit), send_no).await;
            assert_eq!(event.outcome, Outcome::Unknown("service_lost".to_owned()));
        }
        let key = permit.nonce.to_string();
        let runs = desk
            .ledger()
            .await
            .iter()
            .filter(|done| done.key == key)
            .count();
        assert_eq!(runs, 1, "{fault}");
    }
}

#[actix_rt::test]
async fn endpoint_replaced_is_not_run_on_first_send_only() {
    let mut desk = Desk::start(2, 1, &[]).await;
    let first = caller::permit(&desk.entries[0]).await.expect("a permit");
    let second = caller::permit(&desk.entries[0]).await.expect("a permit");
    let other = caller::permit(&desk.entries[1]).await.expect("a permit");
    desk.cluster.process("desk-0").kill();
    desk.cluster.restart("endpoint", "desk-0");
    until("the new endpoint is known", 20, async || {
        let permit = caller::permit(&desk.entries[0]).await?;
        (permit.incarnation > first.incarnation).then_some(())
    })
    .await;
    let entry = &desk.entries[0];
    let told = caller::send(entry, "book", &body(), Some(&first), 1).await;
    assert_eq!(told.outcome, Outcome::NotRun("replaced".to_owned()));
    let unknown = Outcome::Unknown("past_incarnation".to_owned());
    let resent = caller::send(entry, "book", &body(), Some(&second), 2).await;
    assert_eq!(resent.outcome, unknown);
    let foreign = caller::send(entry, "book", &body(), Some(&other), 1).await;
    assert_eq!(foreign.outcome, unknown);
    assert_eq!(desk.ledger().await, []);
}

#[actix_rt::test]
async fn frozen_endpoint_does_not_run_what_is_past_its_deadline() {
    let mut desk = Desk::start(1, 1, &[]).await;
    let entry = desk.entries[0].clone();
    let permit = caller::permit(&entry).await.expect("a permit");
    desk.cluster.process("desk-0").signal("STOP");
    let late = caller::send_within(&entry, "book", &body(), Some(&permit), 1, 600).await;
    assert!(matches!(late.outcome, Outcome::Unknown(_)), "{late:?}");
    let frozen = Instant::now();
    until(
        "the endpoint stays frozen past the deadline",
        10,
        async || (frozen.elapsed() > Duration::from_secs(2)).then_some(()),
    )
    .await;
    desk.cluster.process("desk-0").signal("CONT");
    desk.wait_ready().await;
    assert_eq!(desk.ledger().await, []);
    let resent = caller::send(&entry, "book", &body(), Some(&permit), 2).await;
    let ledger = desk.ledger().await;
    assert_eq!(check(&[resent], &ledger), []);
    assert!(ledger.len() <= 1);
}
