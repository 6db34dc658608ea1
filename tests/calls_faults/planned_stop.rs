//! Endpoints and entries that are stopped with SIGTERM under load finish their calls.

use std::time::Duration;
use std::time::Instant;

use serde_json::json;

use crate::caller;
use crate::history::Outcome;
use crate::history::check;
use crate::service_fixture::ServiceFixture;
use crate::support::until;

/// Time within which a leaving endpoint must stop receiving new calls.
const NO_NEW_CALLS_LIMIT: Duration = Duration::from_secs(3);

/// A stopped endpoint finishes its calls and takes no new ones, even with a permit issued before.
#[actix_rt::test]
async fn stop_endpoint_under_load() {
    // The calls take longer than the limit, so the endpoint is still draining when it is checked.
    let mut fixture = ServiceFixture::start(2, 2, &["--delay-ms", "4000"]).await;
    let entries = fixture.entries.clone();
    let stopped_endpoint = fixture.endpoints[0].clone();
    let held_permit = until("a permit for the endpoint", 10, async || {
        let permit = caller::request_permit(&entries[0]).await?;
        (permit.address.to_string() == stopped_endpoint).then_some(permit)
    })
    .await;
    let calls =
        (0..12_usize).map(|number| {
            let entries = entries.clone();
            async move {
                caller::call_until_known(&entries, number, &json!({ "booking": number }), 1).await
            }
        });
    let running = actix_rt::spawn(futures_util::future::join_all(calls));
    until("calls run on both services", 10, async || {
        let ledger = fixture.ledger().await;
        (ledger.len() == 12).then_some(())
    })
    .await;
    fixture.cluster.process("desk-0").signal("TERM");
    let stop_requested = Instant::now();
    for entry in &entries {
        until("only the other endpoint gets permits", 3, async || {
            let permit = caller::request_permit(entry).await?;
            let second = caller::request_permit(entry).await?;
            let addresses = [permit.address.to_string(), second.address.to_string()];
            (!addresses.contains(&stopped_endpoint)).then_some(())
        })
        .await;
    }
    let late = caller::send(&entries[0], "book", &json!("late"), Some(&held_permit), 1).await;
    assert!(stop_requested.elapsed() < NO_NEW_CALLS_LIMIT);
    assert_eq!(late.outcome, Outcome::NotRun("leaving".to_owned()));
    assert_eq!(fixture.cluster.process("desk-0").exit_code(), None);
    let mut events: Vec<_> = running.await.expect("the callers end").concat();
    assert_eq!(events.len(), 12);
    for event in &events {
        assert!(matches!(event.outcome, Outcome::Answer(_)), "{event:?}");
    }
    events.push(late);
    assert_eq!(check(&events, &fixture.ledger().await), []);
    let exit_code = until("the endpoint ends", 15, async || {
        fixture.cluster.process("desk-0").exit_code()
    })
    .await;
    assert_eq!(exit_code, 0);
}

/// A stopped entry finishes its calls before it exits.
#[actix_rt::test]
async fn stop_entry_under_load() {
    let mut fixture = ServiceFixture::start(1, 1, &["--delay-ms", "1500"]).await;
    let entries = fixture.entries.clone();
    let calls =
        (0..8_usize).map(|number| {
            let entries = entries.clone();
            async move {
                caller::call_until_known(&entries, number, &json!({ "booking": number }), 1).await
            }
        });
    let running = actix_rt::spawn(futures_util::future::join_all(calls));
    until("calls run", 10, async || {
        (fixture.ledger().await.len() == 8).then_some(())
    })
    .await;
    fixture.cluster.process("entry-0").signal("TERM");
    let events: Vec<_> = running.await.expect("the callers end").concat();
    assert_eq!(events.len(), 8);
    for event in &events {
        assert!(matches!(event.outcome, Outcome::Answer(_)), "{event:?}");
    }
    let exit_code = until("the entry ends", 15, async || {
        fixture.cluster.process("entry-0").exit_code()
    })
    .await;
    assert_eq!(exit_code, 0);
}
