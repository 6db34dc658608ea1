//! What callers saw and what services ran, and the checker that compares them.

use std::fmt;

use serde_json::Value;

use bergamotfork::standin::service::Execution;

/// How one send ended, as its caller saw it.
#[derive(Debug, Clone, PartialEq)]
pub enum Outcome {
    /// An answer of the service.
    Answer(Value),
    /// "Not run", with its reason.
    NotRun(String),
    /// Unknown, with its reason.
    Unknown(String),
    /// The connection to the entry gave no answer.
    NoAnswer,
}

/// One send of one permit.
#[derive(Debug, Clone)]
pub struct Event {
    /// Nonce of the permit.
    pub key: String,
    /// Body of the call.
    pub body: Value,
    /// The caller's request id.
    pub request_id: String,
    /// Request id in the head of the answer.
    pub echoed_id: String,
    pub outcome: Outcome,
}

/// A promise that a history breaks.
#[derive(Debug, Clone, PartialEq)]
pub enum Violation {
    RanTwice { key: String },
    RanThoughNotRun { key: String },
    WrongAnswer { key: String },
    CrossedAnswer { request_id: String },
}

impl fmt::Display for Violation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{self:?}")
    }
}

/// Compares what callers saw with the ledgers of the services.
pub fn check(events: &[Event], ledger: &[Execution]) -> Vec<Violation> {
    let mut found = Vec::new();
    let mut keys: Vec<&str> = ledger.iter().map(|done| done.key.as_str()).collect();
    keys.sort_unstable();
    for pair in keys.windows(2) {
        if pair[0] == pair[1] {
            found.push(Violation::RanTwice {
                key: pair[0].to_owned(),
            });
        }
    }
    for event in events {
        found.extend(check_event(event, &keys));
    }
    found
}

fn check_event(event: &Event, keys: &[&str]) -> Option<Violation> {
    let key = event.key.clone();
    let ran = keys.binary_search(&key.as_str()).is_ok();
    match &event.outcome {
        Outcome::NotRun(_) if ran => Some(Violation::RanThoughNotRun { key }),
        Outcome::Answer(_) if event.echoed_id != event.request_id => {
            Some(Violation::CrossedAnswer {
                request_id: event.request_id.clone(),
            })
        }
        Outcome::Answer(answer) if !ran || answer["echo"] != event.body => {
            Some(Violation::WrongAnswer { key })
        }
        _ => None,
    }
}

fn event(key: &str, outcome: Outcome) -> Event {
    Event {
        key: key.to_owned(),
        body: Value::from(1),
        request_id: "r".to_owned(),
        echoed_id: "r".to_owned(),
        outcome,
    }
}

fn ran(key: &str) -> Execution {
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
    assert_eq!(check(std::slice::from_ref(&good), &[ran("a")]), []);
    let twice = check(&[], &[ran("a"), ran("a")]);
    assert_eq!(twice, [Violation::RanTwice { key: key.clone() }]);
    let lie = check(&[event("a", Outcome::NotRun("x".to_owned()))], &[ran("a")]);
    assert_eq!(lie, [Violation::RanThoughNotRun { key: key.clone() }]);
    let wrong = check(&[event("a", answer(2))], &[ran("a")]);
    assert_eq!(wrong, [Violation::WrongAnswer { key }]);
    let crossed = Event {
        echoed_id: "other".to_owned(),
        ..good
    };
    let request_id = "r".to_owned();
    assert_eq!(
        check(&[crossed], &[ran("a")]),
        [Violation::CrossedAnswer { request_id }]
    );
}
