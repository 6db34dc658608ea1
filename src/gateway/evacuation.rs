//! What the operator's rules on failure domains mean for this entry: evacuations, and the
//! regions in which requests may be served.

use std::rc::Rc;

use crate::fleet::LogPosition;
use crate::fleet::Residency;
use crate::fleet::Workspace;
use crate::gateway::Credential;
use crate::gateway::GatewayState;
use crate::gateway::routed_request::RoutedRequest;
use crate::observe::Event;
use crate::observe::LogLine;

impl GatewayState {
    /// Records that a failure domain is evacuated or no longer is, and has the other entries
    /// told at once.
    pub(super) fn apply_evacuation(
        &mut self,
        failure_domain: &str,
        is_evacuated: bool,
        offset: u64,
    ) {
        self.update_notice.notify_one();
        if !self.evacuations.set(failure_domain, is_evacuated) {
            return;
        }
        if !is_evacuated {
            // Its replicas may have become cold, and their records say so later.
            let now_ms = self.now_ms();
            self.replicas.record_return(failure_domain, now_ms);
        }
        let event = if is_evacuated {
            Event::DomainEvacuated
        } else {
            Event::DomainRestored
        };
        LogLine::new(event)
            .text("failure_domain", failure_domain)
            .number("in_flight", self.replicas.in_flight_in(failure_domain))
            .number("offset", LogPosition::unpack(offset).offset)
            .enqueue();
    }

    /// Logs in which evacuated failure domains the last request of this entry has ended.
    pub(super) fn log_idle_domains(&mut self) {
        let replicas = &self.replicas;
        let in_flight = |failure_domain: &str| replicas.in_flight_in(failure_domain);
        for failure_domain in self.evacuations.newly_idle(in_flight) {
            LogLine::new(Event::DomainIdle)
                .text("failure_domain", &failure_domain)
                .enqueue();
        }
    }

    /// Requests of this entry that are in flight in evacuated failure domains.
    pub(super) fn evacuated_in_flight(&self) -> u32 {
        let domains = self.evacuations.names();
        domains
            .map(|domain| self.replicas.in_flight_in(domain))
            .sum()
    }

    /// Regions in which a request may be served: those that the configuration by which it was
    /// routed allows, and the newest one as well, which may be a later one.
    ///
    /// The workspace that owns the client's key counts also on a route that needs none.
    pub(super) fn residency(&self, request: &RoutedRequest) -> Residency {
        let mut residency = Residency::new(&request.route.allowed_regions);
        let key = match &request.facts.credential {
            Credential::Key(key) => Some(key.as_str()),
            Credential::Missing | Credential::Unreadable => None,
        };
        let owner = key.and_then(|key| request.catalog.workspace(key));
        let mut narrow_by_owner = |owner: Option<&Workspace>| {
            residency.narrow(owner.map_or(&[], |owner| owner.allowed_regions.as_slice()));
        };
        narrow_by_owner(owner);
        let newest = self.catalog.as_ref();
        if let Some(newest) = newest.filter(|newest| !Rc::ptr_eq(newest, &request.catalog)) {
            // A key may be withdrawn or given to another workspace meanwhile.
            narrow_by_owner(key.and_then(|key| newest.workspace(key)));
            narrow_by_owner(owner.and_then(|owner| newest.workspace_named(&owner.name)));
            if let Some(route) = newest.route(&request.route.host, request.head.path()) {
                residency.narrow(&route.allowed_regions);
            }
        }
        residency
    }
}
