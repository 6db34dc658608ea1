use actix_web::HttpRequest;
use actix_web::HttpResponse;
use actix_web::web;
use rand::seq::SliceRandom;
use serde::Deserialize;
use serde_json::json;

use crate::calls::Permit;
use crate::calls::PermitTarget;
use crate::entry::ApiError;
use crate::entry::EntryState;
use crate::entry::auth;
use crate::entry::service_access::authorize_service;
use crate::hosts::HostRole;

/// Query parameters of `GET /v1/permits`.
#[derive(Debug, Deserialize)]
pub struct PermitsQuery {
    branch: String,
    service: String,
}

/// Handles `GET /v1/permits`: new permits for a service.
pub async fn get_permits(
    state: web::Data<EntryState>,
    request: HttpRequest,
    query: web::Query<PermitsQuery>,
) -> Result<HttpResponse, ApiError> {
    let document = state.node.document();
    let branch = auth::authenticate_branch(&document, &query.branch, &request)?;
    authorize_service(&document, &branch, &query.service)?;
    let count = usize::try_from(state.settings.permits_per_answer).unwrap_or(1);
    let permits = issue_permits(&state, &branch.name, &query.service, count);
    Ok(HttpResponse::Ok().json(json!({ "permits": permits })))
}

/// Issues `count` permits, spread evenly over the usable endpoints of a service; none if
/// there is no such endpoint.
pub(super) fn issue_permits(
    state: &EntryState,
    branch: &str,
    service: &str,
    count: usize,
) -> Vec<Permit> {
    let mut targets = permit_targets(state, service);
    targets.shuffle(&mut rand::rng());
    let permits: Vec<Permit> = targets
        .into_iter()
        .cycle()
        .take(count)
        .map(|target| Permit::issue(&state.permit_key, target, branch, service))
        .collect();
    let mut ledger = state.calls.ledger();
    for permit in &permits {
        ledger.record_permit(permit.nonce);
    }
    permits
}

/// Endpoint processes of a service for which permits can be issued.
fn permit_targets(state: &EntryState, service: &str) -> Vec<PermitTarget> {
    let now_ms = state.node.now_ms();
    state
        .node
        .roster()
        .usable(HostRole::Endpoint, now_ms)
        .filter(|(_, host)| host.service.as_deref() == Some(service))
        .map(|(_, host)| PermitTarget {
            endpoint: host.name.clone(),
            address: host.address,
            incarnation: host.incarnation,
            epoch: host.permit_epoch,
        })
        .collect()
}
