use actix_web::HttpResponse;
use actix_web::HttpResponseBuilder;
use actix_web::http::StatusCode;
use actix_web::http::header::RETRY_AFTER;
use serde::Serialize;

use crate::calls::CallOutcome;
use crate::calls::Permit;
use crate::calls::RefusalReason;
use crate::clients::REQUEST_ID_HEADER;
use crate::entry::ErrorCode;

/// Milliseconds per second, the unit of the header `Retry-After`.
const MS_PER_S: u64 = 1000;

/// JSON body of the answer to a call that the service did not answer.
#[derive(Debug, Serialize)]
struct CallErrorBody<'a> {
    code: &'static str,
    outcome: &'static str,
    reason: &'static str,
    message: &'static str,
    request_id: &'a str,
    retry_after_ms: Option<u64>,
    /// Permit for the next send, if the call was not run and may be sent again.
    permit: Option<Permit>,
}

/// Answer to the caller; `permit` issues a new one if the call was not run and may be
/// sent again.
pub(super) fn call_response(
    outcome: CallOutcome,
    request_id: &str,
    permit: impl FnOnce() -> Option<Permit>,
) -> HttpResponse {
    let retry_after_ms = outcome.retry_after_ms();
    let reason = outcome.code();
    match outcome {
        CallOutcome::Answer(answer) => {
            let status = StatusCode::from_u16(answer.status).unwrap_or(StatusCode::BAD_GATEWAY);
            HttpResponse::build(status)
                .insert_header((REQUEST_ID_HEADER, request_id))
                .content_type("application/json")
                .body(answer.body)
        }
        CallOutcome::NotRun {
            reason: refusal, ..
        } => response_builder(error_code(refusal).status(), retry_after_ms)
            .insert_header((REQUEST_ID_HEADER, request_id))
            .json(CallErrorBody {
                code: error_code(refusal).name(),
                outcome: "not_run",
                reason,
                message: refusal.meaning(),
                request_id,
                retry_after_ms,
                permit: retry_after_ms.and_then(|_| permit()),
            }),
        CallOutcome::Unknown { .. } => {
            response_builder(ErrorCode::OutcomeUnknown.status(), retry_after_ms)
                .insert_header((REQUEST_ID_HEADER, request_id))
                .json(CallErrorBody {
                    code: ErrorCode::OutcomeUnknown.name(),
                    outcome: "unknown",
                    reason,
                    message: ErrorCode::OutcomeUnknown.meaning(),
                    request_id,
                    retry_after_ms,
                    permit: None,
                })
        }
    }
}

/// Builder of an answer with the status and, if there is a wait, the header `Retry-After`.
fn response_builder(status: StatusCode, retry_after_ms: Option<u64>) -> HttpResponseBuilder {
    let mut builder = HttpResponse::build(status);
    if let Some(wait_ms) = retry_after_ms {
        let seconds = wait_ms.div_ceil(MS_PER_S);
        builder.insert_header((RETRY_AFTER, seconds.to_string()));
    }
    builder
}

/// API error code for a refusal; several reasons share a code.
fn error_code(reason: RefusalReason) -> ErrorCode {
    match reason {
        RefusalReason::NotAllowed => ErrorCode::Forbidden,
        RefusalReason::BodyTooLarge => ErrorCode::BodyTooLarge,
        RefusalReason::Malformed
        | RefusalReason::PermitRequired
        | RefusalReason::PermitInvalid
        | RefusalReason::PermitReused => ErrorCode::BadRequest,
        RefusalReason::CrashSuspect => ErrorCode::RequestBlocked,
        RefusalReason::Overloaded | RefusalReason::OverShare | RefusalReason::SuspectBusy => {
            ErrorCode::Overloaded
        }
        RefusalReason::RetryBudgetSpent => ErrorCode::RetryBudgetSpent,
        RefusalReason::DeadlinePassed => ErrorCode::DeadlinePassed,
        RefusalReason::NoEndpoint => ErrorCode::NoReplica,
        RefusalReason::NotReady => ErrorCode::NotReady,
        RefusalReason::Leaving => ErrorCode::Leaving,
        _ => ErrorCode::NotRun,
    }
}
