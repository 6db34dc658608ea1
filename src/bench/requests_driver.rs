use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;

use actix_rt::Arbiter;
use actix_rt::time::sleep_until;
use awc::Client;
use awc::Connector;
use futures_util::StreamExt;
use serde::Deserialize;
use serde_json::Value;
use serde_json::json;
use tokio::sync::oneshot;

use super::requests_model::MODEL;
use super::requests_model::TOKEN;
use super::requests_model::manifest_digest;
use super::requests_model::weights_digest;
use super::requests_policy::RequestsPolicy;
use super::requests_scenario::Arrival;
use super::requests_scenario::BRANCHES;
use super::requests_scenario::DEADLINE_MS;
use super::requests_scenario::WARM_UP_MS;
use super::requests_scenario::build_prompt;
use super::requests_tally::Outcome;
use super::requests_tally::Tally;
use crate::clients::LineBuffer;
use crate::standin::engine::token_text;

/// Token seed of every request.
const TOKEN_SEED: u64 = 7;

/// Time after the deadline of a request at which its caller stops waiting.
const LATE_ANSWER_WAIT: Duration = Duration::from_millis(3000);

/// Line of a streamed answer.
#[derive(Debug, Deserialize)]
#[serde(tag = "kind", rename_all = "snake_case")]
enum AnswerLine {
    Token { index: u32, text: String },
    Beat,
    End { tokens: u32 },
    Error { code: String },
}

/// Number of threads that send requests.
const DRIVER_THREADS: usize = 3;

/// Tally of each branch, shared by the driver threads.
pub(super) type Tallies = Arc<Mutex<Vec<Tally>>>;

/// Sends all `arrivals` from several threads, waits for the last answer and returns
/// the tally of each branch.
pub(super) async fn send_arrivals(
    policy: RequestsPolicy,
    entries: Vec<SocketAddr>,
    arrivals: Vec<Arrival>,
) -> Vec<Tally> {
    let tallies = Tallies::new(Mutex::new(vec![Tally::new(); BRANCHES.len()]));
    let start = Instant::now();
    let mut threads = Vec::new();
    for thread in 0..DRIVER_THREADS {
        let numbered = arrivals.iter().copied().enumerate();
        let thread_arrivals: Vec<(usize, Arrival)> =
            numbered.skip(thread).step_by(DRIVER_THREADS).collect();
        let (done, ended) = oneshot::channel::<()>();
        let (entries, tallies) = (entries.clone(), Arc::clone(&tallies));
        let arbiter = Arbiter::new();
        arbiter.spawn_fn(move || {
            actix_rt::spawn(async move {
                Driver::new(policy, entries, tallies)
                    .run(start, thread_arrivals)
                    .await;
                // The receiver is dropped when the run was cancelled.
                let _ = done.send(());
            });
        });
        threads.push((arbiter, ended));
    }
    for (arbiter, ended) in threads {
        ended.await.expect("no driver panics");
        arbiter.stop();
    }
    let tallies = tallies.lock().expect("no driver panics");
    tallies.clone()
}

/// Open-loop load generator: sends requests when they are due, however slow the
/// answers are.
#[derive(Clone)]
pub(super) struct Driver {
    client: Client,
    policy: RequestsPolicy,
    entries: Vec<SocketAddr>,
    tallies: Tallies,
}

/// Request of a caller.
#[derive(Debug, Clone, Copy)]
pub(super) struct BenchRequest<'a> {
    pub(super) branch: &'a str,
    pub(super) prompt: &'a str,
    /// Number of tokens to generate.
    pub(super) tokens: u32,
    pub(super) number: usize,
}

/// Result of one request as its caller observed it.
#[derive(Debug)]
pub(super) struct RequestResult {
    pub(super) outcome: Outcome,
    pub(super) first_token_at: Option<Instant>,
}

impl Driver {
    /// Creates a driver with a client that has no timeout and no connection limit.
    pub(super) fn new(policy: RequestsPolicy, entries: Vec<SocketAddr>, tallies: Tallies) -> Self {
        let client = Client::builder()
            .connector(Connector::new().limit(0))
            .disable_timeout()
            .finish();
        Self {
            client,
            policy,
            entries,
            tallies,
        }
    }

    /// Sends each arrival at its time after `start` and waits for all answers.
    async fn run(&self, start: Instant, arrivals: Vec<(usize, Arrival)>) {
        let mut sent = Vec::with_capacity(arrivals.len());
        for (number, arrival) in arrivals {
            let due = start + Duration::from_micros(arrival.at_us);
            sleep_until(due.into()).await;
            let this = self.clone();
            sent.push(actix_rt::spawn(async move {
                this.run_request(arrival, number, due).await;
            }));
        }
        for request in sent {
            request.await.expect("no request panics");
        }
    }

