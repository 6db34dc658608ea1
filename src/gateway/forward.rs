use std::cell::Cell;
use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use tokio::time::Instant;

use crate::calls::CrashSign;
use crate::calls::REFUSED_AT_CRASHES;
use crate::calls::SuspectStatus;
use crate::fleet::ReplicaNotice;
use crate::fleet::RouteKind;
use crate::gateway::Dialect;
use crate::gateway::GatewayState;
use crate::gateway::SendFacts;
use crate::gateway::crash_signs::SuspectTrial;
use crate::gateway::crash_signs::check_replica;
use crate::gateway::crash_signs::check_replica_once;
use crate::gateway::crash_signs::is_refused;
use crate::gateway::exchange;
use crate::gateway::exchange::ReplicaResponse;
use crate::gateway::exchange::SendOutcome;
use crate::gateway::placement::ChosenReplica;
use crate::gateway::relay::AnswerPart;
use crate::gateway::relay::StreamEnd;
use crate::gateway::relay::StreamRelay;
use crate::gateway::request_outcome::CRASH_SUSPECT;
use crate::gateway::request_outcome::RequestOutcome;
use crate::gateway::routed_request::RoutedRequest;
use crate::http1::Connection;
use crate::http1::Http1Error;
use crate::observe::Event;
use crate::observe::LogLine;
use crate::observe::Metrics;

/// Failed connection attempts after which no further replica is tried.
const MAX_FAILED_CONNECTIONS: u32 = 4;

/// Longest wait for the head of a stream that may be sent to another replica
/// instead: several latency targets, and less than the deadline of a client.
const FIRST_EVENT_TIMEOUT: Duration = Duration::from_millis(1_600);

/// Longest wait for the head of a plain response to a request that may be sent to
/// another replica instead.
const PLAIN_RESPONSE_TIMEOUT: Duration = Duration::from_millis(900);

/// Time for which a run that waits is kept after its request has become refused: other runs
/// that come to an end clear it.
const CLEARING_TIME: Duration = Duration::from_millis(250);

/// Retry-After of a refusal after the attempts at replicas have failed, in ms.
const RETRY_AFTER_FAILURE_MS: u64 = 500;

/// Whether a client's connection stays open after a response.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ConnectionReuse {
    /// It stays open for another request.
    Keep,
    /// It is closed.
    Close,
}

/// Sends the requests of clients to replicas, and the responses to the clients.
#[derive(Debug)]
pub struct Gateway<D> {
    /// State of the process.
    pub state: Rc<RefCell<GatewayState>>,
    /// Wire protocol of the platform.
    pub dialect: Rc<D>,
    /// Metrics of the process.
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

/// Results of the sends of one request so far.
#[derive(Debug, Default)]
pub(super) struct AttemptHistory {
    /// Number of connections to replicas that could not be opened.
    failed_connections: u32,
    /// Whether a replica may have run the request.
    pub(super) may_have_run: bool,
    /// Error response of a replica, used if no retry succeeds.
    pub(super) fallback_response: Option<ReplicaResponse>,
    /// Label of the cause of the last failed send.
    pub(super) last_cause: &'static str,
    /// Id of the replica that was chosen last.
    pub(super) replica: String,
    /// Address of a replica that must be checked for a crash before the next send.
    unchecked_address: Option<SocketAddr>,
    /// What was received of the last answer that had a valid head.
    pub(super) last_part: Option<AnswerPart>,
}

impl<D: Dialect> Gateway<D> {
    /// Sends one request to replicas until it ends, and responds to its client.
    pub async fn forward(
        &self,
        client: &mut Connection,
        mut request: RoutedRequest,
    ) -> ConnectionReuse {
        let client_framing = request.client_framing();
        let mut relay = StreamRelay::new(
            request.facts.last_event_id,
            client_framing,
            request.deadline,
        );
        let mut history = AttemptHistory::default();
        loop {
            if let Some(address) = history.unchecked_address.take() {
                check_replica(&self.state, address).await;
            }
            // Asked before each send: the one before may have been the third crash.
            let is_refused = self.is_refused_as_suspect(&request);
            let trial = is_refused
                .then(|| SuspectTrial::begin(&self.state, request.fingerprint))
                .flatten();
            if is_refused && trial.is_none() {
                return self
                    .end_attempts(client, &request, &relay, history, CRASH_SUSPECT, None)
                    .await;
            }
            let chosen = match self.choose_replica(&request, relay.has_begun()) {
                Ok(chosen) => chosen,
                Err((cause, retry_after_ms)) => {
                    return self
                        .end_attempts(
                            client,
                            &request,
                            &relay,
                            history,
                            cause,
                            Some(retry_after_ms),
                        )
                        .await;
                }
            };
            if let Some(trial) = &trial {
                trial.log_send(&chosen.id);
            }
            history.replica.clone_from(&chosen.id);
            let in_flight = self.register_send(&mut request, &chosen);
            let is_trial = trial.is_some();
            let send_outcome = self.send(client, &request, &relay, &chosen, is_trial).await;
            let Some(send_outcome) = send_outcome else {
                drop(in_flight);
                return self.client_disconnected(&request, &chosen, &history);
            };
            let accepted = self.record_outcome(&mut request, &chosen, send_outcome, &mut history);
            match accepted {
                None => drop(in_flight),
                // The client has the head of the stream: only events can follow it.
                Some(SendOutcome::Response(_)) if relay.has_begun() => {
                    drop(in_flight);
                    history.last_cause = "replica_error";
                    self.log_failed_attempt(&request, &chosen, history.last_cause, None);
                }
                Some(SendOutcome::Response(response)) => {
                    drop(in_flight);
                    self.metrics.record_replica_answer(
                        response.framing.label(),
                        StreamEnd::Complete.label(),
                    );
                    history.last_part = Some(AnswerPart {
                        framing: response.framing,
                        rest_bytes: 0,
                    });
                    return self
                        .send_replica_response(client, &request, &history, response)
                        .await;
                }
                Some(SendOutcome::Stream(stream)) => {
                    let close = self.closes_connection(&request);
                    let end = relay.relay_part(client, stream, close, &in_flight).await;
                    drop(in_flight);
                    history.last_part = relay.last_part();
                    if let Some(part) = relay.last_part() {
                        self.metrics
                            .record_replica_answer(part.framing.label(), end.label());
                    }
                    if let Some(reuse) =
                        self.finish_stream(client, &request, &chosen, &relay, end, &mut history)
                    {
                        return reuse;
                    }
                }
                Some(_) => unreachable!("record_outcome returns only responses and streams"),
            }
            if !self.try_take_retry(&request, &history) {
                let cause = history.last_cause;
                return self
                    .end_attempts(
                        client,
                        &request,
                        &relay,
                        history,
                        cause,
                        Some(RETRY_AFTER_FAILURE_MS),
                    )
                    .await;
            }
        }
    }

