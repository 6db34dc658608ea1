use std::collections::VecDeque;
use std::net::SocketAddr;
use std::time::Instant;

use futures_util::FutureExt;
use futures_util::StreamExt;
use futures_util::future::LocalBoxFuture;
use futures_util::stream::FuturesUnordered;
use rand::seq::SliceRandom;

use crate::calls::CallOutcome;
use crate::calls::CallReport;
use crate::calls::Nonce;
use crate::calls::RefusalReason;
use crate::calls::ServiceCall;
use crate::calls::UnknownReason;
use crate::entry::EntryState;
use crate::entry::call_exchange::ConnectionKind;
use crate::entry::call_exchange::Exchange;
use crate::entry::call_exchange::ExchangeResult;
use crate::hosts::HostKey;
use crate::hosts::HostRole;
use crate::observe::Event;
use crate::observe::emit_event;

/// Largest number of attempts for one call.
const MAX_ATTEMPTS: usize = 3;

/// Sends an idempotent call, and again to another endpoint if its answer is lost or the
/// connection is silent.
///
/// An attempt that is silent goes on beside the next one, as it may be the only one that is
/// answered.
pub(super) async fn send_idempotent_call(
    state: &EntryState,
    call: ServiceCall,
    deadline: Instant,
) -> CallOutcome {
    if !state.node.is_ready() {
        return CallOutcome::not_run(RefusalReason::NotReady);
    }
    let deadline_left = deadline.saturating_duration_since(Instant::now());
    if !state.can_end(&[&call.target()], deadline_left, true) {
        return CallOutcome::not_run(RefusalReason::Leaving);
    }
    state.calls.retry_budget().count_request(&call.branch);
    let mut candidates = call_candidates(state, &call.service);
    let Some(first) = candidates.pop_front() else {
        return CallOutcome::not_run(RefusalReason::NoEndpoint);
    };
    if Instant::now() >= deadline {
        return CallOutcome::not_run(RefusalReason::DeadlinePassed);
    }
    let mut run = IdempotentCall {
        state,
        call,
        deadline,
        candidates,
        hosts: Vec::new(),
        running: FuturesUnordered::new(),
        lost: None,
    };
    // A pooled connection may have broken unnoticed, so a retry opens a new one.
    run.start_attempt(first, ConnectionKind::Pooled);
    run.wait_for_outcome().await
}

/// An endpoint that a call may be sent to.
#[derive(Debug, Clone, Copy)]
struct CallCandidate {
    host_key: HostKey,
    address: SocketAddr,
    incarnation: u64,
}

/// One send of the call to an endpoint.
struct Attempt {
    candidate: CallCandidate,
    exchange: Exchange,
}

impl Attempt {
    /// Waits until the attempt has ended or is silent.
    async fn wait(mut self) -> (Self, ExchangeResult) {
        let result = self.exchange.wait().await;
        (self, result)
    }
}

/// A call with its attempts under way.
struct IdempotentCall<'a> {
    state: &'a EntryState,
    call: ServiceCall,
    deadline: Instant,
    /// Endpoints in the order of attempts.
    candidates: VecDeque<CallCandidate>,
    /// Hosts of the attempts under way.
    hosts: Vec<HostKey>,
    running: FuturesUnordered<LocalBoxFuture<'a, (Attempt, ExchangeResult)>>,
    /// Outcome of the first attempt that may have run.
    lost: Option<CallOutcome>,
}

