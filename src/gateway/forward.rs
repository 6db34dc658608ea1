use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use tokio::time::Instant;

use crate::calls::Standing;
use crate::fleet::Admission;
use crate::fleet::AdmissionInput;
use crate::fleet::Replica;
use crate::fleet::ReplicaKey;
use crate::fleet::RouteKind;
use crate::fleet::admit;
use crate::gateway::Dialect;
use crate::gateway::GatewayState;
use crate::gateway::SendFacts;
use crate::gateway::exchange;
use crate::gateway::exchange::Answer;
use crate::gateway::exchange::Sent;
use crate::gateway::own_answer::outcome_of;
use crate::gateway::own_answer::own_answer;
use crate::gateway::relay::StreamEnd;
use crate::gateway::relay::StreamRelay;
use crate::gateway::relay::StreamWatch;
use crate::gateway::relay::answer_head;
use crate::gateway::request::Request;
use crate::http1::Connection;
use crate::observe::Event;
use crate::observe::LogLine;
use crate::observe::Metrics;

/// Connections that may fail to open before a request is given up.
const MAX_UNREACHABLE: u32 = 4;

/// Silence before the first event after which a repeatable stream is sent to
/// another replica: several targets, and less than a client's patience.
const FIRST_EVENT_PATIENCE: Duration = Duration::from_millis(1_600);

/// Silence within a stream after which its replica is given up, if no report of
/// it comes either.
const DARK_SILENCE: Duration = Duration::from_millis(800);

/// Silence within a stream after which its connection is given up in any case.
const STREAM_SILENCE: Duration = Duration::from_millis(1_500);

/// Longest wait for a plain repeatable answer before another replica is asked.
const ANSWER_PATIENCE: Duration = Duration::from_millis(900);

/// Pause that a refused client is told when no replica can be used, in ms.
const RETRY_AFTER_FAULT_MS: u64 = 500;

/// Whether a client's connection can be used again.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Next {
    /// For a further request.
    Keep,
    /// No.
    Close,
}

/// Forwards requests on behalf of one entry process.
#[derive(Debug)]
pub struct Gateway<D> {
    /// What the process knows.
    pub state: Rc<RefCell<GatewayState>>,
    /// The wire.
    pub dialect: Rc<D>,
    /// Counters.
    pub metrics: Rc<Metrics>,
}

impl<D> Clone for Gateway<D> {
    fn clone(&self) -> Self {
        Self {
            state: self.state.clone(),
            dialect: self.dialect.clone(),
            metrics: self.metrics.clone(),
        }
    }
}

/// Where a request goes.
#[derive(Debug)]
struct Place {
    key: ReplicaKey,
    id: String,
    address: SocketAddr,
    predicted_ms: f64,
    weights_version: Option<u64>,
    load_age_ms: Option<u64>,
    begin_within_ms: Option<u64>,
}

/// The final answer to a request, for its log line.
#[derive(Debug)]
struct Ending<'a> {
    status: u16,
    cause: &'a str,
    retry_after_ms: Option<u64>,
}

/// Counts a request at a replica for as long as it lives.
struct Visit<'a> {
    state: &'a RefCell<GatewayState>,
    key: ReplicaKey,
    ticket: u64,
}

impl StreamWatch for Visit<'_> {
    fn first_event(&self) {
        let mut state = self.state.borrow_mut();
        let now_ms = state.now_ms();
        state.replicas.began(self.key, self.ticket, now_ms);
    }

    fn is_lost(&self, silence: Duration) -> bool {
        if silence >= STREAM_SILENCE {
            return true;
        }
        let state = self.state.borrow();
        let replica = state.replicas.get(self.key);
        let is_dark = replica.is_gone
            || replica
                .fresh_load(state.now_ms())
                .is_some_and(|load| !load.is_up);
        silence >= DARK_SILENCE && is_dark
    }
}

impl Drop for Visit<'_> {
    fn drop(&mut self) {
        let mut state = self.state.borrow_mut();
        let now_ms = state.now_ms();
        state.replicas.ended(self.key, self.ticket, now_ms);
    }
}

/// What was learned from the sends of one request so far.
#[derive(Debug, Default)]
struct Progress {
    unreachable: u32,
    may_have_run: bool,
    fallback: Option<Answer>,
    last_cause: &'static str,
    replica: String,
}