    /// Whether the request is refused because it is suspected of several crashes.
    fn is_refused_as_suspect(&self, request: &RoutedRequest) -> bool {
        let state = self.state.borrow();
        state
            .suspects
            .request_status(request.fingerprint, state.now_ms())
            == SuspectStatus::Refused
    }

    /// Waits until the request is refused because it is suspected of several crashes, and no
    /// run elsewhere has cleared it since.
    async fn wait_until_refused(&self, request: &RoutedRequest) {
        let notice = self.state.borrow().suspects_notice.clone();
        loop {
            let changed = notice.notified();
            if self.is_refused_as_suspect(request) {
                tokio::time::sleep(CLEARING_TIME).await;
                if self.is_refused_as_suspect(request) {
                    return;
                }
                continue;
            }
            changed.await;
        }
    }

    /// Sends the request to the chosen replica; None if the client disconnected before
    /// the response.
    async fn send(
        &self,
        client: &mut Connection,
        request: &RoutedRequest,
        relay: &StreamRelay,
        chosen: &ChosenReplica,
        is_trial: bool,
    ) -> Option<SendOutcome> {
        let is_streaming = request.route.kind.is_streaming();
        let facts = SendFacts {
            replica_id: &chosen.id,
            left_ms: request.left_ms(),
            workspace: request.workspace.as_deref(),
            last_event_id: relay.last_id().or(request.facts.last_event_id),
            weights_version: chosen.weights_version,
            urgency: is_streaming.then_some(request.urgency),
        };
        let head_timeout = if is_streaming {
            FIRST_EVENT_TIMEOUT
        } else {
            PLAIN_RESPONSE_TIMEOUT
        };
        let may_retry = request.route.kind.is_repeatable()
            && request.sends + 1 < request.route.max_attempts
            && self.has_retry_budget(request);
        let head_deadline = if may_retry {
            Instant::now() + head_timeout
        } else {
            request.deadline
        };
        let head_deadline = match chosen.begin_within_ms {
            Some(within_ms) => head_deadline.min(Instant::now() + Duration::from_millis(within_ms)),
            None => head_deadline,
        };
        let held = (self.state.borrow().answer_memory).hold_answer(exchange::MAX_RESPONSE_BYTES);
        let notice = Cell::new(ReplicaNotice::default());
        let exchange = exchange::send_to_replica(
            &*self.dialect,
            request,
            chosen.address,
            &facts,
            head_deadline,
            held,
            &notice,
        );
        let work = async {
            tokio::select! {
                biased;
                outcome = exchange => outcome,
                () = self.wait_until_refused(request), if !is_trial => SendOutcome::Broken(CRASH_SUSPECT),
            }
        };
        let outcome = client.run_unless_closed(work).await;
        self.record_notice(request, chosen, notice.get());
        outcome
    }

