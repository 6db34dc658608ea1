//! Checks the outcomes that callers observed against the executions of the services.

use std::fmt;

use serde_json::Value;

use bergamotfork::standin::service::Execution;

/// Outcome of one send as its caller observed it.
#[derive(Debug, Clone, PartialEq)]
pub enum Outcome {
    /// Answer of the service.
    Answer(Value),
    /// The call was not executed; holds the reason.
    NotRun(String),
    /// The entry does not know whether the call was executed; holds the reason.
    Unknown(String),
    /// The entry sent no valid answer in time.
    NoAnswer,
}

/// One send of a call and its outcome.
#[derive(Debug, Clone)]
pub struct SendRecord {
    /// Nonce of the permit, which is the idempotency key of the call.
    pub key: String,
    /// Body of the call.
    pub body: Value,
    /// Request id that the caller sent.
    pub request_id: String,
    /// Request id in the header of the answer; empty without an answer.
    pub echoed_id: String,
    pub outcome: Outcome,
}

/// A guarantee of the call contract that a history violates.
#[derive(Debug, Clone, PartialEq)]
pub enum Violation {
    ExecutedTwice { key: String },
    ExecutedThoughNotRun { key: String },
    WrongAnswer { key: String },
    CrossedAnswer { request_id: String },
}

impl fmt::Display for Violation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{self:?}")
    }
}

/// Returns each violation that the outcomes show against the executions in `ledger`.
pub fn check(events: &[SendRecord], ledger: &[Execution]) -> Vec<Violation> {
    let mut found = Vec::new();
    let mut keys: Vec<&str> = ledger.iter().map(|done| done.key.as_str()).collect();
    keys.sort_unstable();
    for pair in keys.windows(2) {
        if pair[0] == pair[1] {
            found.push(Violation::ExecutedTwice {
                key: pair[0].to_owned(),
            });
        }
    }
    for event in events {
        found.extend(check_event(event, &keys));
    }
    found
}

fn check_event(event: &SendRecord, keys: &[&str]) -> Option<Violation> {
    let key = event.key.clone();
    let was_executed = keys.binary_search(&key.as_str()).is_ok();
    match &event.outcome {
        Outcome::NotRun(_) if was_executed => Some(Violation::ExecutedThoughNotRun { key }),
        Outcome::Answer(_) if event.echoed_id != event.request_id => {
            Some(Violation::CrossedAnswer {
                request_id: event.request_id.clone(),
            })
        }
        Outcome::Answer(answer) if !was_executed || answer["echo"] != event.body => {
            Some(Violation::WrongAnswer { key })
        }
        _ => None,
    }
}

fn event(key: &str, outcome: Outcome) -> SendRecord {
    SendRecord {
        key: key.to_owned(),
        body: Value::from(1),
        request_id: "r".to_owned(),
        echoed_id: "r".to_owned(),
        outcome,
    }
}

fn execution(key: &str) -> Execution {
    Execution {
        key: key.to_owned(),
        path: "book".to_owned(),
        execution: 1,
    }
}

#[test]
fn check_finds_each_violation() {
    let answer = |echo: u32| Outcome::Answer(serde_json::json!({ "echo": echo }));
    let key = "a".to_owned();
    let good = event("a", answer(1));
    assert_eq!(check(std::slice::from_ref(&good), &[execution("a")]), []);
    let twice = check(&[], &[execution("a"), execution("a")]);
    assert_eq!(twice, [Violation::ExecutedTwice { key: key.clone() }]);
    let executed = check(
        &[event("a", Outcome::NotRun("x".to_owned()))],
        &[execution("a")],
    );
    assert_eq!(
        executed,
        [Violation::ExecutedThoughNotRun { key: key.clone() }]
    );
    let wrong = check(&[event("a", answer(2))], &[execution("a")]);
    assert_eq!(wrong, [Violation::WrongAnswer { key }]);
    let crossed = SendRecord {
        echoed_id: "other".to_owned(),
        ..good
    };
    let request_id = "r".to_owned();
    assert_eq!(
        check(&[crossed], &[execution("a")]),
        [Violation::CrossedAnswer { request_id }]
    );
}
