//! Concurrent callers while processes are killed, frozen and lose replies.

use std::cell::Cell;
use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

use actix_rt::time::sleep;
use actix_web::http::Method;
use rand::Rng;
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use serde_json::json;

use crate::caller;
use crate::history::Outcome;
use crate::history::SendRecord;
use crate::history::Violation;
use crate::history::check;
use crate::service_fixture::ServiceFixture;
use bergamotfork::clients::IDEMPOTENCY_KEY_HEADER;
use bergamotfork::links::HttpClient;

/// Number of concurrent callers.
const CALLERS: usize = 8;
/// Number of faults injected in turn.
const FAULTS: usize = 10;
/// Seed of the choice of faults.
const SEED: u64 = 11;

/// Pause after each fault; a frozen process stays frozen for twice as long.
const FAULT_PAUSE: Duration = Duration::from_millis(400);

/// Injects one random fault. Killed and frozen processes run again on return; faults that were
/// set on a stand-in stay set.
async fn inject_fault(fixture: &mut ServiceFixture, rng: &mut Pcg64Mcg) {
    let endpoint = rng.random_range(0..fixture.endpoints.len());
    let entry = rng.random_range(0..fixture.entries.len());
    let endpoint_name = format!("desk-{endpoint}");
    let entry_name = format!("entry-{entry}");
    let service = fixture.service_url(endpoint);
    let log = fixture.cluster.log_url();
    match rng.random_range(0..6) {
        0 => {
            fixture.cluster.process(&endpoint_name).kill();
            fixture.cluster.restart("endpoint", &endpoint_name);
        }
        1 => {
            fixture.cluster.process(&entry_name).kill();
            fixture.cluster.restart("entry", &entry_name);
        }
        2 => {
            fixture.cluster.process(&endpoint_name).signal("STOP");
            sleep(2 * FAULT_PAUSE).await;
            fixture.cluster.process(&endpoint_name).signal("CONT");
        }
        3 => {
            fixture.cluster.process(&entry_name).signal("STOP");
            sleep(2 * FAULT_PAUSE).await;
            fixture.cluster.process(&entry_name).signal("CONT");
        }
        4 => {
            fixture
                .cluster
                .set_faults(&service, &json!({"lose_reply": 2, "crossed_reply": 2}))
                .await
        }
        _ => {
            fixture
                .cluster
                .set_faults(&log, &json!({"down": true}))
                .await
        }
    }
    sleep(FAULT_PAUSE).await;
}

#[actix_rt::test]
async fn check_random_faults_under_load() {
    let mut fixture = ServiceFixture::start(3, 3, &["--delay-ms", "20"]).await;
    let events: Rc<RefCell<Vec<SendRecord>>> = Rc::default();
    let stop = Rc::new(Cell::new(false));
    let callers: Vec<_> = (0..CALLERS)
        .map(|caller| {
            let (entries, events, stop) = (fixture.entries.clone(), events.clone(), stop.clone());
            actix_rt::spawn(async move {
                let mut number = 0;
                while !stop.get() {
                    let body = json!({ "caller": caller, "booking": number });
                    let sends = caller::call_until_known(&entries, caller + number, &body, 4).await;
                    if sends.is_empty() {
                        sleep(Duration::from_millis(50)).await;
                    }
                    events.borrow_mut().extend(sends);
                    number += 1;
                }
            })
        })
        .collect();
    let mut rng = Pcg64Mcg::seed_from_u64(SEED);
    for _ in 0..FAULTS {
        inject_fault(&mut fixture, &mut rng).await;
    }
    stop.set(true);
    for caller in callers {
        caller.await.expect("the caller finishes");
    }
    let log = fixture.cluster.log_url();
    fixture.cluster.set_faults(&log, &json!({})).await;
    let events = events.take();
    let ledger = fixture.ledger().await;
    let count = |matches_outcome: fn(&Outcome) -> bool| {
        events
            .iter()
            .filter(|event| matches_outcome(&event.outcome))
            .count()
    };
    let answers = count(|outcome| matches!(outcome, Outcome::Answer(_)));
    let not_run = count(|outcome| matches!(outcome, Outcome::NotRun(_)));
    let unknown = count(|outcome| matches!(outcome, Outcome::Unknown(_)));
    let no_answer = count(|outcome| matches!(outcome, Outcome::NoAnswer));
    println!("answers {answers}, not run {not_run}, unknown {unknown}, no answer {no_answer}");
    assert_eq!(check(&events, &ledger), []);
    assert!(answers > 20, "only {answers} answers");
    assert!(unknown + no_answer > 0, "no fault reached a caller");
}

/// Guards against a checker that misses violations: a client that resends without a permit
/// after a lost reply has its call executed twice, which `check` must report.
#[actix_rt::test]
async fn check_blind_resend() {
    let fixture = ServiceFixture::start(1, 1, &[]).await;
    let service = fixture.service_url(0);
    fixture
        .cluster
        .set_faults(&service, &json!({"lose_reply": 1}))
        .await;
    for _ in 0..2 {
        let url = format!("{service}/v1/call/book");
        let request = HttpClient::to_platform()
            .request_on_new_connection(Method::POST, &url)
            .insert_header((IDEMPOTENCY_KEY_HEADER, "booking-1"));
        if HttpClient::send_and_read(request, "1", 2000).await.is_ok() {
            break;
        }
    }
    let key = "booking-1".to_owned();
    assert_eq!(
        check(&[], &fixture.ledger().await),
        [Violation::ExecutedTwice { key }]
    );
}
