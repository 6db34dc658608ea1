use actix_web::HttpRequest;
use actix_web::HttpResponse;
use actix_web::web;
use serde::Deserialize;
use serde_json::Value;

use crate::calls::Nonce;
use crate::calls::Permit;
use crate::calls::ServiceCall;
use crate::calls::ServiceReply;
use crate::entry::ApiError;
use crate::entry::EntryState;
use crate::entry::ErrorCode;
use crate::entry::auth;
use crate::hosts::HostRole;

/// Time allowed when the caller names none.
const DEFAULT_DEADLINE_MS: u64 = 10_000;

/// A caller's call of a plain service.
#[derive(Debug, Deserialize)]
pub struct CallBody {
    branch: String,
    service: String,
    path: String,
    body: Value,
    permit: Option<Permit>,
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
    let service = document.service(&body.service).ok_or_else(|| {
        let message = format!("service {:?} does not exist", body.service);
        ApiError::new(ErrorCode::UnknownService, message)
    })?;
    if !branch.services.contains(&service.name) {
        let message = format!(
            "branch {:?} may not use service {:?}",
            branch.name, service.name
        );
        return Err(ApiError::new(ErrorCode::Forbidden, message));
    }
    let wait_ms = body.deadline_ms.unwrap_or(DEFAULT_DEADLINE_MS);
    let call = ServiceCall {
        request_id: Nonce::random().to_string(),
        branch: branch.name,
        service: service.name,
        path: body.path,
        body: body.body.to_string(),
        permit: body.permit,
        deadline_ms: wait_ms,
    };
    let now_ms = state.node.now_ms();
    let address = match &call.permit {
        Some(permit) => Some(permit.address),
        None => state
            .node
            .roster()
            .usable(HostRole::Endpoint, now_ms)
            .find(|(_, host)| host.service.as_deref() == Some(&call.service))
            .map(|(_, host)| host.address),
    };
    let Some(address) = address else {
        let message = format!("no live endpoint of service {:?}", call.service);
        return Err(ApiError::later(ErrorCode::NoReplica, message, 1000));
    };
    let url = format!("http://{address}/x/call");
    let answer: ServiceReply = state
        .node
        .http()
        .ask(&url, &call, wait_ms)
        .await
        .map_err(|error| ApiError::new(ErrorCode::OutcomeUnknown, error.to_string()))?;
    if answer.request_id != call.request_id {
        let message = "the answer belongs to another request";
        return Err(ApiError::new(ErrorCode::Internal, message));
    }
    Ok(HttpResponse::Ok()
        .content_type("application/json")
        .body(answer.body))
}
