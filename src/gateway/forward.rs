use std::cell::Cell;
use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use futures_util::FutureExt;
use tokio::time::Instant;

use crate::calls::AnswerDecision;
use crate::calls::AnswerUnderWay;
use crate::calls::CrashSign;
use crate::calls::REFUSED_AT_CRASHES;
use crate::calls::SuspectStatus;
use crate::fleet::ReplicaNotice;
use crate::fleet::RouteKind;
use crate::gateway::Dialect;
use crate::gateway::GatewayState;
use crate::gateway::SendFacts;
use crate::gateway::active_request::wait_until_ending;
use crate::gateway::crash_signs::SuspectTrial;
use crate::gateway::crash_signs::check_replica;
use crate::gateway::crash_signs::check_replica_once;
use crate::gateway::crash_signs::is_refused;
use crate::gateway::event_stream::AnswerPart;
use crate::gateway::event_stream::EventStream;
use crate::gateway::event_stream::StreamPart;
use crate::gateway::exchange;
use crate::gateway::exchange::ReplicaResponse;
use crate::gateway::exchange::ReplicaSend;
use crate::gateway::exchange::SendOutcome;
use crate::gateway::exchange::request_bytes;
use crate::gateway::placement::ChosenReplica;
use crate::gateway::relay::NextEvents;
use crate::gateway::relay::StreamEnd;
use crate::gateway::relay::StreamRelay;
use crate::gateway::request_outcome::CLIENT_LEFT;
use crate::gateway::request_outcome::CRASH_SUSPECT;
use crate::gateway::request_outcome::HOST_SILENT;
use crate::gateway::request_outcome::REPLICA_ENDED;
use crate::gateway::request_outcome::RequestOutcome;
use crate::gateway::request_outcome::STOPPING;
use crate::gateway::routed_request::RoutedRequest;
use crate::gateway::running_send::RunningSend;
use crate::gateway::running_send::RunningSends;
use crate::gateway::running_send::SendProgress;
use crate::http1::Connection;
use crate::http1::Http1Error;
use crate::http1::LATE_TIMER;
use crate::observe::Event;
use crate::observe::LogLine;
use crate::observe::Metrics;

/// Failed connection attempts after which no further replica is tried.
const MAX_FAILED_CONNECTIONS: u32 = 4;

/// Most steps that are taken with what arrived before the deadline passed.
const MAX_LATE_STEPS: u32 = 3;

/// Lateness of a timer from which the process itself was away, and not its replicas.
const STALL_TIME: Duration = Duration::from_millis(200);

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
    /// Whether a second send that was taken out of the retry budget has reached no replica.
    has_unused_retry: bool,
    /// Address of a replica that must be checked for a crash before the next send.
    unchecked_address: Option<SocketAddr>,
    /// What was received of the last answer that had a valid head.
    pub(super) last_part: Option<AnswerPart>,
}

/// What happened first while sends were under way.
enum Step {
    /// A send has brought something.
    Progress(usize, SendProgress),
    /// The client closed its connection.
    ClientLeft,
    /// The request has become refused because it is suspected of crashes.
    Refused,
    /// It is time to decide what becomes of this send.
    CheckDue(usize),
    /// The grace period of a stop is over.
    Ending,
    /// Nothing that changes the request.
    Nothing,
    /// The deadline of the request has passed.
    TimedOut,
}

/// A request that is being forwarded, with what its client and its replicas have got so far.
struct Forwarding<'a> {
    request: RoutedRequest,
    relay: StreamRelay,
    history: AttemptHistory,
    sends: RunningSends<'a>,
    // Steps taken since the deadline passed.
    late_steps: u32,
    // Time until which other runs may clear the request, which has become refused.
    refused_until: Option<Instant>,
}

