//! Planned stops of endpoints and entries under load.

use std::time::Duration;
use std::time::Instant;

use serde_json::json;

use crate::caller;
use crate::desk::Desk;
use crate::history::Outcome;
use crate::history::check;
use crate::support::until;

/// Time after which a leaving endpoint gets no new work.
const LEAVE_LIMIT: Duration = Duration::from_secs(3);

#[actix_rt::test]
async fn leaving_endpoint_finishes_calls_and_takes_none() {
    // The calls outlast the limit, so the endpoint still drains when it is checked.
    let mut desk = Desk::start(2, 2, &["--delay-ms", "4000"]).await;
    let entries = desk.entries.clone();
    let left = desk.endpoints[0].clone();
    let held = until("a permit of the endpoint", 10, async || {
        let permit = caller::permit(&entries[0]).await?;
        (permit.address.to_string() == left).then_some(permit)
    })
    .await;
    let calls = (0..12_usize).map(|number| {
        let entries = entries.clone();
        async move { caller::book(&entries, number, &json!({ "booking": number }), 1).await }
    });
    let running = actix_rt::spawn(futures_util::future::join_all(calls));
    until("calls run on both services", 10, async || {
        let ledger = desk.ledger().await;
        (ledger.len() == 12).then_some(())
    })
    .await;
    desk.cluster.process("desk-0").signal("TERM");
    let asked = Instant::now();
    for entry in &entries {
        until("only the other endpoint gets permits", 3, async || {
            let permit = caller::permit(entry).await?;
            let again = caller::permit(entry).await?;
            let addresses = [permit.address.to_string(), again.address.to_string()];
            (!addresses.contains(&left)).then_some(())
        })
        .await;
    }
    let late = caller::send(&entries[0], "book", &json!("late"), Some(&held), 1).await;
    assert!(asked.elapsed() < LEAVE_LIMIT);
    assert_eq!(late.outcome, Outcome::NotRun("leaving".to_owned()));
    assert_eq!(desk.cluster.process("desk-0").exit_code(), None);
    let mut events: Vec<_> = running.await.expect("the callers end").concat();
    assert_eq!(events.len(), 12);
    for event in &events {
        assert!(matches!(event.outcome, Outcome::Answer(_)), "{event:?}");
    }
    events.push(late);
    assert_eq!(check(&events, &desk.ledger().await), []);
    let ended = until("the endpoint ends", 15, async || {
        desk.cluster.process("desk-0").exit_code()
    })
    .await;
    assert_eq!(ended, 0);
}

#[actix_rt::test]
async fn leaving_entry_finishes_calls() {
    let mut desk = Desk::start(1, 1, &["--delay-ms", "1500"]).await;
    let entries = desk.entries.clone();
    let calls = (0..8_usize).map(|number| {
        let entries = entries.clone();
        async move { caller::book(&entries, number, &json!({ "booking": number }), 1).await }
    });
    let running = actix_rt::spawn(futures_util::future::join_all(calls));
    until("calls run", 10, async || {
        (desk.ledger().await.len() == 8).then_some(())
    })
    .await;
    desk.cluster.process("entry-0").signal("TERM");
    let events: Vec<_> = running.await.expect("the callers end").concat();
    assert_eq!(events.len(), 8);
    for event in &events {
        assert!(matches!(event.outcome, Outcome::Answer(_)), "{event:?}");
    }
    let ended = until("the entry ends", 15, async || {
        desk.cluster.process("entry-0").exit_code()
    })
    .await;
    assert_eq!(ended, 0);
}