    /// Records and logs what an answer said of its replica.
    fn record_notice(
        &self,
        request: &RoutedRequest,
        chosen: &ChosenReplica,
        notice: ReplicaNotice,
    ) {
        let mut state = self.state.borrow_mut();
        let now_ms = state.now_ms();
        let is_first_of_leaving = state.replicas.record_notice(
            chosen.key,
            chosen.born_unix_ms,
            notice,
            chosen.sent_ms,
            now_ms,
        );
        if is_first_of_leaving {
            state.tell_leaving(&chosen.id, chosen.born_unix_ms);
        }
        drop(state);
        if is_first_of_leaving {
            LogLine::new(Event::ReplicaAnnouncesLeaving)
                .text("replica", &chosen.id)
                .text("id", &request.facts.attempt_id)
                .enqueue();
        }
        if let Some(pause_ms) = notice.pause_ms {
            LogLine::new(Event::ReplicaPaused)
                .text("replica", &chosen.id)
                .text("id", &request.facts.attempt_id)
                .number("pause_ms", pause_ms)
                .number("sent_ms_ago", now_ms.saturating_sub(chosen.sent_ms))
                .enqueue();
        }
    }

    /// Whether the retry budget of the request's service allows one more send.
    fn has_retry_budget(&self, request: &RoutedRequest) -> bool {
        let mut state = self.state.borrow_mut();
        let now_ms = state.now_ms();
        state.retry_budget(&request.service).can_retry(now_ms)
    }

    /// Records the outcome of a send; returns a response or stream that is to be sent
    /// to the client, or None after a failed attempt.
    fn record_outcome(
        &self,
        request: &mut RoutedRequest,
        chosen: &ChosenReplica,
        send_outcome: SendOutcome,
        history: &mut AttemptHistory,
    ) -> Option<SendOutcome> {
        let mut state = self.state.borrow_mut();
        let now_ms = state.now_ms();
        let cause = match &send_outcome {
            SendOutcome::Unreachable(error) => {
                log::debug!("cannot connect to replica {}: {error}", chosen.id);
                history.failed_connections += 1;
                state.replicas.record_connect_failure(chosen.key, now_ms);
                if is_refused(error) {
                    state.record_down_sign(chosen.address, CrashSign::ConnectionRefused);
                }
                "unreachable"
            }
            SendOutcome::NotRun => {
                request.sends += 1;
                state.replicas.record_refusal(chosen.key, now_ms);
                "replica_full"
            }
            SendOutcome::OtherWeights => {
                request.sends += 1;
                state.replicas.record_refusal(chosen.key, now_ms);
                "other_weights"
            }
            SendOutcome::WrongReplica => {
                request.sends += 1;
                state.replicas.record_wrong_replica(chosen.key, now_ms);
                state.record_other_replica(chosen.address, &chosen.id);
                "misplaced"
            }
            SendOutcome::Broken(cause) => {
                request.sends += 1;
                history.may_have_run = true;
                self.record_broken_answer(&mut state, request, chosen, cause, history);
                cause
            }
            SendOutcome::Response(response) => {
                request.sends += 1;
                let failed = response.head.status >= 500;
                let latency_ms = request.received_at.elapsed().as_secs_f64() * 1_000.0;
                // A replica that wants a pause has not failed.
                let asks_for_pause =
                    response.head.status == 503 && state.replicas.get(chosen.key).is_paused(now_ms);
                if !matches!(response.head.status, 503 | 504) {
                    state.record_completed_run(request.fingerprint);
                }
                if !asks_for_pause {
                    state
                        .replicas
                        .record_answer(chosen.key, latency_ms, failed, now_ms);
                }
                let is_retryable = failed
                    && request.route.kind == RouteKind::Idempotent
                    && request.has_attempts_left()
                    && request.left_ms() > request.route.target_latency_ms / 2;
                if !is_retryable {
                    drop(state);
                    return Some(send_outcome);
                }
                "replica_error"
            }
            SendOutcome::Stream(_) => {
                request.sends += 1;
                drop(state);
                return Some(send_outcome);
            }
        };
        drop(state);
        history.last_cause = cause;
        self.log_failed_attempt(request, chosen, cause, None);
        if let SendOutcome::Response(response) = send_outcome {
            history.fallback_response = Some(response);
        }
        None
    }

