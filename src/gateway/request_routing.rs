use std::rc::Rc;
use std::time::Duration;

use tokio::time::Instant;

use crate::calls::RunCauses;
use crate::calls::fingerprint;
use crate::fleet::Catalog;
use crate::fleet::Route;
use crate::gateway::Credential;
use crate::gateway::Dialect;
use crate::gateway::end_causes::STOPPING;
use crate::gateway::gateway_handle::Gateway;
use crate::gateway::local_refusals::LocalRefusal;
use crate::gateway::routed_request::ReadRequest;
use crate::gateway::routed_request::RoutedRequest;
use crate::http1::RequestHead;

/// Time after a stop signal during which requests are still accepted, while clients
/// learn of it and connect to other entries.
pub const STOP_ACCEPT_TIME: Duration = Duration::from_millis(2_500);

/// Deadline of a request that states none, in ms.
const DEFAULT_DEADLINE_MS: u64 = 60_000;

/// Retry-After of a refusal while this entry has no configuration, in ms.
const RETRY_AFTER_START_MS: u64 = 500;

/// Matches a request to a route and a service, and identifies its client; the error is
/// the refusal.
pub(super) fn route_request<D: Dialect>(
    gateway: &Gateway<D>,
    read: ReadRequest,
) -> Result<Box<RoutedRequest>, (RequestHead, LocalRefusal)> {
    let ReadRequest {
        head,
        body,
        mut held,
        received_at,
    } = read;
    let mut state = gateway.state.borrow_mut();
    let stopping_since = state.stopping_since;
    if state.is_ending || stopping_since.is_some_and(|since| since.elapsed() >= STOP_ACCEPT_TIME) {
        return Err((head, LocalRefusal::elsewhere(STOPPING)));
    }
    let Some(catalog) = state.catalog.clone() else {
        let refusal = LocalRefusal {
            retry_after_ms: Some(RETRY_AFTER_START_MS),
            ..LocalRefusal::new(503, "no_configuration")
        };
        return Err((head, refusal));
    };
    let mut hosts = head.headers.values("host");
    let host = match (hosts.next(), hosts.next()) {
        (Some(host), None) => String::from_utf8_lossy(host).trim().to_ascii_lowercase(),
        _ => {
            drop(hosts);
            return Err((head, LocalRefusal::new(400, "host_line")));
        }
    };
    drop(hosts);
    let host = host.split(':').next().unwrap_or_default().to_owned();
    let Some(route) = catalog.route(&host, head.path()).cloned() else {
        return Err((head, LocalRefusal::new(404, "no_route")));
    };
    let mut facts = gateway.dialect.request_facts(&head);
    let (workspace, priority) = match identify_caller(&catalog, &route, &facts.credential) {
        Ok(caller) => caller,
        Err(refusal) => return Err((head, refusal)),
    };
    let deadline_ms = facts.deadline_ms.unwrap_or(DEFAULT_DEADLINE_MS);
    let waited_before_ms = state.waited_before_ms(&route.name, deadline_ms);
    let deadline = received_at + Duration::from_millis(deadline_ms.min(route.timeout_ms));
    let service = choose_service(&route, state.random_bits());
    state.count_request(&service);
    // What one service of a split route runs to an end may crash the other, and what has crashed
    // replicas of some services is sent to no further one.
    let caller = workspace.as_deref().unwrap_or_default();
    let run = format!("{host}{} {caller}", head.target);
    let identity = fingerprint(&run, &body);
    let request = fingerprint(&format!("{service} {run}"), &body);
    let services = route.services.iter().map(|other| other.0.as_str());
    let elsewhere = services.filter(|other| *other != service);
    let causes = RunCauses::of_services(request, &service, elsewhere, &facts.prompt_part_ids)
        .with_identity(identity);
    // Thousands of them would take many times the head.
    facts.prompt_part_ids = Vec::new();
    if held.begin_forwarding(causes.held_bytes()).is_err() {
        return Err((head, LocalRefusal::no_memory()));
    }
    let is_late = waited_before_ms > 0;
    Ok(Box::new(RoutedRequest {
        causes,
        head,
        body,
        _held: held,
        facts,
        catalog,
        route,
        service,
        workspace,
        urgency: engine_urgency(priority, is_late),
        received_at,
        routed_at: Instant::now(),
        deadline,
        waited_before_ms,
        tried_replicas: Vec::new(),
        sends: 0,
    }))
}

/// Workspace and priority of the client that sent a request.
fn identify_caller(
    catalog: &Rc<Catalog>,
    route: &Route,
    credential: &Credential,
) -> Result<(Option<String>, u32), LocalRefusal> {
    if !catalog.has_workspaces() || route.allows_anonymous {
        return Ok((None, route.priority));
    }
    let Credential::Key(key) = credential else {
        return Err(LocalRefusal::new(401, "no_key"));
    };
    match catalog.workspace(key) {
        Some(workspace) => Ok((
            Some(workspace.name.clone()),
            workspace.priority.unwrap_or(route.priority),
        )),
        None => Err(LocalRefusal::new(401, "unknown_key")),
    }
}

/// Rank in an engine's queue: 1 to 4 by priority, 5 to 8 for a request that is late.
fn engine_urgency(priority: u32, is_late: bool) -> u8 {
    let rank = u8::try_from(priority.min(3)).unwrap_or(3);
    if is_late { 5 + rank } else { 1 + rank }
}

/// Chooses a service of the route at random, by the weights of its traffic split.
fn choose_service(route: &Route, random: u64) -> String {
    let total: u64 = route.services.iter().map(|s| u64::from(s.1)).sum();
    let mut at = random % total.max(1);
    for (name, weight) in &route.services {
        if at < u64::from(*weight) {
            return name.clone();
        }
        at -= u64::from(*weight);
    }
    route
        .services
        .first()
        .map_or_else(String::new, |service| service.0.clone())
}
