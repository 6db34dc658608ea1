use std::pin::pin;
use std::time::Duration;
use std::time::Instant;

use actix_web::HttpRequest;
use actix_web::HttpResponse;
use actix_web::web;
use futures_util::future::Either;
use futures_util::future::select;
use serde::Deserialize;
use serde_json::value::RawValue;

use crate::calls::CallOutcome;
use crate::calls::Nonce;
use crate::calls::Permit;
use crate::calls::RefusalReason;
use crate::calls::ServiceCall;
use crate::calls::UnknownReason;
use crate::clients::REQUEST_ID_HEADER;
use crate::entry::ApiError;
use crate::entry::EntryState;
use crate::entry::ErrorCode;
use crate::entry::auth;
use crate::entry::call_answer::call_response;
use crate::entry::call_permits;
use crate::entry::idempotent_call::send_idempotent_call;
use crate::entry::non_idempotent_call::NonIdempotentCall;
use crate::entry::service_access::authorize_service;
use crate::observe::Event;
use crate::observe::emit_event;

/// Deadline when the caller names none, in milliseconds.
const DEFAULT_DEADLINE_MS: u64 = 10_000;

/// Longest deadline that a caller may name, in milliseconds.
const MAX_DEADLINE_MS: u64 = 600_000;

/// Longest request id of a caller that is used; a longer one is replaced.
const MAX_REQUEST_ID_CHARS: usize = 128;

/// Send number of a call that carries none.
///
/// Only send 1 can be the sole send of a permit, for which "not run" may be reported, so
/// a send without a number must not count as send 1.
const UNNUMBERED_SEND: u32 = u32::MAX;

/// Body of `POST /v1/call`.
#[derive(Debug, Deserialize)]
pub struct CallBody {
    branch: String,
    service: String,
    path: String,
    body: Box<RawValue>,
    permit: Option<Permit>,
    /// Number of this send of the permit, from 1; a retry with the same permit has the next.
    send: Option<u32>,
    deadline_ms: Option<u64>,
}

/// Handles `POST /v1/call`: sends a call to an endpoint of a service.
pub async fn post_call(
    state: web::Data<EntryState>,
    request: HttpRequest,
    body: web::Json<CallBody>,
) -> Result<HttpResponse, ApiError> {
    let document = state.node.document();
    let body = body.into_inner();
    let branch = auth::authenticate_branch(&document, &body.branch, &request)?;
    let service = authorize_service(&document, &branch, &body.service)?;
    check_call_path(&body.path)?;
    let deadline_ms = body.deadline_ms.unwrap_or(DEFAULT_DEADLINE_MS);
    let deadline_ms = deadline_ms.min(MAX_DEADLINE_MS);
    let request_id = request_id(&request);
    let call = ServiceCall {
        request_id: Nonce::random().to_string(),
        branch: branch.name.clone(),
        service: service.name.clone(),
        path: body.path,
        body: body.body.to_string(),
        permit: None,
        deadline_ms,
    };
    let started = Instant::now();
    let deadline = started + Duration::from_millis(deadline_ms);
    let target = call.target();
    let is_idempotent = service.idempotent.contains(&call.path);
    let send_no = body.send.unwrap_or(UNNUMBERED_SEND);
    let outcome = pin!(async {
        match is_idempotent {
            true => send_idempotent_call(&state, call, deadline).await,
            false => call_with_permit(&state, call, body.permit, send_no, deadline).await,
        }
    });
    let drain_end = pin!(state.drain_end.reached());
    let outcome = match select(outcome, drain_end).await {
        Either::Left((outcome, _)) => outcome,
        Either::Right(_) => CallOutcome::unknown(UnknownReason::StillRunning),
    };
    if let CallOutcome::Answer(_) = &outcome {
        state.record_run(&[&target], started.elapsed());
    }
    if let CallOutcome::NotRun { reason, .. } = &outcome {
        state.node.metrics().record_refusal(reason.code());
        emit_event(
            Event::CallRefused,
            &[("request_id", &request_id), ("reason", &reason.code())],
        );
    }
    let issue_permit = || call_permits::issue_permits(&state, &branch.name, &service.name, 1).pop();
    Ok(call_response(outcome, &request_id, issue_permit))
}

/// Sends a non-idempotent call if its permit is valid for it.
async fn call_with_permit(
    state: &EntryState,
    call: ServiceCall,
    permit: Option<Permit>,
    send_no: u32,
    deadline: Instant,
) -> CallOutcome {
    let Some(permit) = permit else {
        return CallOutcome::not_run(RefusalReason::PermitRequired);
    };
    let is_valid = permit.has_valid_seal(&state.permit_key)
        && permit.branch == call.branch
        && permit.service == call.service;
    if !is_valid {
        return CallOutcome::not_run(RefusalReason::PermitInvalid);
    }
    let call = ServiceCall {
        permit: Some(permit.clone()),
        ..call
    };
    let call = NonIdempotentCall {
        state,
        call,
        permit,
        send_no,
        deadline,
    };
    call.run().await
}

/// Checks that a path consists of plain segments, so that it cannot escape the base path
/// of the service's calls.
fn check_call_path(path: &str) -> Result<(), ApiError> {
    let is_plain = |segment: &str| {
        !segment.is_empty()
            && segment
                .bytes()
                .all(|byte| byte.is_ascii_alphanumeric() || byte == b'-' || byte == b'_')
    };
    if path.split('/').all(is_plain) {
        return Ok(());
    }
    let message = format!(
        "path {path:?} must consist of segments of letters, digits, '-' and '_', separated by '/'"
    );
    Err(ApiError::new(ErrorCode::BadRequest, message))
}

/// Request id that the caller sent, or a new one.
fn request_id(request: &HttpRequest) -> String {
    request
        .headers()
        .get(REQUEST_ID_HEADER)
        .and_then(|value| value.to_str().ok())
        .filter(|id| id.len() <= MAX_REQUEST_ID_CHARS)
        .map_or_else(|| Nonce::random().to_string(), str::to_owned)
}
