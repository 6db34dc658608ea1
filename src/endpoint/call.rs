use std::future::Future;
use std::pin::pin;
use std::time::Duration;
use std::time::Instant;

use actix_web::HttpRequest;
use actix_web::HttpResponse;
use actix_web::web;
use actix_web::web::Bytes;
use futures_util::FutureExt;
use futures_util::future::Either;
use futures_util::future::select;

use crate::calls::CallDecision;
use crate::calls::CallOutcome;
use crate::calls::CallReport;
use crate::calls::Permit;
use crate::calls::PermitStatus;
use crate::calls::PermitStatusQuery;
use crate::calls::RefusalReason;
use crate::calls::ServiceCall;
use crate::calls::ServiceReply;
use crate::calls::SuspectStatus;
use crate::calls::UnknownReason;
use crate::calls::fingerprint;
use crate::endpoint::EndpointState;
use crate::endpoint::call_heartbeats::heartbeat_response;
use crate::endpoint::call_run::CallRun;
use crate::links::decode_call;
use crate::weights::Digest;

/// Handles a call to the plain service beside this process.
pub async fn handle_call(
    state: web::Data<EndpointState>,
    request: HttpRequest,
    body: Bytes,
) -> HttpResponse {
    let call: ServiceCall = match decode_call(&request, &body, &state.node.cluster().shared_key) {
        Ok(call) => call,
        Err(fault) => return fault.response(),
    };
    let deadline = Instant::now() + Duration::from_millis(call.deadline_ms);
    heartbeat_response(async move {
        let request_id = call.request_id.clone();
        // An entry sends an idempotent call to another endpoint then.
        let reason_at_drain_end = match &call.permit {
            Some(_) => UnknownReason::StillRunning,
            None => UnknownReason::EndpointGone,
        };
        let report = async {
            match call.permit.clone() {
                Some(permit) => run_with_permit(&state, call, permit, deadline).await,
                None => run_idempotent(&state, call, deadline).await,
            }
        };
        let report = until_drain_end(&state, report, reason_at_drain_end).await;
        ServiceReply {
            request_id,
            told: report,
        }
    })
}

/// Handles a query for the status of a permit; waits for the call if it is running.
pub async fn handle_permit_status(
    state: web::Data<EndpointState>,
    request: HttpRequest,
    body: Bytes,
) -> HttpResponse {
    let query: PermitStatusQuery =
        match decode_call(&request, &body, &state.node.cluster().shared_key) {
            Ok(query) => query,
            Err(fault) => return fault.response(),
        };
    heartbeat_response(async move {
        let status = permit_status(&state, &query.permit, query.reason);
        let report = async {
            match status {
                PermitStatus::NotRun(reason) => CallReport::Ended(CallOutcome::not_run(reason)),
                PermitStatus::Ended(outcome) => CallReport::Ended(outcome),
                PermitStatus::Unknown(reason) => CallReport::NotHere(reason),
                PermitStatus::Running => {
                    CallReport::Ended(wait_for_outcome(&state, &query.permit).await)
                }
            }
        };
        let report = until_drain_end(&state, report, UnknownReason::StillRunning).await;
        ServiceReply {
            request_id: query.request_id,
            told: report,
        }
    })
}

/// The report on a call, or `reason` if it is not ready at the end of a drain.
async fn until_drain_end(
    state: &EndpointState,
    report: impl Future<Output = CallReport>,
    reason: UnknownReason,
) -> CallReport {
    match select(pin!(report), pin!(state.drain_end.reached())).await {
        Either::Left((report, _)) => report,
        Either::Right(_) => CallReport::Ended(CallOutcome::unknown(reason)),
    }
}

/// Runs a call with a permit at most once, however often it is received.
async fn run_with_permit(
    state: &web::Data<EndpointState>,
    call: ServiceCall,
    permit: Permit,
    deadline: Instant,
) -> CallReport {
    let fingerprint = fingerprint(&call.target(), call.body.as_bytes());
    let admitted = admit_call(state, &call, fingerprint);
    let now_ms = state.node.now_ms();
    let decision = match &admitted {
        Ok(_) => state.permits().begin_call(&permit, fingerprint, now_ms),
        Err(reason) => state
            .permits()
            .refuse_call(&permit, fingerprint, *reason, now_ms),
    };
    if let (CallDecision::Run, Ok(admitted)) = (&decision, admitted) {
        spawn_call(admitted, call, permit.clone(), deadline);
        return CallReport::Ended(wait_for_outcome(state, &permit).await);
    }
    match decision {
        CallDecision::Run | CallDecision::Join => {
            CallReport::Ended(wait_for_outcome(state, &permit).await)
        }
        CallDecision::Ended(outcome) => CallReport::Ended(outcome),
        CallDecision::Refused {
            reason,
            retry_after_ms,
        } => {
            state.node.metrics().record_refusal(reason.code());
            CallReport::Ended(CallOutcome::NotRun {
                reason,
                retry_after_ms,
            })
        }
        CallDecision::Unknown(reason) => CallReport::NotHere(reason),
    }
}