impl<D: Dialect + 'static> Gateway<D> {
    /// Sends one request to replicas until it ends, and responds to its client.
    pub async fn forward(
        &self,
        client: &mut Connection,
        request: RoutedRequest,
    ) -> ConnectionReuse {
        let relay = StreamRelay::new(
            request.facts.last_event_id,
            request.client_framing(),
            request.deadline,
        );
        let mut forwarding = Forwarding {
            request,
            relay,
            history: AttemptHistory::default(),
            sends: RunningSends::new(),
            late_steps: 0,
            refused_until: None,
        };
        loop {
            if forwarding.sends.as_slice().is_empty()
                && let Err((cause, retry_after_ms)) = self.begin_send(&mut forwarding).await
            {
                let Forwarding {
                    request,
                    relay,
                    history,
                    ..
                } = forwarding;
                return self
                    .end_attempts(client, &request, &relay, history, cause, retry_after_ms)
                    .await;
            }
            let reuse = match self.next_step(client, &mut forwarding).await {
                Step::Progress(at, SendProgress::Outcome(outcome)) => {
                    self.handle_outcome(client, &mut forwarding, at, outcome)
                        .await
                }
                Step::Progress(at, SendProgress::Part(part)) => {
                    self.handle_part(client, &mut forwarding, at, part).await
                }
                Step::ClientLeft => Some(self.client_disconnected(&mut forwarding)),
                Step::Refused => {
                    self.withdraw_waiting(&mut forwarding);
                    None
                }
                Step::CheckDue(at) => {
                    self.check_send(&mut forwarding, at);
                    None
                }
                Step::Nothing => None,
                Step::Ending => {
                    let reuse = self.end_sends(client, &mut forwarding, STOPPING);
                    if reuse.is_none() {
                        let Forwarding {
                            request,
                            relay,
                            history,
                            ..
                        } = forwarding;
                        return self
                            .end_attempts(client, &request, &relay, history, STOPPING, None)
                            .await;
                    }
                    reuse
                }
                Step::TimedOut => {
                    self.end_sends(client, &mut forwarding, StreamEnd::TimedOut.label())
                }
            };
            if let Some(reuse) = reuse {
                return reuse;
            }
            let Forwarding {
                request,
                relay,
                history,
                sends,
                ..
            } = &forwarding;
            if sends.as_slice().is_empty() && !self.try_take_retry(request, relay, history) {
                let Forwarding {
                    request,
                    relay,
                    history,
                    ..
                } = forwarding;
                let cause = history.last_cause;
                let retry_after_ms = Some(RETRY_AFTER_FAILURE_MS);
                return self
                    .end_attempts(client, &request, &relay, history, cause, retry_after_ms)
                    .await;
            }
        }
    }

    /// Waits for what happens next to a request whose sends are under way.
    async fn next_step(&self, client: &mut Connection, forwarding: &mut Forwarding<'_>) -> Step {
        let Forwarding {
            request,
            sends,
            late_steps,
            refused_until,
            ..
        } = forwarding;
        // Also while bytes arrive: a stalled stream may send one now and then. What has
        // arrived by the deadline is still passed on.
        if Instant::now() >= request.deadline {
            if *late_steps >= MAX_LATE_STEPS {
                return Step::TimedOut;
            }
            *late_steps += 1;
        }
        let is_withdrawable = sends
            .as_slice()
            .iter()
            .any(|send| self.is_withdrawable(send));
        let is_stopping = self.state.borrow().stopping_since.is_some();
        let mut wake_at = request.deadline;
        wake_at = wake_at.min(sends.next_check_at().unwrap_or(wake_at));
        wake_at = wake_at.min(refused_until.unwrap_or(wake_at));
        tokio::select! {
            biased;
            (at, progress) = sends.next_progress() => return Step::Progress(at, progress),
            () = client.wait_closed() => return Step::ClientLeft,
            () = self.wait_until_refused(request), if is_withdrawable && refused_until.is_none() => {
                *refused_until = Some(Instant::now() + CLEARING_TIME);
                return Step::Nothing;
            }
            () = wait_until_ending(&self.state), if is_stopping => return Step::Ending,
            () = tokio::time::sleep_until(wake_at) => {}
        }
        if wake_at.elapsed() >= STALL_TIME {
            sends.restart_silence();
        }
        if wake_at.elapsed() >= LATE_TIMER {
            for _ in 0..MAX_LATE_STEPS {
                tokio::task::yield_now().await;
                if let Some((at, progress)) = sends.next_progress().now_or_never() {
                    return Step::Progress(at, progress);
                }
            }
        }
        let now = Instant::now();
        if refused_until.is_some_and(|until| until <= now) {
            *refused_until = None;
            return if self.is_refused_as_suspect(request) {
                Step::Refused
            } else {
                Step::Nothing
            };
        }
        let mut checks = sends.as_slice().iter().map(|send| send.check_at);
        match checks.position(|check_at| check_at <= now) {
            Some(at) => Step::CheckDue(at),
            None if now >= request.deadline => Step::TimedOut,
            None => Step::Nothing,
        }
    }

    /// Begins a send while none is under way; the error is the cause of a refusal and the
    /// time after which the client should retry, in ms.
    async fn begin_send<'a>(
        &'a self,
        forwarding: &mut Forwarding<'a>,
    ) -> Result<(), (&'static str, Option<u64>)> {
        let Forwarding {
            request,
            relay,
            history,
            sends,
            ..
        } = forwarding;
        if let Some(address) = history.unchecked_address.take() {
            check_replica(&self.state, address).await;
        }
        // Asked before each send: the one before may have been the third crash.
        let is_refused = self.is_refused_as_suspect(request);
        let trial = is_refused
            .then(|| SuspectTrial::begin(&self.state, request.fingerprint))
            .flatten();
        if is_refused && trial.is_none() {
            return Err((CRASH_SUSPECT, None));
        }
        let chosen = self
            .choose_replica(request, relay.has_begun())
            .map_err(|(cause, retry_after_ms)| (cause, Some(retry_after_ms)))?;
        if let Some(trial) = &trial {
            trial.log_send(&chosen.id);
        }
        history.replica.clone_from(&chosen.id);
        let send = self.start_send(request, relay, chosen, trial);
        sends.push(send);
        Ok(())
    }

    /// Starts a send to the chosen replica.
    fn start_send<'a>(
        &'a self,
        request: &mut RoutedRequest,
        relay: &StreamRelay,
        chosen: ChosenReplica,
        trial: Option<SuspectTrial<'a>>,
    ) -> RunningSend<'a> {
        let in_flight = self.register_send(request, &chosen);
        let is_streaming = request.route.kind.is_streaming();
        let facts = SendFacts {
            replica_id: &chosen.id,
            left_ms: request.left_ms(),
            workspace: request.workspace.as_deref(),
            last_event_id: relay.last_id().or(request.facts.last_event_id),
            weights_version: chosen.weights_version,
            urgency: is_streaming.then_some(request.urgency),
        };
        let begin_within = chosen.begin_within_ms.map(Duration::from_millis);
        let begin_by = begin_within.map(|within| Instant::now() + within);
        let notice = Rc::new(Cell::new(ReplicaNotice::default()));
        let progress_at = Rc::new(Cell::new(Instant::now()));
        let send = ReplicaSend {
            address: chosen.address,
            replica_id: chosen.id.clone(),
            attempt_id: request.facts.attempt_id.clone(),
            method: request.head.method.clone(),
            is_streaming,
            bytes: request_bytes(&*self.dialect, &request.head, &request.body, &facts),
            head_deadline: begin_by.unwrap_or(request.deadline),
            deadline: request.deadline,
            held: (self.state.borrow().answer_memory).hold_answer(exchange::MAX_RESPONSE_BYTES),
            notice: notice.clone(),
            progress_at: progress_at.clone(),
        };
        let exchange = exchange::send_to_replica(self.dialect.clone(), send);
        RunningSend::new(chosen, in_flight, notice, progress_at, trial, exchange)
    }

    /// Decides what becomes of a send that has brought nothing for a while.
    fn check_send<'a>(&'a self, forwarding: &mut Forwarding<'a>, at: usize) {
        let may_send_second = self.may_send_second(forwarding);
        let Forwarding {
            request,
            relay,
            history,
            sends,
            ..
        } = forwarding;
        let is_streaming = request.route.kind.is_streaming();
        let send = sends.get_mut(at);
        let under_way = AnswerUnderWay {
            stage: send.stage(is_streaming),
            silent_ms: send.silent_ms(),
            sign: self.state.borrow().replica_sign(&send.chosen),
            is_repeatable: request.route.kind.is_repeatable(),
            may_send_second,
        };
        // A stream that has begun: its replica may have ended without a sign on the connection.
        if under_way.is_silent() && send.stream().is_some() {
            self.record_silence(request, send);
        }
        let mut decision = under_way.decide();
        if decision == AnswerDecision::SendSecond {
            let second = self.choose_second(request, relay, history);
            if let Some(chosen) = second {
                LogLine::new(Event::SecondSend)
                    .text("id", &request.facts.attempt_id)
                    .text("replica", &send.chosen.id)
                    .text("second", &chosen.id)
                    .text("sign", under_way.sign.label())
                    .number("silent_ms", under_way.silent_ms)
                    .number("events", relay.events())
                    .enqueue();
                self.record_silence(request, send);
                send.check_at = Instant::now() + Duration::from_millis(AnswerUnderWay::RECHECK_MS);
                history.replica.clone_from(&chosen.id);
                let mut second = self.start_send(request, relay, chosen, None);
                second.is_second = true;
                sends.push(second);
                return;
            }
            decision = AnswerUnderWay {
                may_send_second: false,
                ..under_way
            }
            .decide();
        }
        let wait_ms = match decision {
            AnswerDecision::Wait(wait_ms) => wait_ms,
            AnswerDecision::SendSecond => AnswerUnderWay::RECHECK_MS,
            AnswerDecision::ReplicaEnded => return self.fail_send(forwarding, at, REPLICA_ENDED),
            AnswerDecision::GiveUp => return self.fail_send(forwarding, at, HOST_SILENT),
        };
        send.check_at = Instant::now() + Duration::from_millis(wait_ms);
    }

    /// Chooses the replica of a second send, and takes the send out of the retry budget.
    fn choose_second(
        &self,
        request: &RoutedRequest,
        relay: &StreamRelay,
        history: &mut AttemptHistory,
    ) -> Option<ChosenReplica> {
        if history.failed_connections >= MAX_FAILED_CONNECTIONS {
            return None;
        }
        let chosen = self.choose_replica(request, relay.has_begun()).ok()?;
        let is_paid = std::mem::take(&mut history.has_unused_retry);
        (is_paid || self.take_retry(request, "silent")).then_some(chosen)
    }

    /// Whether the request may run at another replica beside the one that has it.
    fn may_send_second(&self, forwarding: &Forwarding<'_>) -> bool {
        let Forwarding {
            request,
            relay,
            sends,
            ..
        } = forwarding;
        // A send that has brought the head of a stream is counted already.
        let uncounted = sends.as_slice().iter().filter(|send| send.is_waiting());
        let uncounted = u32::try_from(uncounted.count()).unwrap_or(u32::MAX);
        let state = self.state.borrow();
        let crashes = state
            .suspects
            .crash_count(request.fingerprint, state.now_ms());
        sends.has_room()
            && request.route.kind.is_repeatable()
            && relay.can_go_on()
            && request.sends + uncounted < request.route.max_attempts
            // The silence may be the crash after which the request is refused.
            && crashes + 1 < REFUSED_AT_CRASHES
            && !sends.as_slice().iter().any(RunningSend::is_trial)
    }

    /// Records once that the replica of a send is silent, and checks whether it has crashed; it
    /// may go on.
    fn record_silence(&self, request: &RoutedRequest, send: &mut RunningSend<'_>) {
        if std::mem::replace(&mut send.is_silence_recorded, true) {
            return;
        }
        let chosen = &send.chosen;
        let mut state = self.state.borrow_mut();
        let now_ms = state.now_ms();
        state.replicas.record_incomplete_answer(chosen.key, now_ms);
        if state.record_broken_run(request.fingerprint, chosen, "silent") {
            actix_rt::spawn(check_replica_once(self.state.clone(), chosen.address));
        }
    }

    /// Ends the sends whose answer has not begun, as their request has become refused.
    fn withdraw_waiting(&self, forwarding: &mut Forwarding<'_>) {
        let is_withdrawable = |send: &RunningSend<'_>| self.is_withdrawable(send);
        while let Some(at) = (forwarding.sends.as_slice().iter()).position(is_withdrawable) {
            self.fail_send(forwarding, at, CRASH_SUSPECT);
        }
    }

    /// Whether a send is withdrawn when its request becomes refused: not from a replica that
    /// counts as crashed under it, which has ended, or else goes on and clears the request.
    fn is_withdrawable(&self, send: &RunningSend<'_>) -> bool {
        send.is_waiting()
            && !send.is_trial()
            && !(self.state.borrow().suspects).has_crash(&send.chosen.process_crash())
    }

    /// Ends the sends beside the one at `at`, whose answer is passed on.
    fn cancel_others(&self, forwarding: &mut Forwarding<'_>, at: usize) {
        let Forwarding {
            request,
            history,
            sends,
            ..
        } = forwarding;
        if sends.as_slice().len() < 2 {
            return;
        }
        for send in sends.remove_others(at) {
            self.record_notice(request, &send.chosen, send.notice.get());
            request.sends += u32::from(send.is_waiting());
            history.may_have_run = true;
            LogLine::new(Event::SendCancelled)
                .text("id", &request.facts.attempt_id)
                .text("replica", &send.chosen.id)
                .text("answered_by", &sends.as_slice()[0].chosen.id)
                .number("silent_ms", send.silent_ms())
                .enqueue();
        }
        history.replica.clone_from(&sends.as_slice()[0].chosen.id);
    }

    /// Records that a send got no valid answer, for this cause, and ends it.
    fn fail_send(&self, forwarding: &mut Forwarding<'_>, at: usize, cause: &'static str) {
        let Forwarding {
            request,
            history,
            sends,
            ..
        } = forwarding;
        let send = sends.remove(at);
        if let Some(stream) = send.stream() {
            let part = stream.part();
            self.metrics
                .record_replica_answer(part.framing.label(), cause);
            history.last_part = Some(part);
        }
        self.record_notice(request, &send.chosen, send.notice.get());
        request.sends += u32::from(send.is_waiting());
        history.may_have_run = true;
        history.last_cause = cause;
        let mut state = self.state.borrow_mut();
        self.record_broken_answer(&mut state, request, &send.chosen, cause, history);
        drop(state);
        let part = send.stream().map(EventStream::part);
        self.log_failed_attempt(request, &send.chosen, cause, part);
    }

    /// Handles an answer, the head of a stream or a failure; returns whether the client's
    /// connection is kept, if the request has ended.
    async fn handle_outcome(
        &self,
        client: &mut Connection,
        forwarding: &mut Forwarding<'_>,
        at: usize,
        outcome: SendOutcome,
    ) -> Option<ConnectionReuse> {
        let is_only = forwarding.sends.as_slice().len() == 1;
        let Forwarding {
            request,
            relay,
            history,
            sends,
            ..
        } = forwarding;
        let send = sends.get_mut(at);
        self.record_notice(request, &send.chosen, send.notice.get());
        history.has_unused_retry |=
            send.is_second && matches!(outcome, SendOutcome::Unreachable(_));
        let accepted = self.record_outcome(request, &send.chosen, outcome, history, is_only);
        match accepted {
            None => drop(sends.remove(at)),
            // The client has the head of the stream: only events can follow it.
            Some(SendOutcome::Response(_)) if relay.has_begun() => {
                let send = sends.remove(at);
                history.last_cause = "replica_error";
                self.log_failed_attempt(request, &send.chosen, history.last_cause, None);
            }
            Some(SendOutcome::Response(response)) => {
                self.cancel_others(forwarding, at);
                let Forwarding {
                    request,
                    history,
                    sends,
                    ..
                } = forwarding;
                drop(sends.remove(0));
                self.metrics
                    .record_replica_answer(response.framing.label(), StreamEnd::Complete.label());
                history.last_part = Some(AnswerPart {
                    framing: response.framing,
                    rest_bytes: 0,
                });
                let reuse = self
                    .send_replica_response(client, request, history, response)
                    .await;
                return Some(reuse);
            }
            Some(SendOutcome::Stream(stream)) => send.begin_stream(stream),
            Some(_) => unreachable!("record_outcome returns only responses and streams"),
        }
        None
    }

    /// Handles a part of a stream; returns whether the client's connection is kept, if the
    /// request has ended.
    async fn handle_part(
        &self,
        client: &mut Connection,
        forwarding: &mut Forwarding<'_>,
        at: usize,
        part: StreamPart,
    ) -> Option<ConnectionReuse> {
        let close = self.closes_connection(&forwarding.request);
        let Forwarding { relay, sends, .. } = &mut *forwarding;
        let send = sends.get_mut(at);
        let stream = send.stream().expect("only a stream has parts");
        let end = match part {
            StreamPart::Events(events) => {
                let next = relay.take_next(events);
                send.record_progress();
                if next.bytes.is_empty() {
                    next.fault.map(StreamEnd::Broken)?
                } else {
                    return self.pass_on(client, forwarding, at, next, close).await;
                }
            }
            StreamPart::End => {
                let rest = stream.remainder();
                relay.finish(client, &stream.head, close, rest).await
            }
            StreamPart::Broken(cause) => StreamEnd::Broken(cause),
        };
        self.end_part(client, forwarding, at, end)
    }

    /// Passes on the next events of a stream, from the send at `at`.
    async fn pass_on(
        &self,
        client: &mut Connection,
        forwarding: &mut Forwarding<'_>,
        mut at: usize,
        next: NextEvents,
        close: bool,
    ) -> Option<ConnectionReuse> {
        // A replica whose part ends here does not take the stream over.
        if next.has_pieces && next.fault.is_none() {
            self.cancel_others(forwarding, at);
            at = 0;
        }
        let Forwarding { relay, sends, .. } = &mut *forwarding;
        let send = sends.get_mut(at);
        send.in_flight.record_events_sent();
        send.record_forwarded();
        let stream = send.stream().expect("only a stream has parts");
        let written = relay
            .write_events(client, &stream.head, close, &next.bytes)
            .await;
        let end = written.or(next.fault.map(StreamEnd::Broken))?;
        self.end_part(client, forwarding, at, end)
    }

    /// Ends the part of a stream from the send at `at`; returns whether the client's
    /// connection is kept, if the request has ended.
    fn end_part(
        &self,
        client: &Connection,
        forwarding: &mut Forwarding<'_>,
        at: usize,
        end: StreamEnd,
    ) -> Option<ConnectionReuse> {
        match end {
            StreamEnd::Complete => Some(self.complete_stream(forwarding, at)),
            StreamEnd::ClientDisconnected => Some(self.client_disconnected(forwarding)),
            StreamEnd::TimedOut => self.end_sends(client, forwarding, end.label()),
            StreamEnd::Broken(cause) => {
                self.fail_send(forwarding, at, cause);
                None
            }
        }
    }

    /// Ends a request whose client has the whole stream.
    fn complete_stream(&self, forwarding: &mut Forwarding<'_>, at: usize) -> ConnectionReuse {
        self.cancel_others(forwarding, at);
        let Forwarding {
            request,
            relay,
            history,
            sends,
            ..
        } = forwarding;
        let send = sends.remove(0);
        history.last_part = send.stream().map(EventStream::part);
        self.record_part_end(history.last_part, StreamEnd::Complete.label());
        let latency_ms = relay.first_event_at().map_or(0.0, |at| {
            at.duration_since(request.received_at).as_secs_f64() * 1_000.0
        });
        let mut state = self.state.borrow_mut();
        let now_ms = state.now_ms();
        state
            .replicas
            .record_answer(send.chosen.key, latency_ms, false, now_ms);
        state.record_completed_run(request.fingerprint);
        drop(state);
        let outcome = RequestOutcome {
            status: 200,
            cause: "complete",
            retry_after_ms: None,
        };
        let stream = Some((latency_ms, relay.events()));
        self.log_request_end(request, history, &outcome, stream);
        if self.closes_connection(request) {
            ConnectionReuse::Close
        } else {
            ConnectionReuse::Keep
        }
    }

    /// Ends the sends of a request for which there is no more time, for this cause; returns
    /// whether the client's connection is kept if a stream has begun, whose end its client
    /// then sees.
    fn end_sends(
        &self,
        client: &Connection,
        forwarding: &mut Forwarding<'_>,
        cause: &'static str,
    ) -> Option<ConnectionReuse> {
        let Forwarding {
            request,
            relay,
            history,
            sends,
            ..
        } = forwarding;
        history.last_cause = cause;
        while !sends.as_slice().is_empty() {
            let send = sends.remove(0);
            let part = send.stream().map(EventStream::part);
            self.record_part_end(part, cause);
            history.last_part = part.or(history.last_part);
            self.record_notice(request, &send.chosen, send.notice.get());
            request.sends += u32::from(send.is_waiting());
            history.may_have_run = true;
            if !relay.has_begun() {
                let mut state = self.state.borrow_mut();
                state.record_broken_run(request.fingerprint, &send.chosen, cause);
            }
        }
        relay
            .has_begun()
            .then(|| self.abort_stream(client, request, history, cause))
    }

    /// Ends a request whose client closed its connection while it was at replicas.
    fn client_disconnected(&self, forwarding: &mut Forwarding<'_>) -> ConnectionReuse {
        let Forwarding {
            request,
            history,
            sends,
            ..
        } = forwarding;
        while !sends.as_slice().is_empty() {
            let send = sends.remove(0);
            self.record_notice(request, &send.chosen, send.notice.get());
            let part = send.stream().map(EventStream::part);
            self.record_part_end(part, StreamEnd::ClientDisconnected.label());
            history.last_part = part.or(history.last_part);
            let mut state = self.state.borrow_mut();
            state.record_broken_run(request.fingerprint, &send.chosen, CLIENT_LEFT);
        }
        let outcome = RequestOutcome {
            status: 0,
            cause: CLIENT_LEFT,
            retry_after_ms: None,
        };
        self.log_request_end(request, history, &outcome, None);
        ConnectionReuse::Close
    }

    /// Counts the end of a replica's part of a stream, if it had a valid head.
    fn record_part_end(&self, part: Option<AnswerPart>, end: &'static str) {
        if let Some(part) = part {
            self.metrics
                .record_replica_answer(part.framing.label(), end);
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

    /// Waits until the request is refused because it is suspected of several crashes.
    async fn wait_until_refused(&self, request: &RoutedRequest) {
        let notice = self.state.borrow().suspects_notice.clone();
        loop {
            let changed = notice.notified();
            if self.is_refused_as_suspect(request) {
                return;
            }
            changed.await;
        }
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

    /// Records the outcome of a send; returns a response or stream that is to be sent
    /// to the client, or None after a failed attempt. `is_only` states whether no other send
    /// is under way, whose answer may be better.
    fn record_outcome(
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
    fn try_take_retry(
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
        if !is_safe || !request.has_attempts_left() {
            return false;
        }
        self.take_retry(request, history.last_cause)
    }

    /// Takes one send out of the retry budget of the request's service, for this cause;
    /// returns whether it allows one.
    fn take_retry(&self, request: &RoutedRequest, cause: &'static str) -> bool {
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
