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

use super::call_results::CallResults;
use super::call_results::CallVerdict;
use super::fleet::SERVICE;
use super::operator::BOOKING_PATH;
use super::operator::BRANCH;
use super::operator::BRANCH_TOKEN;
use super::operator::LOOKUP_PATH;
use super::operator::MODEL;
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

/// Number of the send under a permit; the callers send each booking once.
const FIRST_SEND: u32 = 1;

/// Deadline of a call, in milliseconds.
const DEADLINE_MS: u64 = 5000;

/// Pause of a caller between two calls, in milliseconds.
const PAUSE_MS: u64 = 20;

/// Concurrent callers of the demonstration's branch; each sends one call at a time.
#[derive(Debug)]
pub struct Callers {
    state: Rc<CallerState>,
    tasks: Vec<JoinHandle<()>>,
}

/// State shared by all callers.
#[derive(Debug)]
struct CallerState {
    http: HttpClient,
    entries: Vec<String>,
    weights_digest: Digest,
    stopping: Cell<bool>,
    results: RefCell<CallResults>,
}

/// Kind of the calls that a caller sends.
#[derive(Debug, Clone, Copy)]
enum CallKind {
    Generate,
    Lookup,
    Booking,
}

/// Part of the answer of `GET /v1/addresses` that callers use.
#[derive(Debug, Deserialize)]
struct PermitsAnswer {
    permits: Vec<Permit>,
}

impl Callers {
    /// Starts the callers; they spread their calls over the base URLs in `entries`.
    ///
    /// `weights_digest` is the digest of the complete weights that must generate the tokens.
    pub fn start(entries: Vec<String>, weights_digest: Digest) -> Self {
        let state = Rc::new(CallerState {
            http: HttpClient::to_platform(),
            entries,
            weights_digest,
            stopping: Cell::new(false),
            results: RefCell::default(),
        });
        let kinds = [
            (CallKind::Generate, GENERATE_CALLERS),
            (CallKind::Lookup, LOOKUP_CALLERS),
            (CallKind::Booking, BOOKING_CALLERS),
        ];
        let mut tasks = Vec::new();
        for (kind, callers) in kinds {
            for number in 0..callers {
                let caller = Rc::clone(&state).run_caller(kind, number);
                tasks.push(actix_rt::spawn(caller));
            }
        }
        Self { state, tasks }
    }

    /// Waits until each caller has finished its call, and returns the outcomes of all calls.
    pub async fn finish(self) -> CallResults {
        self.state.stopping.set(true);
        for task in self.tasks {
            task.await.expect("no caller panics");
        }
        self.state.results.take()
    }
}

impl CallerState {
    /// Sends calls of one kind, alternating between the entries, until `stopping` is set.
    async fn run_caller(self: Rc<Self>, kind: CallKind, caller: u64) {
        let mut number = 0;
        while !self.stopping.get() {
            number += 1;
            let entry = &self.entries[(caller + number) as usize % self.entries.len()];
            match kind {
                CallKind::Generate => self.send_generate(entry, caller, number).await,
                CallKind::Lookup => self.send_lookup(entry, number).await,
                CallKind::Booking => self.send_booking(entry, number).await,
            }
            sleep(std::time::Duration::from_millis(PAUSE_MS)).await;
        }
    }

    async fn send_generate(&self, entry: &str, caller: u64, number: u64) {
        let prompt = format!("caller {caller} asks question {number}");
        let body = json!({
            "branch": BRANCH,
            "model": MODEL,
            "prompt": prompt,
            "max_tokens": MAX_TOKENS,
            "seed": number,
            "deadline_ms": DEADLINE_MS,
        });
        let verdict = match self.post(&format!("{entry}/v1/generate"), &body).await {
            Ok(answer) => check_tokens(&answer, self.weights_digest, &prompt, number),
            Err(error) => verdict_of_error(error),
        };
        self.results.borrow_mut().generate.record(verdict);
    }

    async fn send_lookup(&self, entry: &str, number: u64) {
        let sent_body = json!({ "hut": number });
        let body = json!({
            "branch": BRANCH,
            "service": SERVICE,
            "path": LOOKUP_PATH,
            "body": sent_body,
            "deadline_ms": DEADLINE_MS,
        });
        let verdict = match self.post(&format!("{entry}/v1/call"), &body).await {
            Ok(answer) => check_echo(&answer, &sent_body),
            Err(error) => verdict_of_error(error),
        };
        self.results.borrow_mut().lookups.record(verdict);
    }