/// Runs an idempotent call, which is cancelled when its connection closes.
async fn run_idempotent(
    state: &web::Data<EndpointState>,
    call: ServiceCall,
    deadline: Instant,
) -> CallReport {
    let fingerprint = fingerprint(&call.target(), call.body.as_bytes());
    let admitted = match admit_call(state, &call, fingerprint) {
        Ok(admitted) => admitted,
        Err(reason) => {
            state.node.metrics().record_refusal(reason.code());
            return CallReport::Ended(CallOutcome::not_run(reason));
        }
    };
    let _running = state.calls.count_idempotent();
    let run = CallRun::new(&admitted.state, fingerprint, deadline);
    CallReport::Ended(run.execute(call, None).await)
}

/// A call that may start; holds the slot for crash suspects if it needs it.
struct AdmittedCall {
    state: web::Data<EndpointState>,
    fingerprint: Digest,
    holds_suspect_slot: bool,
}

impl Drop for AdmittedCall {
    fn drop(&mut self) {
        if self.holds_suspect_slot {
            self.state
                .calls
                .with_suspect_slot(|slot| slot.release(self.fingerprint));
        }
    }
}

/// Admits a new call, or returns why it is refused.
fn admit_call(
    state: &web::Data<EndpointState>,
    call: &ServiceCall,
    fingerprint: Digest,
) -> Result<AdmittedCall, RefusalReason> {
    if state.node.is_leaving() {
        return Err(RefusalReason::Leaving);
    }
    if call.deadline_ms == 0 {
        return Err(RefusalReason::DeadlinePassed);
    }
    let now_ms = state.node.now_ms();
    // The call may have waited to be read while the process was paused.
    if state.calls.pauses().pause_ms(now_ms) >= call.deadline_ms {
        return Err(RefusalReason::Paused);
    }
    let limit = state.settings.slots + state.settings.queue_limit;
    if state.calls.running_count() as u64 >= limit {
        return Err(RefusalReason::Overloaded);
    }
    let suspect_status = state.node.suspects().request_status(fingerprint, now_ms);
    let holds_suspect_slot = match suspect_status {
        SuspectStatus::Clear => false,
        SuspectStatus::Refused => return Err(RefusalReason::CrashSuspect),
        SuspectStatus::Suspect
            if state
                .calls
                .with_suspect_slot(|slot| slot.try_acquire(fingerprint)) =>
        {
            true
        }
        SuspectStatus::Suspect => return Err(RefusalReason::SuspectBusy),
    };
    Ok(AdmittedCall {
        state: state.clone(),
        fingerprint,
        holds_suspect_slot,
    })
}

/// Runs a call with a permit in a task of its own, so that it outlives the connection.
fn spawn_call(admitted: AdmittedCall, call: ServiceCall, permit: Permit, deadline: Instant) {
    let nonce = permit.nonce;
    let state = admitted.state.clone();
    let task = actix_rt::spawn(async move {
        let run = CallRun::new(&admitted.state, admitted.fingerprint, deadline);
        let outcome = run.execute(call, Some(nonce)).await;
        admitted.state.permits().finish_call(&permit, outcome);
        admitted.state.calls.remove_running(nonce);
    });
    state.calls.add_running(nonce, task.map(|_| ()).boxed());
}

/// Waits until a call that was started here has ended and returns its outcome.
///
/// If its record was dropped meanwhile, the outcome is unknown, and not
/// [`CallReport::NotHere`], which would mean that nothing was run.
async fn wait_for_outcome(state: &EndpointState, permit: &Permit) -> CallOutcome {
    if let Some(end) = state.calls.call_end(permit.nonce) {
        end.await;
    }
    match permit_status(state, permit, RefusalReason::Withdrawn) {
        PermitStatus::Ended(outcome) => outcome,
        PermitStatus::NotRun(reason) => CallOutcome::not_run(reason),
        PermitStatus::Unknown(reason) => CallOutcome::unknown(reason),
        PermitStatus::Running => CallOutcome::unknown(UnknownReason::ServiceLost),
    }
}

/// Status of a permit; one that is not known is refused for `reason` from now on.
fn permit_status(state: &EndpointState, permit: &Permit, reason: RefusalReason) -> PermitStatus {
    let now_ms = state.node.now_ms();
    state.permits().status_or_refuse(permit, reason, now_ms)
}
