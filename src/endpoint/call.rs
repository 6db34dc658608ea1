use std::time::Duration;
use std::time::Instant;

use actix_web::HttpRequest;
use actix_web::HttpResponse;
use actix_web::web;
use actix_web::web::Bytes;
use futures_util::FutureExt;

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
use crate::endpoint::call_beats::beating_response;
use crate::endpoint::call_run::CallRun;
use crate::links::decode_call;
use crate::weights::Digest;

/// Takes in a call of the service beside this process.
pub async fn call(
    state: web::Data<EndpointState>,
    request: HttpRequest,
    body: Bytes,
) -> HttpResponse {
    let call: ServiceCall = match decode_call(&request, &body, &state.node.cluster().shared_key) {
        Ok(call) => call,
        Err(fault) => return fault.response(),
    };
    let deadline = Instant::now() + Duration::from_millis(call.deadline_ms);
    beating_response(async move {
        let request_id = call.request_id.clone();
        let told = match call.permit.clone() {
            Some(permit) => call_once(&state, call, permit, deadline).await,
            None => call_repeatable(&state, call, deadline).await,
        };
        ServiceReply { request_id, told }
    })
}

/// Answers what became of a permit, and waits for a call that runs.
pub async fn nonce(
    state: web::Data<EndpointState>,
    request: HttpRequest,
    body: Bytes,
) -> HttpResponse {
    let question: PermitStatusQuery =
        match decode_call(&request, &body, &state.node.cluster().shared_key) {
            Ok(question) => question,
            Err(fault) => return fault.response(),
        };
    beating_response(async move {
        let asked = ask(&state, &question.permit, question.reason);
        let told = match asked {
            PermitStatus::NotRun(reason) => CallReport::Ended(CallOutcome::not_run(reason)),
            PermitStatus::Ended(outcome) => CallReport::Ended(outcome),
            PermitStatus::Unknown(reason) => CallReport::NotHere(reason),
            PermitStatus::Running => CallReport::Ended(end_of(&state, &question.permit).await),
        };
        ServiceReply {
            request_id: question.request_id,
            told,
        }
    })
}

/// Runs a call that may not be repeated, once, whoever sends it how often.
async fn call_once(
    state: &web::Data<EndpointState>,
    call: ServiceCall,
    permit: Permit,
    deadline: Instant,
) -> CallReport {
    let request = fingerprint(&call.target(), call.body.as_bytes());
    let admitted = admit(state, &call, request);
    let now_ms = state.node.now_ms();
    let begun = match &admitted {
        Ok(_) => state.permits().begin_call(&permit, request, now_ms),
        Err(reason) => state
            .permits()
            .refuse_call(&permit, request, *reason, now_ms),
    };
    if let (CallDecision::Run, Ok(admitted)) = (&begun, admitted) {
        start(admitted, call, permit.clone(), deadline);
        return CallReport::Ended(end_of(state, &permit).await);
    }
    match begun {
        CallDecision::Run | CallDecision::Join => CallReport::Ended(end_of(state, &permit).await),
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

/// Runs a call that may be repeated; it ends with the connection it came on.
async fn call_repeatable(
    state: &web::Data<EndpointState>,
    call: ServiceCall,
    deadline: Instant,
) -> CallReport {
    let request = fingerprint(&call.target(), call.body.as_bytes());
    let admitted = match admit(state, &call, request) {
        Ok(admitted) => admitted,
        Err(reason) => {
            state.node.metrics().record_refusal(reason.code());
            return CallReport::Ended(CallOutcome::not_run(reason));
        }
    };
    let _running = state.calls.repeatable();
    let run = CallRun::new(&admitted.state, request, deadline);
    CallReport::Ended(run.execute(call, None).await)
}

/// A call that may start; holds the slot for suspects where it needs it.
struct Admitted {
    state: web::Data<EndpointState>,
    request: Digest,
    has_slot: bool,
}

impl Drop for Admitted {
    fn drop(&mut self) {
        if self.has_slot {
            self.state
                .calls
                .with_slot(|slot| slot.release(self.request));
        }
    }
}

/// Whether a new call may start here, or why not.
fn admit(
    state: &web::Data<EndpointState>,
    call: &ServiceCall,
    request: Digest,
) -> Result<Admitted, RefusalReason> {
    if state.node.is_leaving() {
        return Err(RefusalReason::Leaving);
    }
    if call.deadline_ms == 0 {
        return Err(RefusalReason::DeadlinePassed);
    }
    let now_ms = state.node.now_ms();
    // The call may have waited unread while the process was paused.
    if state.calls.pauses().pause_ms(now_ms) >= call.deadline_ms {
        return Err(RefusalReason::Paused);
    }
    let limit = state.settings.slots + state.settings.queue_limit;
    if state.calls.running() as u64 >= limit {
        return Err(RefusalReason::Overloaded);
    }
    let standing = state.node.suspects().request_status(request, now_ms);
    let has_slot = match standing {
        SuspectStatus::Clear => false,
        SuspectStatus::Refused => return Err(RefusalReason::CrashSuspect),
        SuspectStatus::Suspect if state.calls.with_slot(|slot| slot.try_acquire(request)) => true,
        SuspectStatus::Suspect => return Err(RefusalReason::SuspectBusy),
    };
    Ok(Admitted {
        state: state.clone(),
        request,
        has_slot,
    })
}

/// Runs a call in a task of its own, so that it outlives the connection.
fn start(admitted: Admitted, call: ServiceCall, permit: Permit, deadline: Instant) {
    let nonce = permit.nonce;
    let state = admitted.state.clone();
    let task = actix_rt::spawn(async move {
        let run = CallRun::new(&admitted.state, admitted.request, deadline);
        let outcome = run.execute(call, Some(nonce)).await;
        admitted.state.permits().finish_call(&permit, outcome);
        admitted.state.calls.ended(nonce);
    });
    state.calls.started(nonce, task.map(|_| ()).boxed());
}

/// Outcome of a call that was running; it is never "not here".
async fn end_of(state: &EndpointState, permit: &Permit) -> CallOutcome {
    if let Some(end) = state.calls.end_of(permit.nonce) {
        end.await;
    }
    match ask(state, permit, RefusalReason::Withdrawn) {
        PermitStatus::Ended(outcome) => outcome,
        PermitStatus::NotRun(reason) => CallOutcome::not_run(reason),
        PermitStatus::Unknown(reason) => CallOutcome::unknown(reason),
        PermitStatus::Running => CallOutcome::unknown(UnknownReason::ServiceLost),
    }
}

fn ask(state: &EndpointState, permit: &Permit, reason: RefusalReason) -> PermitStatus {
    let now_ms = state.node.now_ms();
    state.permits().status_or_refuse(permit, reason, now_ms)
}