impl<D: Dialect> Gateway<D> {
    /// Forwards one request and answers its client.
    pub async fn forward(&self, client: &mut Connection, mut request: Request) -> Next {
        let mut relay = StreamRelay::new(request.facts.last_event_id, request.until);
        let mut progress = Progress::default();
        if self.is_refused_suspect(&request) {
            let ending = Ending {
                status: 503,
                cause: "crash_suspect",
                retry_after_ms: Some(request.left_ms() / 3),
            };
            return self.end(client, &request, &progress, ending).await;
        }
        loop {
            let place = match self.place(&request, relay.has_begun()) {
                Ok(place) => place,
                Err((cause, retry_after_ms)) => {
                    return self
                        .give_up(client, &request, &relay, progress, cause, retry_after_ms)
                        .await;
                }
            };
            progress.replica.clone_from(&place.id);
            let visit = self.begin(&mut request, &place);
            let sent = self.send(client, &request, &relay, &place).await;
            let Some(sent) = sent else {
                drop(visit);
                return self.client_left(&request, &progress);
            };
            let answered = self.take_outcome(&mut request, &place, sent, &mut progress);
            match answered {
                None => drop(visit),
                Some(Sent::Answer(answer)) => {
                    drop(visit);
                    return self.answer(client, &request, &progress, answer).await;
                }
                Some(Sent::Stream(stream)) => {
                    let close = self.closes(&request);
                    let end = relay.pump(client, stream, close, &visit).await;
                    drop(visit);
                    if let Some(next) =
                        self.stream_ended(&request, &place, &relay, end, &mut progress)
                    {
                        return next;
                    }
                }
                Some(_) => unreachable!("only answers are handed on"),
            }
            if !self.may_resend(&request, &progress) {
                let cause = progress.last_cause;
                return self
                    .give_up(
                        client,
                        &request,
                        &relay,
                        progress,
                        cause,
                        RETRY_AFTER_FAULT_MS,
                    )
                    .await;
            }
        }
    }

    fn is_refused_suspect(&self, request: &Request) -> bool {
        let state = self.state.borrow();
        state.suspects.standing(request.fingerprint, state.now_ms()) == Standing::Refused
    }

    /// Chooses a replica, or tells why there is none and when to come back.
    fn place(&self, request: &Request, has_begun: bool) -> Result<Place, (&'static str, u64)> {
        let mut state = self.state.borrow_mut();
        let seed = state.random();
        let now_ms = state.now_ms();
        let model = request.facts.model.as_deref();
        let required = model.and_then(|model| state.required_version(model));
        let expected = model.and_then(|model| state.expected_version(model));
        let service = request.catalog.service(&request.service);
        let mut usable: Vec<(ReplicaKey, &Replica)> = state
            .replicas
            .listed()
            .filter(|(key, replica)| {
                replica.record.service == request.service
                    && replica.is_usable(now_ms)
                    && !request.tried.contains(key)
                    && model.is_none_or(|model| {
                        let version = replica.weights_version(model, now_ms);
                        version > 0 && version >= required.unwrap_or(0)
                    })
            })
            .collect();
        if let (Some(model), Some(expected)) = (model, expected) {
            usable.retain(|(_, replica)| {
                replica.weights_version(model, now_ms) >= expected
                    || replica.has_free_slots(0.0, now_ms)
            });
        }
        // What the others send goes to the replicas that have room.
        let open = usable.iter().filter(|(_, r)| r.has_free_slots(0.0, now_ms));
        let sharers = match open.count() {
            0 => usable.len().max(1),
            open => open,
        };
        let others_per_ms = state.others_demand_per_ms(&request.service) / sharers as f64;
        if let (Some(model), Some(expected)) = (model, expected) {
            usable.retain(|(_, replica)| {
                replica.weights_version(model, now_ms) >= expected
                    || replica.has_free_slots(others_per_ms, now_ms)
            });
        }
        let admission = admit(&AdmissionInput {
            now_ms,
            replicas: &usable,
            engine: service.and_then(|service| service.engine.as_ref()),
            failure_domain: &state.settings.failure_domain,
            entries: state.entry_count(),
            others_per_ms,
            prompt_tokens: request.facts.prompt_tokens,
            waited_ms: request.waited_ms(),
            is_return: request.waited_before_ms > 0,
            has_begun,
            target_ms: request.route.target_ms,
            left_ms: request.left_ms(),
            seed,
        });
        match admission {
            Admission::Send {
                replica: key,
                predicted_ms,
            } => {
                let replica = state.replicas.get(key);
                Ok(Place {
                    key,
                    id: replica.record.id.clone(),
                    address: replica.record.address,
                    predicted_ms,
                    weights_version: required
                        .and(model)
                        .map(|model| replica.weights_version(model, now_ms)),
                    begin_within_ms: model.and_then(|model| {
                        state.begin_within_ms(model, replica.weights_version(model, now_ms))
                    }),
                    load_age_ms: replica.fresh_load(now_ms).map(|load| now_ms - load.at_ms),
                })
            }
            Admission::Refuse {
                cause,
                retry_after_ms,
            } => Err((cause.label(), retry_after_ms)),
        }
    }