impl IdempotentCall<'_> {
    /// Waits until an attempt is answered or none is left.
    async fn wait_for_outcome(mut self) -> CallOutcome {
        let mut last_outcome = CallOutcome::not_run(RefusalReason::NoEndpoint);
        while let Some((attempt, result)) = self.running.next().await {
            if matches!(result, ExchangeResult::Silent) && !self.is_replaced(&attempt.candidate) {
                self.start_beside(&attempt);
                self.running.push(attempt.wait().boxed_local());
                continue;
            }
            let host_key = attempt.candidate.host_key;
            if let Some(at) = self.hosts.iter().position(|host| *host == host_key) {
                self.hosts.swap_remove(at);
            }
            last_outcome = attempt_outcome(result);
            self.update_roster(host_key, &last_outcome);
            if matches!(last_outcome, CallOutcome::Answer(_)) {
                return last_outcome;
            }
            if matches!(last_outcome, CallOutcome::Unknown { .. }) {
                self.lost.get_or_insert_with(|| last_outcome.clone());
            }
            if is_retryable(&last_outcome) {
                self.start_next(last_outcome.code(), is_planned(&last_outcome));
            }
        }
        // A refusal of the last attempt does not mean that none of the others has run.
        match last_outcome {
            CallOutcome::NotRun { .. } => self.lost.unwrap_or(last_outcome),
            _ => last_outcome,
        }
    }

    /// Starts another attempt beside one that is silent, unless it would reach the same silent
    /// process.
    fn start_beside(&mut self, silent: &Attempt) {
        let Some(next) = self.candidates.front() else {
            return;
        };
        let now_ms = self.state.node.now_ms();
        let silent_ms = self
            .state
            .node
            .roster()
            .host(next.host_key)
            .and_then(|host| host.silent_ms(now_ms));
        let is_heard = silent_ms.is_some_and(|ms| silent.exchange.is_only_connection_silent(ms));
        if is_heard || !self.hosts.contains(&next.host_key) {
            self.start_next(UnknownReason::EndpointLost.code(), false);
        }
    }

    /// Starts the next attempt, if one is left and the retry budget allows it; one after a
    /// planned stop of an endpoint must not use up the budget of a branch.
    fn start_next(&mut self, reason: &'static str, is_exempt: bool) {
        if self.candidates.is_empty() || Instant::now() >= self.deadline {
            return;
        }
        if !self.take_retry(reason, is_exempt) {
            self.candidates.clear();
            return;
        }
        if let Some(next) = self.candidates.pop_front() {
            self.start_attempt(next, ConnectionKind::Fresh);
        }
    }

    fn start_attempt(&mut self, candidate: CallCandidate, connection: ConnectionKind) {
        let left = self.deadline.saturating_duration_since(Instant::now());
        let message = ServiceCall {
            request_id: Nonce::random().to_string(),
            deadline_ms: u64::try_from(left.as_millis()).unwrap_or(u64::MAX),
            ..self.call.clone()
        };
        let url = format!("http://{}/x/call", candidate.address);
        let http = self.state.node.http();
        let request_id = message.request_id.as_str();
        let exchange = Exchange::start(http, connection, &url, request_id, &message, self.deadline);
        let attempt = Attempt {
            candidate,
            exchange,
        };
        self.hosts.push(candidate.host_key);
        self.running.push(attempt.wait().boxed_local());
    }

    /// Takes a retry from the budget of the branch, unless it is exempt; returns false if there
    /// is none left.
    fn take_retry(&self, reason: &'static str, is_exempt: bool) -> bool {
        let metrics = self.state.node.metrics();
        let is_allowed = is_exempt || self.state.calls.retry_budget().try_retry(&self.call.branch);
        if !is_allowed {
            metrics.record_refusal(RefusalReason::RetryBudgetSpent.code());
            return false;
        }
        metrics.record_retry(reason);
        emit_event(Event::CallRetried, &[("reason", &reason)]);
        true
    }

    /// Whether the endpoint process has been replaced since the call was sent.
    fn is_replaced(&self, candidate: &CallCandidate) -> bool {
        let roster = self.state.node.roster();
        let host = roster.host(candidate.host_key);
        host.is_none_or(|host| host.incarnation != candidate.incarnation)
    }

    /// Records in the roster that an endpoint is unreachable or leaving.
    fn update_roster(&self, host_key: HostKey, outcome: &CallOutcome) {
        let now_ms = self.state.node.now_ms();
        match outcome {
            CallOutcome::NotRun {
                reason: RefusalReason::Unreachable,
                ..
            } => self.state.node.roster().record_failure(host_key, now_ms),
            CallOutcome::NotRun {
                reason: RefusalReason::Leaving,
                ..
            } => self.state.node.roster().record_leaving(host_key),
            _ => {}
        }
    }
}

/// Usable endpoints of a service in the order of attempts, at random.
fn call_candidates(state: &EntryState, service: &str) -> VecDeque<CallCandidate> {
    let now_ms = state.node.now_ms();
    let mut endpoints: Vec<_> = state
        .node
        .roster()
        .usable(HostRole::Endpoint, now_ms)
        .filter(|(_, host)| host.service.as_deref() == Some(service))
        .map(|(host_key, host)| CallCandidate {
            host_key,
            address: host.address,
            incarnation: host.incarnation,
        })
        .collect();
    endpoints.shuffle(&mut rand::rng());
    // The list repeats, so that a single endpoint is tried again over a new connection.
    let endpoint_count = endpoints.len();
    endpoints
        .into_iter()
        .cycle()
        .take(MAX_ATTEMPTS.min(endpoint_count * 2))
        .collect()
}

/// Whether an attempt at another endpoint or over another connection may succeed.
fn is_retryable(outcome: &CallOutcome) -> bool {
    match outcome {
        CallOutcome::Answer(_) => false,
        CallOutcome::Unknown { reason, .. } => *reason != UnknownReason::StillRunning,
        CallOutcome::NotRun { reason, .. } => matches!(
            reason,
            RefusalReason::Leaving | RefusalReason::Unreachable | RefusalReason::SuspectBusy
        ),
    }
}

/// Whether an endpoint that stops as planned has refused the call or handed it back; one that
/// is lost says nothing.
fn is_planned(outcome: &CallOutcome) -> bool {
    matches!(
        outcome,
        CallOutcome::NotRun {
            reason: RefusalReason::Leaving,
            ..
        } | CallOutcome::Unknown {
            reason: UnknownReason::EndpointGone,
            ..
        }
    )
}

/// Outcome of an attempt that has ended.
fn attempt_outcome(result: ExchangeResult) -> CallOutcome {
    match result {
        ExchangeResult::Report(CallReport::Ended(outcome)) => outcome,
        ExchangeResult::Report(CallReport::NotHere(reason)) => CallOutcome::unknown(reason),
        ExchangeResult::StillRunning => CallOutcome::unknown(UnknownReason::StillRunning),
        ExchangeResult::NotSent => CallOutcome::not_run(RefusalReason::Unreachable),
        ExchangeResult::Lost(cause) => lost_outcome(cause),
        ExchangeResult::Silent => lost_outcome("silent"),
    }
}

/// Outcome of an attempt whose connection was abandoned.
fn lost_outcome(cause: &'static str) -> CallOutcome {
    emit_event(Event::ConnectionSilent, &[("cause", &cause)]);
    CallOutcome::unknown(UnknownReason::EndpointLost)
}
