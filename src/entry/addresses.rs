use actix_web::HttpRequest;
use actix_web::HttpResponse;
use actix_web::web;
use serde::Deserialize;
use serde::Serialize;

use crate::calls::Permit;
use crate::calls::PermitPlace;
use crate::entry::ApiError;
use crate::entry::EntryState;
use crate::entry::auth;
use crate::hosts::HostRole;

#[derive(Debug, Deserialize)]
pub struct AddressesQuery {
    branch: String,
    service: Option<String>,
}

/// One entry a caller may use.
#[derive(Debug, Serialize)]
struct EntryAddress {
    url: String,
    region: String,
    domain: String,
}

#[derive(Debug, Serialize)]
struct AddressesAnswer {
    entries: Vec<EntryAddress>,
    lifetime_ms: u64,
    permits: Vec<Permit>,
}

/// Answers which entries to use, for how long, and permits for a service.
pub async fn addresses(
    state: web::Data<EntryState>,
    request: HttpRequest,
    query: web::Query<AddressesQuery>,
) -> Result<HttpResponse, ApiError> {
    let document = state.node.document();
    let branch = auth::branch(&document, &query.branch, &request)?;
    let permits = match &query.service {
        Some(service) => permits(&state, &branch.name, service),
        None => Vec::new(),
    };
    Ok(HttpResponse::Ok().json(AddressesAnswer {
        entries: entries(&state),
        lifetime_ms: state.settings.address_lifetime_ms,
        permits,
    }))
}

fn entries(state: &EntryState) -> Vec<EntryAddress> {
    let node = &state.node;
    let now_ms = node.now_ms();
    let mut entries: Vec<EntryAddress> = node
        .roster()
        .usable(HostRole::Entry, now_ms)
        .filter(|(_, host)| host.name != node.name())
        .map(|(_, host)| EntryAddress {
            url: format!("http://{}", host.address),
            region: host.region.clone(),
            domain: host.domain.clone(),
        })
        .collect();
    if !node.is_leaving() {
        entries.push(EntryAddress {
            url: format!("http://{}", node.process().listen),
            region: node.process().region.clone(),
            domain: node.process().domain.clone(),
        });
    }
    entries
}

/// Permits for calls of `service`, spread over its usable endpoints.
fn permits(state: &EntryState, branch: &str, service: &str) -> Vec<Permit> {
    let now_ms = state.node.now_ms();
    let roster = state.node.roster();
    let places: Vec<PermitPlace> = roster
        .usable(HostRole::Endpoint, now_ms)
        .filter(|(_, host)| host.service.as_deref() == Some(service))
        .map(|(_, host)| PermitPlace {
            endpoint: host.name.clone(),
            address: host.address,
            incarnation: host.incarnation,
            epoch: host.permit_epoch,
        })
        .collect();
    let wanted = usize::try_from(state.settings.permits_per_answer).unwrap_or(1);
    places
        .into_iter()
        .cycle()
        .take(wanted)
        .map(|place| Permit::issue(&state.permit_key, place, branch, service))
        .collect()
}
