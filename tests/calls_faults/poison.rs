//! A request that crashes each service that runs it.

use serde_json::json;

use crate::caller;
use crate::desk::Desk;
use crate::history::Outcome;
use crate::support::until;

/// Deaths the whole fleet may suffer from one request.
const MAX_DEATHS: usize = 3;

#[actix_rt::test]
async fn poison_is_refused_after_three_deaths() {
    let mut desk = Desk::start(3, 5, &["--may-crash"]).await;
    let entries = desk.entries.clone();
    let poison = json!({"text": "[[crash]]"});
    let mut refused = 0;
    for number in 0..30_usize {
        let events = caller::book(&entries, number, &poison, 2).await;
        let last = events.last().map(|event| event.outcome.clone());
        refused += usize::from(last == Some(Outcome::NotRun("crash_suspect".to_owned())));
    }
    let deaths = (0..5)
        .filter(|number| {
            let name = format!("desk-{number}-service");
            desk.cluster.process(&name).exit_code().is_some()
        })
        .count();
    assert_eq!(deaths, MAX_DEATHS);
    assert!(refused > 0, "the poison was never refused");
    let outcome = until("others are served", 10, async || {
        let events = caller::book(&entries, 0, &json!({"hut": 3}), 1).await;
        let event = events.into_iter().next()?;
        matches!(event.outcome, Outcome::Answer(_)).then_some(event)
    })
    .await;
    assert_eq!(outcome.body, json!({"hut": 3}));
}
