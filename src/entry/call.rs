use std::time::Duration;
use std::time::Instant;

use actix_web::HttpRequest;
use actix_web::HttpResponse;
use actix_web::web;
use serde::Deserialize;
use serde_json::Value;

use crate::calls::CallOutcome;
use crate::calls::Nonce;
use crate::calls::Permit;
use crate::calls::RefusalReason;
use crate::calls::ServiceCall;
use crate::clients::REQUEST_ID_HEADER;
use crate::document::BranchSection;
use crate::document::Document;
use crate::document::ServiceSection;
use crate::entry::ApiError;
use crate::entry::EntryState;
use crate::entry::ErrorCode;
use crate::entry::auth;
use crate::entry::call_answer::respond;
use crate::entry::call_once::CallOnce;
use crate::entry::call_permits;
use crate::entry::call_repeatable::call_repeatable;
use crate::observe::Event;
use crate::observe::emit_event;

/// Time allowed when the caller names none.
const DEFAULT_DEADLINE_MS: u64 = 10_000;

/// Longest deadline a caller may name.
const MAX_DEADLINE_MS: u64 = 600_000;

/// Longest request id of a caller that is echoed.
const MAX_REQUEST_ID_CHARS: usize = 128;

/// Number taken for a send that the caller did not number.
///
/// Only send 1 can be vouched for, so an unnumbered one never counts as that.
const UNNUMBERED_SEND: u32 = u32::MAX;

/// A caller's call of a plain service.
#[derive(Debug, Deserialize)]
pub struct CallBody {
    branch: String,
    service: String,
    path: String,
    body: Value,
    permit: Option<Permit>,
    send: Option<u32>,
    deadline_ms: Option<u64>,
}

/// Sends a call to an endpoint of a plain service.
pub async fn call(
    state: web::Data<EntryState>,
    request: HttpRequest,
    body: web::Json<CallBody>,
) -> Result<HttpResponse, ApiError> {
    let document = state.node.document();
    let body = body.into_inner();
    let branch = auth::branch(&document, &body.branch, &request)?;
    let service = usable_service(&document, &branch, &body.service)?;
    check_path(&body.path)?;
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
    let deadline = Instant::now() + Duration::from_millis(deadline_ms);
    let outcome = if service.idempotent.contains(&call.path) {
        call_repeatable(&state, call, deadline).await
    } else {
        let send_no = body.send.unwrap_or(UNNUMBERED_SEND);
        call_with(&state, call, body.permit, send_no, deadline).await
    };
    if let CallOutcome::NotRun { reason, .. } = &outcome {
        state.node.metrics().record_refusal(reason.code());
        emit_event(
            Event::CallRefused,
            &[("request_id", &request_id), ("reason", &reason.code())],
        );
    }
    let fresh = || call_permits::issue(&state, &branch.name, &service.name, 1).pop();
    Ok(respond(outcome, &request_id, fresh))
}

/// Sends a call under its permit, if that is good for it.
async fn call_with(
    state: &EntryState,
    call: ServiceCall,
    permit: Option<Permit>,
    send_no: u32,
    deadline: Instant,
) -> CallOutcome {
    let Some(permit) = permit else {
        return CallOutcome::not_run(RefusalReason::PermitRequired);
    };
    let good = permit.has_valid_seal(&state.permit_key)
        && permit.branch == call.branch
        && permit.service == call.service;
    if !good {
        return CallOutcome::not_run(RefusalReason::PermitInvalid);
    }
    let call = ServiceCall {
        permit: Some(permit.clone()),
        ..call
    };
    let once = CallOnce {
        state,
        call,
        permit,
        send_no,
        deadline,
    };
    once.outcome().await
}

/// The service called `name`, if `branch` may use it.
pub(super) fn usable_service(
    document: &Document,
    branch: &BranchSection,
    name: &str,
) -> Result<ServiceSection, ApiError> {
    let service = document.service(name).ok_or_else(|| {
        let message = format!("service {name:?} does not exist");
        ApiError::new(ErrorCode::UnknownService, message)
    })?;
    if branch.services.contains(&service.name) {
        return Ok(service);
    }
    let message = format!(
        "branch {:?} may not use service {:?}",
        branch.name, service.name
    );
    Err(ApiError::new(ErrorCode::Forbidden, message))
}

/// A path is made of plain segments, so that it cannot leave the service's call root.
fn check_path(path: &str) -> Result<(), ApiError> {
    let is_plain = |segment: &str| {
        !segment.is_empty()
            && segment
                .bytes()
                .all(|byte| byte.is_ascii_alphanumeric() || byte == b'-' || byte == b'_')
    };
    if path.split('/').all(is_plain) {
        return Ok(());
    }
    let message = format!("path {path:?} is not made of letters, digits, '-', '_' and '/'");
    Err(ApiError::new(ErrorCode::BadRequest, message))
}

/// The caller's own id of the request, or a fresh one.
fn request_id(request: &HttpRequest) -> String {
    request
        .headers()
        .get(REQUEST_ID_HEADER)
        .and_then(|value| value.to_str().ok())
        .filter(|id| id.len() <= MAX_REQUEST_ID_CHARS)
        .map_or_else(|| Nonce::random().to_string(), str::to_owned)
}
