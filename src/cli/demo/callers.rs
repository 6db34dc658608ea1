use std::cell::Cell;
use std::cell::RefCell;
use std::rc::Rc;

use actix_rt::task::JoinHandle;
use actix_rt::time::sleep;
use actix_web::http::Method;
use bytes::Bytes;
use serde::Deserialize;
use serde_json::Value;
use serde_json::json;

use super::fleet::SERVICE;
use super::operator::BOOKING_PATH;
use super::operator::BRANCH;
use super::operator::BRANCH_TOKEN;
use super::operator::LOOKUP_PATH;
use super::operator::MODEL;
use super::tally::Ending;
use super::tally::Tally;
use crate::calls::Permit;
use crate::clients::ServiceAnswer;
use crate::clients::StreamEvent;
use crate::links::HttpClient;
use crate::links::LinkError;
use crate::standin::engine::token_text;
use crate::weights::Digest;

const GENERATE_CALLERS: u64 = 6;
const LOOKUP_CALLERS: u64 = 2;
const BOOKING_CALLERS: u64 = 2;
const MAX_TOKENS: u32 = 12;

/// Number of the first and only send of a permit.
const FIRST_SEND: u32 = 1;

/// Time a caller allows for an answer.
const DEADLINE_MS: u64 = 5000;

/// Pause of a caller between two calls.
const PAUSE_MS: u64 = 20;

/// Callers of the branch, each sending one call after the other.
#[derive(Debug)]
pub struct Callers {
    shared: Rc<Shared>,
    tasks: Vec<JoinHandle<()>>,
}

#[derive(Debug)]
struct Shared {
    http: HttpClient,
    entries: Vec<String>,
    whole: Digest,
    stopping: Cell<bool>,
    tally: RefCell<Tally>,
}

#[derive(Debug, Clone, Copy)]
enum Kind {
    Generate,
    Lookup,
    Booking,
}

#[derive(Debug, Deserialize)]
struct Addresses {
    permits: Vec<Permit>,
}

impl Callers {
    /// Starts the callers against `entries`; right answers come from `whole`.
    pub fn start(entries: Vec<String>, whole: Digest) -> Self {
        let shared = Rc::new(Shared {
            http: HttpClient::to_platform(),
            entries,
            whole,
            stopping: Cell::new(false),
            tally: RefCell::default(),
        });
        let kinds = [
            (Kind::Generate, GENERATE_CALLERS),
            (Kind::Lookup, LOOKUP_CALLERS),
            (Kind::Booking, BOOKING_CALLERS),
        ];
        let mut tasks = Vec::new();
        for (kind, callers) in kinds {
            for number in 0..callers {
                let caller = Rc::clone(&shared).call_on(kind, number);
                tasks.push(actix_rt::spawn(caller));
            }
        }
        Self { shared, tasks }
    }

    /// Lets each caller finish its call; answers how all calls ended.
    pub async fn finish(self) -> Tally {
        self.shared.stopping.set(true);
        for task in self.tasks {
            task.await.expect("no caller panics");
        }
        self.shared.tally.take()
    }
}

impl Shared {
    async fn call_on(self: Rc<Self>, kind: Kind, caller: u64) {
        let mut number = 0;
        while !self.stopping.get() {
            number += 1;
            let entry = &self.entries[(caller + number) as usize % self.entries.len()];
            match kind {
                Kind::Generate => self.generate(entry, caller, number).await,
                Kind::Lookup => self.lookup(entry, number).await,
                Kind::Booking => self.book(entry, number).await,
            }
            sleep(std::time::Duration::from_millis(PAUSE_MS)).await;
        }
    }

    async fn generate(&self, entry: &str, caller: u64, number: u64) {
        let prompt = format!("caller {caller} asks question {number}");
        let body = json!({
            "branch": BRANCH,
            "model": MODEL,
            "prompt": prompt,
            "max_tokens": MAX_TOKENS,
            "seed": number,
            "deadline_ms": DEADLINE_MS,
        });
        let ending = match self.post(&format!("{entry}/v1/generate"), &body).await {
            Ok(answer) => check_tokens(&answer, self.whole, &prompt, number),
            Err(error) => ending_of(error),
        };
        self.tally.borrow_mut().generate.count(ending);
    }

