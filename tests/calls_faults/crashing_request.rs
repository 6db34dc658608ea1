//! A request that crashes every service that executes it is blocked before it takes down the fleet.

use serde_json::json;

use crate::caller;
use crate::history::Outcome;
use crate::service_fixture::ServiceFixture;
use crate::support::until;

/// Number of services that one request may crash in the whole fleet.
const MAX_CRASHES: usize = 3;

/// A request that crashed three services is refused, and other requests are still served.
#[actix_rt::test]
async fn call_crashing_request_refused() {
    let mut fixture = ServiceFixture::start(3, 5, &["--may-crash"]).await;
    let entries = fixture.entries.clone();
    let crashing_body = json!({"text": "[[crash]]"});
    let mut refused = 0;
    for number in 0..30_usize {
        let events = caller::call_until_known(&entries, number, &crashing_body, 2).await;
        let last = events.last().map(|event| event.outcome.clone());
        refused += usize::from(last == Some(Outcome::NotRun("crash_suspect".to_owned())));
    }
    let crashes = (0..5)
        .filter(|number| {
            let name = format!("desk-{number}-service");
            fixture.cluster.process(&name).exit_code().is_some()
        })
        .count();
    assert_eq!(crashes, MAX_CRASHES);
    assert!(refused > 0, "the crashing request was never refused");
    let served = until("other requests are served", 10, async || {
        let events = caller::call_until_known(&entries, 0, &json!({"hut": 3}), 1).await;
        let event = events.into_iter().next()?;
        matches!(event.outcome, Outcome::Answer(_)).then_some(event)
    })
    .await;
    assert_eq!(served.body, json!({"hut": 3}));
}
