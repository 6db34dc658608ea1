use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

use tokio::time::Instant;

use crate::calls::SuspectStatus;
use crate::fleet::RouteKind;
use crate::gateway::Dialect;
use crate::gateway::GatewayState;
use crate::gateway::SendFacts;
use crate::gateway::ending::Ending;
use crate::gateway::exchange;
use crate::gateway::exchange::Answer;
use crate::gateway::exchange::Sent;
use crate::gateway::placement::Place;
use crate::gateway::relay::StreamEnd;
use crate::gateway::relay::StreamRelay;
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

/// What was learned from the sends of one request so far.
#[derive(Debug, Default)]
pub(super) struct Progress {
    unreachable: u32,
    pub(super) may_have_run: bool,
    pub(super) fallback: Option<Answer>,
    pub(super) last_cause: &'static str,
    pub(super) replica: String,
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
        state
            .suspects
            .request_status(request.fingerprint, state.now_ms())
            == SuspectStatus::Refused
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
}

fn log_failed_attempt(request: &Request, place: &Place, cause: &str) {
    LogLine::new(Event::AttemptFailed)
        .text("id", &request.facts.attempt_id)
        .text("replica", &place.id)
        .text("cause", cause)
        .number("sends", request.sends)
        .write();
}
