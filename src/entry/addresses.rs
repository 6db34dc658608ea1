use std::net::SocketAddr;

use actix_web::HttpRequest;
use actix_web::HttpResponse;
use actix_web::web;
use serde::Deserialize;
use serde::Serialize;

use crate::calls::Permit;
use crate::entry::ApiError;
use crate::entry::EntryState;
use crate::entry::auth;
use crate::entry::call_permits;
use crate::hosts::HostRole;
use crate::regions::HostLocation;
use crate::regions::spread_over_domains;

/// Largest number of entries in one answer.
const MAX_ENTRIES: usize = 8;

/// Query parameters of `GET /v1/addresses`.
#[derive(Debug, Deserialize)]
pub struct AddressesQuery {
    branch: String,
    service: Option<String>,
    region: Option<String>,
}

/// Address and location of an entry.
#[derive(Debug, Serialize)]
struct EntryAddress {
    url: String,
    region: String,
    domain: String,
}

impl EntryAddress {
    fn new(address: SocketAddr, region: &str, domain: &str) -> Self {
        Self {
            url: format!("http://{address}"),
            region: region.to_owned(),
            domain: domain.to_owned(),
        }
    }

    fn location(&self) -> HostLocation {
        HostLocation {
            region: self.region.clone(),
            domain: self.domain.clone(),
        }
    }
}

/// Answer of `GET /v1/addresses`.
#[derive(Debug, Serialize)]
struct AddressesAnswer {
    entries: Vec<EntryAddress>,
    lifetime_ms: u64,
    permits: Vec<Permit>,
}

/// Handles `GET /v1/addresses`: the entries to use, how long they are valid, and
/// permits for a service if one is named.
pub async fn get_addresses(
    state: web::Data<EntryState>,
    request: HttpRequest,
    query: web::Query<AddressesQuery>,
) -> Result<HttpResponse, ApiError> {
    let document = state.node.document();
    let branch = auth::authenticate_branch(&document, &query.branch, &request)?;
    let count = usize::try_from(state.settings.permits_per_answer).unwrap_or(1);
    let permits = match &query.service {
        Some(service) => call_permits::issue_permits(&state, &branch.name, service, count),
        None => Vec::new(),
    };
    Ok(HttpResponse::Ok().json(AddressesAnswer {
        entries: usable_entries(&state, query.region.as_deref()),
        lifetime_ms: state.settings.address_lifetime_ms,
        permits,
    }))
}

/// Usable entries in an order that alternates between failure domains, those of
/// `preferred_region` first.
fn usable_entries(state: &EntryState, preferred_region: Option<&str>) -> Vec<EntryAddress> {
    let node = &state.node;
    let now_ms = node.now_ms();
    let mut entries: Vec<EntryAddress> = node
        .roster()
        .usable(HostRole::Entry, now_ms)
        .filter(|(_, host)| host.name != node.name())
        .map(|(_, host)| EntryAddress::new(host.address, &host.region, &host.domain))
        .collect();
    if !node.is_leaving() {
        let own = node.process();
        entries.push(EntryAddress::new(own.listen, &own.region, &own.domain));
    }
    let mut spread = spread_over_domains(
        entries,
        EntryAddress::location,
        preferred_region,
        &mut rand::rng(),
    );
    spread.truncate(MAX_ENTRIES);
    spread
}
