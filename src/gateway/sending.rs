use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use tokio::time::Instant;

use crate::calls::AnswerDecision;
use crate::calls::AnswerUnderWay;
use crate::calls::StopAdmission;
use crate::fleet::ReplicaNotice;
use crate::gateway::Dialect;
use crate::gateway::SendFacts;
use crate::gateway::crash_signs::SuspectTrial;
use crate::gateway::crash_signs::check_replica;
use crate::gateway::crash_signs::check_replica_once;
use crate::gateway::end_causes::CRASH_SUSPECT;
use crate::gateway::end_causes::HOST_SILENT;
use crate::gateway::end_causes::REPLICA_ENDED;
use crate::gateway::end_causes::STOPPING;
use crate::gateway::end_causes::WEIGHTS_DUE;
use crate::gateway::event_stream::EventStream;
use crate::gateway::exchange;
use crate::gateway::exchange::ReplicaSend;
use crate::gateway::exchange::request_bytes;
use crate::gateway::forwarding::AttemptHistory;
use crate::gateway::forwarding::Forwarding;
use crate::gateway::gateway_handle::Gateway;
use crate::gateway::local_refusals::RETRY_AFTER_ELSEWHERE_MS;
use crate::gateway::placement::ChosenReplica;
use crate::gateway::relay::StreamRelay;
use crate::gateway::routed_request::RoutedRequest;
use crate::gateway::running_send::RunningSend;
use crate::gateway::send_results::MAX_FAILED_CONNECTIONS;
use crate::observe::Event;
use crate::observe::LogLine;

impl<D: Dialect + 'static> Gateway<D> {
    /// Begins a send while none is under way; the error is the cause of a refusal and the
    /// time after which the client should retry, in ms.
    pub(super) async fn begin_send<'a>(
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
        let refused = self.state.borrow().refused_causes(&request.causes);
        let trial = if refused.is_empty() {
            None
        } else {
            let trial = SuspectTrial::begin(&self.state, &request.causes, refused);
            Some(trial.ok_or((CRASH_SUSPECT, None))?)
        };
        if !relay.has_begun() && !self.can_end_before_stop(request) {
            return Err((STOPPING, Some(RETRY_AFTER_ELSEWHERE_MS)));
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

    /// Whether a request that is sent now is expected to end before a stop ends it; true
    /// without a stop.
    pub(super) fn can_end_before_stop(&self, request: &RoutedRequest) -> bool {
        let state = self.state.borrow();
        state.stop_left_ms(Instant::now()).is_none_or(|left_ms| {
            let admission = StopAdmission {
                left_ms,
                deadline_left_ms: request.left_ms(),
                longest_run_ms: state.run_times.longest_ms(&request.route.name),
                is_repeatable: request.route.kind.is_repeatable(),
            };
            admission.can_end()
        })
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
        let (bytes, body) = request_bytes(&*self.dialect, &request.head, &request.body, &facts);
        let notice = Rc::new(Cell::new(ReplicaNotice::default()));
        let progress_at = Rc::new(Cell::new(Instant::now()));
        let send = ReplicaSend {
            address: chosen.address,
            replica_id: chosen.id.clone(),
            attempt_id: request.facts.attempt_id.clone(),
            method: request.head.method.clone(),
            is_streaming,
            bytes,
            body,
            deadline: request.deadline,
            held: (self.state.borrow().answer_memory).hold_answer(exchange::MAX_RESPONSE_BYTES),
            notice: notice.clone(),
            progress_at: progress_at.clone(),
        };
        let exchange = exchange::send_to_replica(self.dialect.clone(), send);
        RunningSend::new(chosen, in_flight, notice, progress_at, trial, exchange)
    }

    /// Decides what becomes of a send that has brought nothing for a while.
    pub(super) fn check_send<'a>(&'a self, forwarding: &mut Forwarding<'a>, at: usize) {
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
            weights_due_ms: send.weights_due_ms(),
            begin: send.begin_sign(&self.state.borrow(), is_streaming),
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
            AnswerDecision::WeightsDue => return self.fail_send(forwarding, at, WEIGHTS_DUE),
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
        sends.has_room()
            && request.route.kind.is_repeatable()
            && relay.can_go_on()
            && (relay.has_begun() || self.can_end_before_stop(request))
            && request.sends + uncounted < request.route.max_attempts
            // The silence may be the crash after which the request is refused.
            && !(state.suspects).is_near_refusal(&request.causes, state.now_ms())
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
        if state.record_broken_run(&request.causes, chosen, "silent") {
            actix_rt::spawn(check_replica_once(self.state.clone(), chosen.address));
        }
    }

    /// Ends the sends whose answer has not begun, as their request has become refused.
    pub(super) fn withdraw_waiting(&self, forwarding: &mut Forwarding<'_>) {
        let is_withdrawable = |send: &RunningSend<'_>| self.is_withdrawable(send);
        while let Some(at) = (forwarding.sends.as_slice().iter()).position(is_withdrawable) {
            self.fail_send(forwarding, at, CRASH_SUSPECT);
        }
    }

    /// Whether a send is withdrawn when its request becomes refused: not from a replica that
    /// counts as crashed under it, which has ended, or else goes on and clears the request.
    pub(super) fn is_withdrawable(&self, send: &RunningSend<'_>) -> bool {
        send.is_waiting()
            && !send.is_trial()
            && !(self.state.borrow().suspects).has_crash(&send.chosen.process_crash())
    }

    /// Ends the sends beside the one at `at`, whose answer is passed on.
    pub(super) fn cancel_others(&self, forwarding: &mut Forwarding<'_>, at: usize) {
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
    pub(super) fn fail_send(
        &self,
        forwarding: &mut Forwarding<'_>,
        at: usize,
        cause: &'static str,
    ) {
        let Forwarding {
            request,
            history,
            sends,
            ..
        } = forwarding;
        let send = sends.remove(at);
        let part = send.stream().map(EventStream::part);
        self.record_part_end(part, cause);
        history.last_part = part.or(history.last_part);
        self.record_notice(request, &send.chosen, send.notice.get());
        request.sends += u32::from(send.is_waiting());
        history.may_have_run = true;
        history.last_cause = cause;
        let mut state = self.state.borrow_mut();
        self.record_broken_answer(&mut state, request, &send.chosen, cause, history);
        drop(state);
        self.log_failed_attempt(request, &send.chosen, cause, part);
    }

    /// Whether the request is refused because it is suspected of several crashes.
    pub(super) fn is_refused_as_suspect(&self, request: &RoutedRequest) -> bool {
        let state = self.state.borrow();
        !state.refused_causes(&request.causes).is_empty()
    }

    /// Waits until the request is refused because it is suspected of several crashes.
    pub(super) async fn wait_until_refused(&self, request: &RoutedRequest) {
        let notice = self.state.borrow().suspects_notice.clone();
        loop {
            let changed = notice.notified();
            if self.is_refused_as_suspect(request) {
                return;
            }
            changed.await;
        }
    }
}
