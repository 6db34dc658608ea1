use std::time::Duration;

use futures_util::FutureExt;
use tokio::time::Instant;

use crate::gateway::Dialect;
use crate::gateway::active_request::wait_until_ending;
use crate::gateway::connection_reuse::ConnectionReuse;
use crate::gateway::end_causes::CLIENT_LEFT;
use crate::gateway::end_causes::STOPPING;
use crate::gateway::event_stream::EventStream;
use crate::gateway::forwarding::AttemptHistory;
use crate::gateway::forwarding::Forwarding;
use crate::gateway::forwarding::Step;
use crate::gateway::gateway_handle::Gateway;
use crate::gateway::relay::StreamEnd;
use crate::gateway::relay::StreamRelay;
use crate::gateway::request_outcome::RequestOutcome;
use crate::gateway::routed_request::RoutedRequest;
use crate::gateway::running_send::RunningSends;
use crate::gateway::running_send::SendProgress;
use crate::http1::Connection;
use crate::http1::LATE_TIMER;

/// Most steps that are taken with what arrived before the deadline passed.
const MAX_LATE_STEPS: u32 = 3;

/// Lateness of a timer from which the process itself was away, and not its replicas.
const STALL_TIME: Duration = Duration::from_millis(200);

/// Time for which a run that waits is kept after its request has become refused: other runs
/// that come to an end clear it.
const CLEARING_TIME: Duration = Duration::from_millis(250);

/// Retry-After of a refusal after the attempts at replicas have failed, in ms.
const RETRY_AFTER_FAILURE_MS: u64 = 500;

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
                return self
                    .end_forwarding(client, forwarding, cause, retry_after_ms)
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
                    let reuse = self.end_sends(&mut forwarding, STOPPING);
                    if reuse.is_none() {
                        return self
                            .end_forwarding(client, forwarding, STOPPING, None)
                            .await;
                    }
                    reuse
                }
                Step::TimedOut => self.end_sends(&mut forwarding, StreamEnd::TimedOut.label()),
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
                let cause = history.last_cause;
                let retry_after_ms = Some(RETRY_AFTER_FAILURE_MS);
                return self
                    .end_forwarding(client, forwarding, cause, retry_after_ms)
                    .await;
            }
        }
    }

    /// Ends a request that is not sent to a further replica, for this cause.
    async fn end_forwarding(
        &self,
        client: &mut Connection,
        forwarding: Forwarding<'_>,
        cause: &'static str,
        retry_after_ms: Option<u64>,
    ) -> ConnectionReuse {
        let Forwarding {
            request,
            relay,
            history,
            ..
        } = forwarding;
        self.end_attempts(client, &request, &relay, history, cause, retry_after_ms)
            .await
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
            () = wait_until_ending(&self.state) => return Step::Ending,
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

    /// Ends a request whose client has the whole stream.
    pub(super) fn complete_stream(
        &self,
        forwarding: &mut Forwarding<'_>,
        at: usize,
    ) -> ConnectionReuse {
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
        self.record_run_time(request);
        let latency_ms = relay.first_event_at().map_or(0.0, |at| {
            at.duration_since(request.received_at).as_secs_f64() * 1_000.0
        });
        let mut state = self.state.borrow_mut();
        let now_ms = state.now_ms();
        state
            .replicas
            .record_answer(send.chosen.key, latency_ms, false, now_ms);
        state.record_completed_run(&request.causes, true);
        drop(state);
        let outcome = RequestOutcome {
            status: 200,
            cause: "complete",
            retry_after_ms: None,
        };
        let stream = Some((latency_ms, relay.events()));
        self.log_request_end(request, history, &outcome, stream);
        relay.connection_reuse()
    }

    /// Ends the sends of a request for which there is no more time, for this cause; returns
    /// whether the client's connection is kept if a stream has begun, whose end its client
    /// then sees.
    pub(super) fn end_sends(
        &self,
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
                state.record_broken_run(&request.causes, &send.chosen, cause);
            }
        }
        relay
            .has_begun()
            .then(|| self.abort_stream(request, history, cause))
    }

    /// Ends a request whose client closed its connection while it was at replicas.
    pub(super) fn client_disconnected(&self, forwarding: &mut Forwarding<'_>) -> ConnectionReuse {
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
            state.record_broken_run(&request.causes, &send.chosen, CLIENT_LEFT);
        }
        let outcome = RequestOutcome {
            status: 0,
            cause: CLIENT_LEFT,
            retry_after_ms: None,
        };
        self.log_request_end(request, history, &outcome, None);
        ConnectionReuse::Close
    }
}
