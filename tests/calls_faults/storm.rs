//! Concurrent callers while processes die, freeze and lose replies.

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
use crate::desk::Desk;
use crate::history::Event;
use crate::history::Outcome;
use crate::history::Violation;
use crate::history::check;
use bergamotfork::clients::IDEMPOTENCY_KEY_HEADER;
use bergamotfork::links::HttpClient;

const CALLERS: usize = 8;
const FAULTS: usize = 10;
const SEED: u64 = 11;

/// Pause between two faults.
const FAULT_PAUSE: Duration = Duration::from_millis(400);

async fn one_fault(desk: &mut Desk, rng: &mut Pcg64Mcg) {
    let endpoint = rng.random_range(0..desk.endpoints.len());
    let entry = rng.random_range(0..desk.entries.len());
    let desk_name = format!("desk-{endpoint}");
    let entry_name = format!("entry-{entry}");
    let service = desk.service_url(endpoint);
    let log = desk.cluster.log_url();
    match rng.random_range(0..6) {
        0 => {
            desk.cluster.process(&desk_name).kill();
            desk.cluster.restart("endpoint", &desk_name);
        }
        1 => {
            desk.cluster.process(&entry_name).kill();
            desk.cluster.restart("entry", &entry_name);
        }
        2 => {
            desk.cluster.process(&desk_name).signal("STOP");
            sleep(2 * FAULT_PAUSE).await;
            desk.cluster.process(&desk_name).signal("CONT");
        }
        3 => {
            desk.cluster.process(&entry_name).signal("STOP");
            sleep(2 * FAULT_PAUSE).await;
            desk.cluster.process(&entry_name).signal("CONT");
        }
        4 => {
            desk.cluster
                .set_faults(&service, &json!({"lose_reply": 2, "crossed_reply": 2}))
                .await
        }
        _ => desk.cluster.set_faults(&log, &json!({"down": true})).await,
    }
    sleep(FAULT_PAUSE).await;
}

#[actix_rt::test]
async fn storm_keeps_every_promise() {
    let mut desk = Desk::start(3, 3, &["--delay-ms", "20"]).await;
    let events: Rc<RefCell<Vec<Event>>> = Rc::default();
    let stop = Rc::new(Cell::new(false));
    let callers: Vec<_> = (0..CALLERS)
        .map(|caller| {
            let (entries, events, stop) = (desk.entries.clone(), events.clone(), stop.clone());
            actix_rt::spawn(async move {
                let mut number = 0;
                while !stop.get() {
                    let body = json!({ "caller": caller, "booking": number });
                    let seen = caller::book(&entries, caller + number, &body, 4).await;
                    if seen.is_empty() {
                        sleep(Duration::from_millis(50)).await;
                    }
                    events.borrow_mut().extend(seen);
                    number += 1;
                }
            })
        })
        .collect();
    let mut rng = Pcg64Mcg::seed_from_u64(SEED);
    for _ in 0..FAULTS {
        one_fault(&mut desk, &mut rng).await;
    }
    stop.set(true);
    for caller in callers {
        caller.await.expect("a caller ends");
    }
    let log = desk.cluster.log_url();
    desk.cluster.set_faults(&log, &json!({})).await;
    let events = events.take();
    let ledger = desk.ledger().await;
    let count = |is: fn(&Outcome) -> bool| events.iter().filter(|event| is(&event.outcome)).count();
    let answers = count(|outcome| matches!(outcome, Outcome::Answer(_)));
    let not_run = count(|outcome| matches!(outcome, Outcome::NotRun(_)));
    let unknown = count(|outcome| matches!(outcome, Outcome::Unknown(_)));
    let silent = count(|outcome| matches!(outcome, Outcome::NoAnswer));
    println!("answers {answers}, not run {not_run}, unknown {unknown}, no answer {silent}");
    assert_eq!(check(&events, &ledger), []);
    assert!(answers > 20, "only {answers} answers");
    assert!(unknown + silent > 0, "no fault reached a caller");
}

/// The same checker over a client that resends whenever it hears nothing.
#[actix_rt::test]
async fn storm_blind_resend_is_caught() {
    let desk = Desk::start(1, 1, &[]).await;
    let service = desk.service_url(0);
    desk.cluster
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
        check(&[], &desk.ledger().await),
        [Violation::RanTwice { key }]
    );
}
