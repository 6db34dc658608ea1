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
use crate::entry::call_link::Connection;
use crate::entry::call_link::Heard;
use crate::entry::call_link::exchange;
use crate::hosts::HostKey;
use crate::hosts::HostRole;
use crate::observe::Event;
use crate::observe::emit_event;

/// Endpoints tried for one call.
const MAX_TRIES: usize = 3;

/// Sends an idempotent call, again elsewhere if its answer is lost.
pub(super) async fn call_repeatable(
    state: &EntryState,
    call: ServiceCall,
    deadline: Instant,
) -> CallOutcome {
    if !state.node.is_ready() {
        return CallOutcome::not_run(RefusalReason::NotReady);
    }
    state.calls.retries().count_request(&call.branch);
    let mut last = CallOutcome::not_run(RefusalReason::NoEndpoint);
    for (tried, (key, address)) in candidates(state, &call.service).into_iter().enumerate() {
        if tried > 0 && !may_retry(state, &call.branch, &last) {
            break;
        }
        if Instant::now() >= deadline {
            return CallOutcome::not_run(RefusalReason::DeadlinePassed);
        }
        // A pooled connection may have gone silent; a retry takes a new one.
        let connection = match tried {
            0 => Connection::Pooled,
            _ => Connection::Fresh,
        };
        last = send(state, &call, key, address, connection, deadline).await;
        if !is_worth_retry(&last) {
            break;
        }
    }
    last
}

fn candidates(state: &EntryState, service: &str) -> Vec<(HostKey, SocketAddr)> {
    let now_ms = state.node.now_ms();
    let mut found: Vec<_> = state
        .node
        .roster()
        .usable(HostRole::Endpoint, now_ms)
        .filter(|(_, host)| host.service.as_deref() == Some(service))
        .map(|(key, host)| (key, host.address))
        .collect();
    found.shuffle(&mut rand::rng());
    // A lone endpoint is tried again over a new connection.
    let all = found.len();
    found
        .into_iter()
        .cycle()
        .take(MAX_TRIES.min(all * 2))
        .collect()
}

fn may_retry(state: &EntryState, branch: &str, last: &CallOutcome) -> bool {
    if !state.calls.retries().try_retry(branch) {
        let reason = RefusalReason::RetryBudgetSpent;
        state.node.metrics().record_refusal(reason.code());
        return false;
    }
    state.node.metrics().record_retry(last.code());
    emit_event(Event::CallRetried, &[("reason", &last.code())]);
    true
}

/// Whether another endpoint, or another connection, may do better.
fn is_worth_retry(outcome: &CallOutcome) -> bool {
    match outcome {
        CallOutcome::Answer(_) => false,
        CallOutcome::Unknown { reason, .. } => *reason != UnknownReason::StillRunning,
        CallOutcome::NotRun { reason, .. } => matches!(
            reason,
            RefusalReason::Leaving | RefusalReason::Unreachable | RefusalReason::SuspectBusy
        ),
    }
}

async fn send(
    state: &EntryState,
    call: &ServiceCall,
    key: HostKey,
    address: SocketAddr,
    connection: Connection,
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
    let heard = exchange(http, connection, &url, request_id, &attempt, deadline).await;
    let outcome = match heard {
        Heard::Told(CallReport::Ended(outcome)) => outcome,
        Heard::Told(CallReport::NotHere(reason)) => CallOutcome::unknown(reason),
        Heard::StillRunning => CallOutcome::unknown(UnknownReason::StillRunning),
        Heard::NotSent => CallOutcome::not_run(RefusalReason::Unreachable),
        Heard::Lost(cause) => {
            emit_event(Event::ConnectionSilent, &[("cause", &cause)]);
            CallOutcome::unknown(UnknownReason::EndpointLost)
        }
    };
    let now_ms = state.node.now_ms();
    match &outcome {
        CallOutcome::NotRun {
            reason: RefusalReason::Unreachable,
            ..
        } => state.node.roster().failed(key, now_ms),
        CallOutcome::NotRun {
            reason: RefusalReason::Leaving,
            ..
        } => state.node.roster().leaving(key),
        _ => {}
    }
    outcome
}