    /// Sends one request, waits for its answer and, after the warm-up, adds it to the tally.
    async fn run_request(&self, arrival: Arrival, number: usize, due: Instant) {
        let prompt = build_prompt(&arrival, number);
        let max_wait = Duration::from_millis(DEADLINE_MS) + LATE_ANSWER_WAIT;
        let request = BenchRequest {
            branch: BRANCHES[arrival.branch],
            prompt: &prompt,
            tokens: arrival.tokens,
            number,
        };
        let sending = self.send_to_entry(arrival.entry, &request);
        let answered = actix_rt::time::timeout(max_wait, sending).await;
        let result = answered.unwrap_or_else(|_| RequestResult {
            outcome: Outcome::Failed("no_answer".to_owned()),
            first_token_at: None,
        });
        let took = due.elapsed();
        let is_late = took > Duration::from_millis(DEADLINE_MS);
        let outcome = match result.outcome {
            Outcome::Done if is_late => Outcome::Failed("late".to_owned()),
            outcome => outcome,
        };
        if arrival.at_us < WARM_UP_MS * 1000 {
            return;
        }
        let first_token = result.first_token_at.map(|at| at - due);
        let mut tallies = self.tallies.lock().expect("no driver panics");
        tallies[arrival.branch].add(&outcome, first_token, took);
    }

    /// Sends one request to an entry and reads its answer.
    pub(super) async fn send_to_entry(
        &self,
        entry: usize,
        request: &BenchRequest<'_>,
    ) -> RequestResult {
        let address = self.entries[entry % self.entries.len()];
        let (path, body) = match self.policy {
            RequestsPolicy::Baseline => ("generate", engine_order(request)),
            RequestsPolicy::Product | RequestsPolicy::Both => {
                ("v1/generate", entry_request(request))
            }
        };
        self.send(&format!("http://{address}/{path}"), &body, request)
            .await
    }

    /// Sends one request directly to an engine and reads its answer.
    pub(super) async fn send_to_engine(
        &self,
        engine: SocketAddr,
        request: &BenchRequest<'_>,
    ) -> RequestResult {
        let body = engine_order(request);
        self.send(&format!("http://{engine}/v1/generate"), &body, request)
            .await
    }

    /// Posts `body` to `url` and reads the answer to `request`.
    async fn send(&self, url: &str, body: &Value, request: &BenchRequest<'_>) -> RequestResult {
        let http_request = self.client.post(url).bearer_auth(TOKEN);
        let mut first_token_at = None;
        let outcome = match http_request.send_json(body).await {
            Ok(mut response) if !response.status().is_success() => {
                let body = response.body().await.unwrap_or_default();
                let answer: Value = serde_json::from_slice(&body).unwrap_or_default();
                match answer["code"].as_str() {
                    Some(code) => Outcome::Refused(code.to_owned()),
                    None => Outcome::Failed(format!("status_{}", response.status().as_u16())),
                }
            }
            Ok(response) => {
                let lines = response.map(Result::ok);
                read_answer(lines, request, &mut first_token_at).await
            }
            Err(_) => Outcome::Failed("connection".to_owned()),
        };
        RequestResult {
            outcome,
            first_token_at,
        }
    }
}

/// Reads an answer and checks that it is complete and belongs to `request`; stores
/// the time of the first token.
async fn read_answer(
    mut chunks: impl StreamExt<Item = Option<bytes::Bytes>> + Unpin,
    request: &BenchRequest<'_>,
    first_token_at: &mut Option<Instant>,
) -> Outcome {
    let failed = |code: &str| Outcome::Failed(code.to_owned());
    let mut lines = LineBuffer::default();
    let mut next_index = 0;
    loop {
        let Some(line) = lines.next_line() else {
            match chunks.next().await.flatten() {
                Some(chunk) if lines.push(&chunk) => continue,
                _ => return failed("truncated"),
            }
        };
        match serde_json::from_slice(line) {
            Ok(AnswerLine::Token { index, text }) => {
                let expected =
                    token_text(&weights_digest(), request.prompt, TOKEN_SEED, next_index);
                if index != next_index || text != expected {
                    return failed("wrong_token");
                }
                first_token_at.get_or_insert_with(Instant::now);
                next_index += 1;
            }
            Ok(AnswerLine::Beat) => {}
            Ok(AnswerLine::End { tokens }) if tokens == request.tokens && next_index == tokens => {
                return Outcome::Done;
            }
            Ok(AnswerLine::Error { code }) if first_token_at.is_none() => {
                return Outcome::Refused(code);
            }
            Ok(AnswerLine::Error { code }) => return Outcome::Failed(code),
            Ok(AnswerLine::End { .. }) | Err(_) => return failed("wrong_answer"),
        }
    }
}

/// Body of a request to an engine or a baseline entry.
fn engine_order(request: &BenchRequest<'_>) -> Value {
    json!({
        "request_id": format!("request-{}", request.number),
        "model": MODEL,
        "manifest": manifest_digest(),
        "prompt": request.prompt,
        "max_tokens": request.tokens,
        "seed": TOKEN_SEED,
        "priority": 0,
        "resume_from": 0,
        "deadline_ms": DEADLINE_MS,
    })
}

/// Body of a request to an entry of the product.
fn entry_request(request: &BenchRequest<'_>) -> Value {
    json!({
        "branch": request.branch,
        "model": MODEL,
        "prompt": request.prompt,
        "max_tokens": request.tokens,
        "seed": TOKEN_SEED,
        "deadline_ms": DEADLINE_MS,
    })
}
