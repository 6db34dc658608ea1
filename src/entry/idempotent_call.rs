use std::net::SocketAddr;
use std::time::Instant;

use rand::seq::SliceRandom;

use crate::calls::CallOutcome;
use crate::calls::CallReport;
use crate::calls::Nonce;
use crate::calls::RefusalReason;
use crate::calls::ServiceCall;
use crate::calls::UnknownReason;
use crate::entry::EntryState;
use crate::entry::call_exchange::ConnectionKind;
use crate::entry::call_exchange::ExchangeResult;
use crate::entry::call_exchange::exchange_message;
use crate::hosts::HostKey;
use crate::hosts::HostRole;
use crate::observe::Event;
use crate::observe::emit_event;

/// Largest number of attempts for one call.
const MAX_ATTEMPTS: usize = 3;

/// Sends an idempotent call, and again to another endpoint if its answer is lost.
pub(super) async fn send_idempotent_call(
    state: &EntryState,
    call: ServiceCall,
    deadline: Instant,
) -> CallOutcome {
    if !state.node.is_ready() {
        return CallOutcome::not_run(RefusalReason::NotReady);
    }
    state.calls.retry_budget().count_request(&call.branch);
    let mut last_outcome = CallOutcome::not_run(RefusalReason::NoEndpoint);
    for (attempt_no, (host_key, address)) in call_candidates(state, &call.service)
        .into_iter()
        .enumerate()
    {
        if attempt_no > 0 && !take_retry(state, &call.branch, &last_outcome) {
            break;
        }
        if Instant::now() >= deadline {
            return CallOutcome::not_run(RefusalReason::DeadlinePassed);
        }
        // A pooled connection may have broken unnoticed, so a retry opens a new one.
        let connection = match attempt_no {
            0 => ConnectionKind::Pooled,
            _ => ConnectionKind::Fresh,
        };
        last_outcome = send_attempt(state, &call, host_key, address, connection, deadline).await;
        if !is_retryable(&last_outcome) {
            break;
        }
    }
    last_outcome
}

/// Usable endpoints of a service in the order of attempts, at random.
fn call_candidates(state: &EntryState, service: &str) -> Vec<(HostKey, SocketAddr)> {
    let now_ms = state.node.now_ms();
    let mut endpoints: Vec<_> = state
        .node
        .roster()
        .usable(HostRole::Endpoint, now_ms)
        .filter(|(_, host)| host.service.as_deref() == Some(service))
        .map(|(host_key, host)| (host_key, host.address))
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

/// Takes a retry from the budget of the branch; returns false if there is none left.
fn take_retry(state: &EntryState, branch: &str, last_outcome: &CallOutcome) -> bool {
    if !state.calls.retry_budget().try_retry(branch) {
        let reason = RefusalReason::RetryBudgetSpent;
        state.node.metrics().record_refusal(reason.code());
        return false;
    }
    state.node.metrics().record_retry(last_outcome.code());
    emit_event(Event::CallRetried, &[("reason", &last_outcome.code())]);
    true
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

/// Sends the call to one endpoint and updates the endpoint's status in the roster.
async fn send_attempt(
    state: &EntryState,
    call: &ServiceCall,
    host_key: HostKey,
    address: SocketAddr,
    connection: ConnectionKind,
    deadline: Instant,
) -> CallOutcome {
    let left = deadline.saturating_duration_since(Instant::now());
    let attempt = ServiceCall {
        request_id: Nonce::random().to_string(),
        deadline_ms: u64::try_from(left.as_millis()).unwrap_or(u64::MAX),
        ..call.clone()
    };
    let url = format!("http://{address}/x/call");
    let http = state.node.http();
    let request_id = attempt.request_id.as_str();
    let result = exchange_message(http, connection, &url, request_id, &attempt, deadline).await;
    let outcome = match result {
        ExchangeResult::Report(CallReport::Ended(outcome)) => outcome,
        ExchangeResult::Report(CallReport::NotHere(reason)) => CallOutcome::unknown(reason),
        ExchangeResult::StillRunning => CallOutcome::unknown(UnknownReason::StillRunning),
        ExchangeResult::NotSent => CallOutcome::not_run(RefusalReason::Unreachable),
        ExchangeResult::Lost(cause) => {
            emit_event(Event::ConnectionSilent, &[("cause", &cause)]);
            CallOutcome::unknown(UnknownReason::EndpointLost)
        }
    };
    let now_ms = state.node.now_ms();
    match &outcome {
        CallOutcome::NotRun {
            reason: RefusalReason::Unreachable,
            ..
        } => state.node.roster().record_failure(host_key, now_ms),
        CallOutcome::NotRun {
            reason: RefusalReason::Leaving,
            ..
        } => state.node.roster().record_leaving(host_key),
        _ => {}
    }
    outcome
}