    /// Whether one more send is allowed. It is taken out of the retry budget, except
    /// after a connection that could not be opened.
    fn try_take_retry(&self, request: &RoutedRequest, history: &AttemptHistory) -> bool {
        if request.left_ms() == 0 {
            return false;
        }
        if history.last_cause == "unreachable" {
            return history.failed_connections < MAX_FAILED_CONNECTIONS;
        }
        let is_safe = !history.may_have_run || request.route.kind.is_repeatable();
        if !is_safe || !request.has_attempts_left() {
            return false;
        }
        let mut state = self.state.borrow_mut();
        let now_ms = state.now_ms();
        let entries = state.entry_count();
        let budget = state.retry_budget(&request.service);
        budget.set_entry_count(entries, now_ms);
        let allowed = budget.try_retry(now_ms);
        if allowed {
            self.metrics.record_retry(history.last_cause);
        }
        allowed
    }

    /// Ends a request whose stream has ended, or returns None if another replica may
    /// resume the stream.
    fn finish_stream(
        &self,
        client: &Connection,
        request: &RoutedRequest,
        chosen: &ChosenReplica,
        relay: &StreamRelay,
        end: StreamEnd,
        history: &mut AttemptHistory,
    ) -> Option<ConnectionReuse> {
        let now_ms = self.state.borrow().now_ms();
        match end {
            StreamEnd::Complete => {
                let latency_ms = relay.first_event_at().map_or(0.0, |at| {
                    at.duration_since(request.received_at).as_secs_f64() * 1_000.0
                });
                let mut state = self.state.borrow_mut();
                state
                    .replicas
                    .record_answer(chosen.key, latency_ms, false, now_ms);
                state.record_completed_run(request.fingerprint);
                drop(state);
                self.log_request_end(
                    request,
                    history,
                    &RequestOutcome {
                        status: 200,
                        cause: "complete",
                        retry_after_ms: None,
                    },
                    Some((latency_ms, relay.events())),
                );
                Some(if self.closes_connection(request) {
                    ConnectionReuse::Close
                } else {
                    ConnectionReuse::Keep
                })
            }
            StreamEnd::ClientDisconnected => {
                Some(self.client_disconnected(request, chosen, history))
            }
            StreamEnd::TimedOut if relay.has_begun() => {
                Some(self.abort_stream(client, request, history, "timeout"))
            }
            StreamEnd::TimedOut => {
                history.may_have_run = true;
                history.last_cause = "timeout";
                let mut state = self.state.borrow_mut();
                state.record_broken_run(request.fingerprint, chosen, history.last_cause);
                drop(state);
                None
            }
            StreamEnd::Broken(cause) => {
                history.may_have_run = true;
                history.last_cause = cause;
                let mut state = self.state.borrow_mut();
                self.record_broken_answer(&mut state, request, chosen, cause, history);
                drop(state);
                self.log_failed_attempt(request, chosen, cause, history.last_part);
                None
            }
        }
    }

    /// Records that the answer of a replica was not complete, unless the cause is in this
    /// process, and checks whether the replica has crashed.
    fn record_broken_answer(
        &self,
        state: &mut GatewayState,
        request: &RoutedRequest,
        chosen: &ChosenReplica,
        cause: &str,
        history: &mut AttemptHistory,
    ) {
        if cause == Http1Error::NoMemory.label() {
            return;
        }
        let now_ms = state.now_ms();
        state.replicas.record_incomplete_answer(chosen.key, now_ms);
        if !state.record_broken_run(request.fingerprint, chosen, cause) {
            return;
        }
        actix_rt::spawn(check_replica_once(self.state.clone(), chosen.address));
        // One more crash leaves the request refused: that is known before its next send.
        if state.suspects.crash_count(request.fingerprint, now_ms) + 1 >= REFUSED_AT_CRASHES {
            history.unchecked_address = Some(chosen.address);
        }
    }

    /// Logs a send that failed or that the replica refused; `part` is what was received of a
    /// stream.
    fn log_failed_attempt(
        &self,
        request: &RoutedRequest,
        chosen: &ChosenReplica,
        cause: &str,
        part: Option<AnswerPart>,
    ) {
        let state = self.state.borrow();
        let now_ms = state.now_ms();
        let replica = state.replicas.get(chosen.key);
        let is_reported_down = replica.recent_load(now_ms).is_some_and(|load| !load.is_up);
        let mut line = LogLine::new(Event::AttemptFailed)
            .text("id", &request.facts.attempt_id)
            .text("replica", &chosen.id)
            .text("cause", cause)
            .text("fingerprint", request.fingerprint.short_hex())
            .number("sends", request.sends)
            .number("sent_ms_ago", now_ms.saturating_sub(chosen.sent_ms))
            .flag("removed", replica.is_removed)
            .flag("reported_down", is_reported_down);
        if let Some(part) = part {
            line = line
                .text("framing", part.framing.label())
                .number("rest_bytes", part.rest_bytes);
        }
        line.enqueue();
    }
}