    async fn send_booking(&self, entry: &str, number: u64) {
        let Some(permit) = self.request_permit(entry).await else {
            let verdict = CallVerdict::Error("no_permit".to_owned());
            self.results.borrow_mut().bookings.record(verdict);
            return;
        };
        let sent_body = json!({ "hut": number, "day": "saturday" });
        let body = json!({
            "branch": BRANCH,
            "service": SERVICE,
            "path": BOOKING_PATH,
            "body": sent_body,
            "permit": permit,
            "send": FIRST_SEND,
            "deadline_ms": DEADLINE_MS,
        });
        let verdict = match self.post(&format!("{entry}/v1/call"), &body).await {
            Ok(answer) => check_echo(&answer, &sent_body),
            Err(error) => verdict_of_error(error),
        };
        self.record_booking(permit.nonce.to_string(), verdict);
    }

    /// Records the verdict, and the nonce if the booking was answered or reported as not run.
    fn record_booking(&self, nonce: String, verdict: CallVerdict) {
        let mut results = self.results.borrow_mut();
        match &verdict {
            CallVerdict::Correct => results.booked.push(nonce),
            CallVerdict::Error(code) if code == "not_run" => results.not_run.push(nonce),
            CallVerdict::Error(_) | CallVerdict::Wrong(_) => {}
        }
        results.bookings.record(verdict);
    }

    /// Requests the permit for one booking; `None` when the entry grants none.
    async fn request_permit(&self, entry: &str) -> Option<Permit> {
        let url = format!("{entry}/v1/addresses?branch={BRANCH}&service={SERVICE}");
        let request = self
            .http
            .request(Method::GET, &url)
            .bearer_auth(BRANCH_TOKEN);
        let answer = HttpClient::send_and_read(request, Bytes::new(), DEADLINE_MS).await;
        let addresses: PermitsAnswer = serde_json::from_slice(&answer.ok()?).ok()?;
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

/// Verdict on a failed call: the code of the error answer, or `connection_broken`
/// when no answer came.
fn verdict_of_error(error: LinkError) -> CallVerdict {
    let LinkError::Status { status, body, .. } = &error else {
        return CallVerdict::Error("connection_broken".to_owned());
    };
    let body: Option<Value> = serde_json::from_str(body).ok();
    let code = body.as_ref().and_then(|body| body["code"].as_str());
    match code {
        Some(code) => CallVerdict::Error(code.to_owned()),
        None => CallVerdict::Wrong(format!("an answer with status {status} has no error code")),
    }
}

/// Checks that the service echoed the body of the call.
fn check_echo(answer: &[u8], sent_body: &Value) -> CallVerdict {
    match serde_json::from_slice::<ServiceAnswer>(answer) {
        Ok(answer) if answer.echo == *sent_body => CallVerdict::Correct,
        Ok(answer) => CallVerdict::Wrong(format!(
            "sent {sent_body}, but the service echoed {}",
            answer.echo
        )),
        Err(error) => CallVerdict::Wrong(format!("the service's answer is malformed: {error}")),
    }
}

/// Checks a token stream by recomputing every token from the digest of the weights.
fn check_tokens(answer: &[u8], weights_digest: Digest, prompt: &str, seed: u64) -> CallVerdict {
    let mut next = 0;
    for line in answer
        .split(|byte| *byte == b'\n')
        .filter(|line| !line.is_empty())
    {
        let event: StreamEvent = match serde_json::from_slice(line) {
            Ok(event) => event,
            Err(error) => return CallVerdict::Wrong(format!("malformed event: {error}")),
        };
        match event {
            StreamEvent::Beat => {}
            StreamEvent::Token { index, text } => {
                if index != next || text != token_text(&weights_digest, prompt, seed, index) {
                    return CallVerdict::Wrong(format!("token {index} of {prompt:?} is wrong"));
                }
                next += 1;
            }
            StreamEvent::End {
                tokens,
                whole: end_digest,
                ..
            } => {
                if tokens != MAX_TOKENS || tokens != next || end_digest != weights_digest {
                    return CallVerdict::Wrong(format!("the answer to {prompt:?} is incomplete"));
                }
                return CallVerdict::Correct;
            }
            StreamEvent::Error { code, .. } => return CallVerdict::Error(format!("{code:?}")),
        }
    }
    CallVerdict::Error("cut_off".to_owned())
}
