use crate::calls::CrashSign;
use crate::fleet::ReplicaNotice;
use crate::fleet::RouteKind;
use crate::gateway::Dialect;
use crate::gateway::GatewayState;
use crate::gateway::crash_signs::check_replica_once;
use crate::gateway::end_causes::REPLICA_CRASHED;
use crate::gateway::end_causes::WEIGHTS_DUE;
use crate::gateway::event_stream::AnswerPart;
use crate::gateway::exchange::ReplicaResponse;
use crate::gateway::exchange::SendOutcome;
use crate::gateway::forwarding::AttemptHistory;
use crate::gateway::gateway_handle::Gateway;
use crate::gateway::placement::ChosenReplica;
use crate::gateway::port_probe::is_refused;
use crate::gateway::relay::StreamRelay;
use crate::gateway::routed_request::RoutedRequest;
use crate::http1::Http1Error;
use crate::observe::Event;
use crate::observe::LogLine;

/// Failed connection attempts after which no further replica is tried.
pub(super) const MAX_FAILED_CONNECTIONS: u32 = 4;

impl<D: Dialect + 'static> Gateway<D> {
    /// Counts the end of a replica's part of a stream, if it had a valid head.
    pub(super) fn record_part_end(&self, part: Option<AnswerPart>, end: &'static str) {
        if let Some(part) = part {
            self.metrics
                .record_replica_answer(part.framing.label(), end);
        }
    }

    /// Records and logs what an answer said of its replica.
    pub(super) fn record_notice(
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

    /// The outcome of a send, which is a failure if its response ended with a connection whose
    /// end is not believed.
    pub(super) fn check_end(
        &self,
        request: &RoutedRequest,
        chosen: &ChosenReplica,
        outcome: SendOutcome,
    ) -> SendOutcome {
        let attempt_id = &request.facts.attempt_id;
        match outcome {
            SendOutcome::Response(ReplicaResponse {
                port_at_close: Some(port),
                ..
            }) if !(self.state.borrow()).is_end_of_answer(attempt_id, chosen, port) => {
                SendOutcome::Broken(REPLICA_CRASHED)
            }
            outcome => outcome,
        }
    }

    /// Records the outcome of a send; returns a response or stream that is to be sent
    /// to the client, or None after a failed attempt. `is_only` states whether no other send
    /// is under way, whose answer may be better.
    pub(super) fn record_outcome(
        &self,
        request: &mut RoutedRequest,
        chosen: &ChosenReplica,
        send_outcome: SendOutcome,
        history: &mut AttemptHistory,
        is_only: bool,
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
                    let is_success = (200..300).contains(&response.head.status);
                    state.record_completed_run(&request.causes, is_success);
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
                if !is_retryable && (is_only || !failed) {
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
    pub(super) fn try_take_retry(
        &self,
        request: &RoutedRequest,
        relay: &StreamRelay,
        history: &AttemptHistory,
    ) -> bool {
        if request.left_ms() == 0 || !relay.can_go_on() {
            return false;
        }
        if history.last_cause == "unreachable" {
            return history.failed_connections < MAX_FAILED_CONNECTIONS;
        }
        let is_safe = !history.may_have_run || request.route.kind.is_repeatable();
        let can_end = relay.has_begun() || self.can_end_before_stop(request);
        if !is_safe || !can_end || !request.has_attempts_left() {
            return false;
        }
        self.take_retry(request, history.last_cause)
    }

    /// Takes one send out of the retry budget of the request's service, for this cause;
    /// returns whether it allows one.
    pub(super) fn take_retry(&self, request: &RoutedRequest, cause: &'static str) -> bool {
        let mut state = self.state.borrow_mut();
        let now_ms = state.now_ms();
        let entries = state.entry_count();
        let budget = state.retry_budget(&request.service);
        budget.set_entry_count(entries, now_ms);
        let allowed = budget.try_retry(now_ms);
        if allowed {
            self.metrics.record_retry(cause);
        }
        allowed
    }

    /// Records that the answer of a replica was not complete, unless the cause is in this
    /// process or in newer weights, and checks whether the replica has crashed.
    pub(super) fn record_broken_answer(
        &self,
        state: &mut GatewayState,
        request: &RoutedRequest,
        chosen: &ChosenReplica,
        cause: &str,
        history: &mut AttemptHistory,
    ) {
        if cause == Http1Error::NoMemory.label() || cause == WEIGHTS_DUE {
            return;
        }
        let now_ms = state.now_ms();
        state.replicas.record_incomplete_answer(chosen.key, now_ms);
        if !state.record_broken_run(&request.causes, chosen, cause) {
            return;
        }
        actix_rt::spawn(check_replica_once(self.state.clone(), chosen.address));
        // One more crash leaves the request refused: that is known before its next send.
        if state.suspects.is_near_refusal(&request.causes, now_ms) {
            history.unchecked_address = Some(chosen.address);
        }
    }

    /// Logs a send that failed or that the replica refused; `part` is what was received of a
    /// stream.
    pub(super) fn log_failed_attempt(
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
            .text("fingerprint", request.causes.request.short_hex())
            .text("parts", request.causes.parts_label())
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