    async fn lookup(&self, entry: &str, number: u64) {
        let asked = json!({ "hut": number });
        let body = json!({
            "branch": BRANCH,
            "service": SERVICE,
            "path": LOOKUP_PATH,
            "body": asked,
            "deadline_ms": DEADLINE_MS,
        });
        let ending = match self.post(&format!("{entry}/v1/call"), &body).await {
            Ok(answer) => check_echo(&answer, &asked),
            Err(error) => ending_of(error),
        };
        self.tally.borrow_mut().lookups.count(ending);
    }

    async fn book(&self, entry: &str, number: u64) {
        let Some(permit) = self.permit(entry).await else {
            let ending = Ending::Error("no_permit".to_owned());
            self.tally.borrow_mut().bookings.count(ending);
            return;
        };
        let asked = json!({ "hut": number, "day": "saturday" });
        let body = json!({
            "branch": BRANCH,
            "service": SERVICE,
            "path": BOOKING_PATH,
            "body": asked,
            "permit": permit,
            "send": FIRST_SEND,
            "deadline_ms": DEADLINE_MS,
        });
        let ending = match self.post(&format!("{entry}/v1/call"), &body).await {
            Ok(answer) => check_echo(&answer, &asked),
            Err(error) => ending_of(error),
        };
        self.count_booking(permit.nonce.to_string(), ending);
    }

    fn count_booking(&self, nonce: String, ending: Ending) {
        let mut tally = self.tally.borrow_mut();
        match &ending {
            Ending::Done => tally.booked.push(nonce),
            Ending::Error(code) if code == "not_run" => tally.not_run.push(nonce),
            Ending::Error(_) | Ending::Wrong(_) => {}
        }
        tally.bookings.count(ending);
    }

    async fn permit(&self, entry: &str) -> Option<Permit> {
        let url = format!("{entry}/v1/addresses?branch={BRANCH}&service={SERVICE}");
        let request = self
            .http
            .request(Method::GET, &url)
            .bearer_auth(BRANCH_TOKEN);
        let answer = HttpClient::send_and_read(request, Bytes::new(), DEADLINE_MS).await;
        let addresses: Addresses = serde_json::from_slice(&answer.ok()?).ok()?;
        addresses.permits.into_iter().next()
    }

    async fn post(&self, url: &str, body: &Value) -> Result<Bytes, LinkError> {
        let request = self
            .http
            .request(Method::POST, url)
            .bearer_auth(BRANCH_TOKEN)
            .insert_header(("content-type", "application/json"));
        HttpClient::send_and_read(request, body.to_string(), 2 * DEADLINE_MS).await
    }
}

/// A typed error keeps its code; a cut or silent connection has a name of its own.
fn ending_of(error: LinkError) -> Ending {
    let LinkError::Status { status, body, .. } = &error else {
        return Ending::Error("connection_broken".to_owned());
    };
    let body: Option<Value> = serde_json::from_str(body).ok();
    let code = body.as_ref().and_then(|body| body["code"].as_str());
    match code {
        Some(code) => Ending::Error(code.to_owned()),
        None => Ending::Wrong(format!("an answer of status {status} has no code")),
    }
}

fn check_echo(answer: &[u8], asked: &Value) -> Ending {
    match serde_json::from_slice::<ServiceAnswer>(answer) {
        Ok(answer) if answer.echo == *asked => Ending::Done,
        Ok(answer) => Ending::Wrong(format!("asked {asked} and was answered {}", answer.echo)),
        Err(error) => Ending::Wrong(format!("the service's answer is malformed: {error}")),
    }
}

/// Recomputes every token from the published weights.
fn check_tokens(answer: &[u8], whole: Digest, prompt: &str, seed: u64) -> Ending {
    let mut next = 0;
    for line in answer
        .split(|byte| *byte == b'\n')
        .filter(|line| !line.is_empty())
    {
        let event: StreamEvent = match serde_json::from_slice(line) {
            Ok(event) => event,
            Err(error) => return Ending::Wrong(format!("a line is malformed: {error}")),
        };
        match event {
            StreamEvent::Beat => {}
            StreamEvent::Token { index, text } => {
                if index != next || text != token_text(&whole, prompt, seed, index) {
                    return Ending::Wrong(format!("token {index} of {prompt:?} is wrong"));
                }
                next += 1;
            }
            StreamEvent::End {
                tokens,
                whole: from,
                ..
            } => {
                if tokens != MAX_TOKENS || tokens != next || from != whole {
                    return Ending::Wrong(format!("the answer to {prompt:?} is not whole"));
                }
                return Ending::Done;
            }
            StreamEvent::Error { code, .. } => return Ending::Error(format!("{code:?}")),
        }
    }
    Ending::Error("cut_off".to_owned())
}