    /// Counts a send.
    fn begin<'a>(&'a self, request: &mut Request, place: &Place) -> Visit<'a> {
        let mut state = self.state.borrow_mut();
        let now_ms = state.now_ms();
        let ticket = state
            .replicas
            .started(place.key, place.predicted_ms, now_ms);
        if request.sends == 0 && request.tried.is_empty() {
            state.budget(&request.service).request(now_ms);
        }
        request.tried.push(place.key);
        LogLine::new(Event::RequestPlaced)
            .text("id", &request.facts.attempt_id)
            .text("replica", &place.id)
            .number("predicted_ms", place.predicted_ms as i64)
            .number(
                "load_age_ms",
                place.load_age_ms.map_or(-1, |age| age as i64),
            )
            .number("config", request.catalog.version)
            .number("left_ms", request.left_ms())
            .write();
        Visit {
            state: &self.state,
            key: place.key,
            ticket,
        }
    }

    /// Sends the request; None when the client left meanwhile.
    async fn send(
        &self,
        client: &mut Connection,
        request: &Request,
        relay: &StreamRelay,
        place: &Place,
    ) -> Option<Sent> {
        let is_streaming = request.route.kind.is_streaming();
        let facts = SendFacts {
            replica_id: &place.id,
            left_ms: request.left_ms(),
            workspace: request.workspace.as_deref(),
            last_event_id: relay.last_id().or(request.facts.last_event_id),
            weights_version: place.weights_version,
            urgency: is_streaming.then_some(request.urgency),
        };
        let patience = if is_streaming {
            FIRST_EVENT_PATIENCE
        } else {
            ANSWER_PATIENCE
        };
        let may_leave = request.route.kind.is_repeatable()
            && request.sends + 1 < request.route.max_attempts
            && self.has_budget(request);
        let head_until = if may_leave {
            Instant::now() + patience
        } else {
            request.until
        };
        let head_until = match place.begin_within_ms {
            Some(within_ms) => head_until.min(Instant::now() + Duration::from_millis(within_ms)),
            None => head_until,
        };
        let work = exchange::send(&*self.dialect, request, place.address, &facts, head_until);
        client.unless_closed(work).await
    }

    fn has_budget(&self, request: &Request) -> bool {
        let mut state = self.state.borrow_mut();
        let now_ms = state.now_ms();
        state.budget(&request.service).has_room(now_ms)
    }

    /// Learns from what became of a send; returns an answer to pass on.
    fn take_outcome(
        &self,
        request: &mut Request,
        place: &Place,
        sent: Sent,
        progress: &mut Progress,
    ) -> Option<Sent> {
        let mut state = self.state.borrow_mut();
        let now_ms = state.now_ms();
        let cause = match &sent {
            Sent::Unreachable(error) => {
                log::debug!("{} was not reached: {error}", place.id);
                progress.unreachable += 1;
                state.replicas.unreachable(place.key, now_ms);
                state.blame_breaks(&place.id);
                "unreachable"
            }
            Sent::NotRun => {
                request.sends += 1;
                state.replicas.was_full(place.key, now_ms);
                "replica_full"
            }
            Sent::OtherWeights => {
                request.sends += 1;
                state.replicas.was_full(place.key, now_ms);
                "other_weights"
            }
            Sent::Misplaced => {
                request.sends += 1;
                state.replicas.misplaced(place.key, now_ms);
                "misplaced"
            }
            Sent::Broken(cause) => {
                request.sends += 1;
                progress.may_have_run = true;
                state.replicas.broke(place.key, now_ms);
                if *cause != "silent" {
                    state.note_break(request.fingerprint, &place.id);
                }
                cause
            }
            Sent::Answer(answer) => {
                request.sends += 1;
                let failed = answer.head.status >= 500;
                let latency_ms = request.arrived.elapsed().as_secs_f64() * 1_000.0;
                state
                    .replicas
                    .answered(place.key, latency_ms, failed, now_ms);
                let again = failed
                    && request.route.kind == RouteKind::Idempotent
                    && request.may_send_again()
                    && request.left_ms() > request.route.target_ms / 2;
                if !again {
                    drop(state);
                    return Some(sent);
                }
                "replica_error"
            }
            Sent::Stream(_) => {
                request.sends += 1;
                drop(state);
                return Some(sent);
            }
        };
        drop(state);
        progress.last_cause = cause;
        log_failed_attempt(request, place, cause);
        if let Sent::Answer(answer) = sent {
            progress.fallback = Some(answer);
        }
        None
    }

    /// Whether one more send is allowed, and takes it out of the budget.
    fn may_resend(&self, request: &Request, progress: &Progress) -> bool {
        if request.left_ms() == 0 {
            return false;
        }
        if progress.last_cause == "unreachable" {
            return progress.unreachable < MAX_UNREACHABLE;
        }
        let is_safe = !progress.may_have_run || request.route.kind.is_repeatable();
        if !is_safe || !request.may_send_again() {
            return false;
        }
        let mut state = self.state.borrow_mut();
        let now_ms = state.now_ms();
        let entries = state.entry_count();
        let budget = state.budget(&request.service);
        budget.set_entries(entries, now_ms);
        let allowed = budget.try_resend(now_ms);
        if allowed {
            self.metrics.retried(progress.last_cause);
        }
        allowed
    }

    /// Ends a stream, or returns None when another replica may go on with it.
    fn stream_ended(
        &self,
        request: &Request,
        place: &Place,
        relay: &StreamRelay,
        end: StreamEnd,
        progress: &mut Progress,
    ) -> Option<Next> {
        let now_ms = self.state.borrow().now_ms();
        match end {
            StreamEnd::Complete => {
                let latency_ms = relay.first_event_at().map_or(0.0, |at| {
                    at.duration_since(request.arrived).as_secs_f64() * 1_000.0
                });
                let mut state = self.state.borrow_mut();
                state
                    .replicas
                    .answered(place.key, latency_ms, false, now_ms);
                drop(state);
                self.log_end(
                    request,
                    progress,
                    &Ending {
                        status: 200,
                        cause: "complete",
                        retry_after_ms: None,
                    },
                    Some((latency_ms, relay.events())),
                );
                Some(if self.closes(request) {
                    Next::Close
                } else {
                    Next::Keep
                })
            }
            StreamEnd::ClientGone => Some(self.client_left(request, progress)),
            StreamEnd::TimedOut if relay.has_begun() => {
                Some(self.break_off(request, progress, "timeout"))
            }
            StreamEnd::TimedOut => {
                progress.may_have_run = true;
                progress.last_cause = "timeout";
                None
            }
            StreamEnd::Broken(cause) => {
                progress.may_have_run = true;
                progress.last_cause = cause;
                let mut state = self.state.borrow_mut();
                state.replicas.broke(place.key, now_ms);
                if cause != "silent" {
                    state.note_break(request.fingerprint, &place.id);
                }
                drop(state);
                log_failed_attempt(request, place, cause);
                None
            }
        }
    }

    /// Gives the final answer to a request that no further replica gets.
    async fn give_up(
        &self,
        client: &mut Connection,
        request: &Request,
        relay: &StreamRelay,
        mut progress: Progress,
        cause: &'static str,
        retry_after_ms: u64,
    ) -> Next {
        if relay.has_begun() {
            return self.break_off(request, &progress, cause);
        }
        if let Some(answer) = progress.fallback.take() {
            return self.answer(client, request, &progress, answer).await;
        }
        let ending = if !progress.may_have_run {
            Ending {
                status: 503,
                cause,
                retry_after_ms: Some(retry_after_ms.min(request.left_ms() / 3)),
            }
        } else if request.left_ms() == 0 {
            Ending {
                status: 504,
                cause: "timeout",
                retry_after_ms: None,
            }
        } else {
            Ending {
                status: 502,
                cause: progress.last_cause,
                retry_after_ms: None,
            }
        };
        self.end(client, request, &progress, ending).await
    }

    /// Ends a stream that has begun in a way that can't look complete.
    fn break_off(&self, request: &Request, progress: &Progress, cause: &str) -> Next {
        let ending = Ending {
            status: 0,
            cause,
            retry_after_ms: None,
        };
        self.log_end(request, progress, &ending, None);
        Next::Close
    }

    fn client_left(&self, request: &Request, progress: &Progress) -> Next {
        let ending = Ending {
            status: 0,
            cause: "client_left",
            retry_after_ms: None,
        };
        self.log_end(request, progress, &ending, None);
        Next::Close
    }

    /// Passes a replica's whole answer on.
    async fn answer(
        &self,
        client: &mut Connection,
        request: &Request,
        progress: &Progress,
        answer: Answer,
    ) -> Next {
        let close = self.closes(request);
        let mut bytes = answer_head(&answer.head, close);
        bytes
            .extend_from_slice(format!("Content-Length: {}\r\n\r\n", answer.body.len()).as_bytes());
        bytes.extend_from_slice(&answer.body);
        let written = client.write_until(&bytes, request.until).await;
        let ending = Ending {
            status: answer.head.status,
            cause: "answered",
            retry_after_ms: None,
        };
        self.log_end(request, progress, &ending, None);
        match written {
            Ok(()) if !close => Next::Keep,
            _ => Next::Close,
        }
    }

    /// Gives an answer of the system's own.
    async fn end(
        &self,
        client: &mut Connection,
        request: &Request,
        progress: &Progress,
        ending: Ending<'_>,
    ) -> Next {
        let close = self.closes(request);
        let bytes = own_answer(ending.status, ending.retry_after_ms, close);
        let until = Instant::now() + Duration::from_secs(1);
        let written = client.write_until(&bytes, until).await;
        if ending.status == 503 {
            self.metrics.refused("request");
        }
        self.log_end(request, progress, &ending, None);
        match written {
            Ok(()) if !close => Next::Keep,
            _ => Next::Close,
        }
    }

    /// Whether the client's connection ends after this answer.
    fn closes(&self, request: &Request) -> bool {
        request.head.wants_close() || self.state.borrow().stopping.is_some()
    }

    fn log_end(
        &self,
        request: &Request,
        progress: &Progress,
        ending: &Ending<'_>,
        stream: Option<(f64, u64)>,
    ) {
        let took_ms = request.arrived.elapsed().as_secs_f64() * 1_000.0;
        let answer_ms = stream.map_or(took_ms, |stream| stream.0);
        self.metrics.answered(outcome_of(ending.status), answer_ms);
        let mut line = LogLine::new(Event::RequestEnded)
            .text("id", &request.facts.attempt_id)
            .text("route", &request.route.name)
            .text("service", &request.service)
            .number("status", ending.status)
            .text("cause", ending.cause)
            .text("replica", &progress.replica)
            .number("sends", request.sends)
            .number("config", request.catalog.version)
            .number("took_ms", took_ms as i64)
            .number("waited_before_ms", request.waited_before_ms);
        if let Some(retry_after_ms) = ending.retry_after_ms {
            line = line.number("retry_after_ms", retry_after_ms);
        }
        if let Some((first_event_ms, events)) = stream {
            line = line
                .number("first_event_ms", first_event_ms as i64)
                .number("events", events);
        }
        line.write();
    }
}

fn log_failed_attempt(request: &Request, place: &Place, cause: &str) {
    LogLine::new(Event::AttemptFailed)
        .text("id", &request.facts.attempt_id)
        .text("replica", &place.id)
        .text("cause", cause)
        .number("sends", request.sends)
        .write();
}
