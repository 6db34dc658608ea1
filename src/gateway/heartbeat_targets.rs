use std::net::SocketAddr;

use crate::fleet::EntryRegistration;
use crate::fleet::Topic;
use crate::fleet::TopicTable;
use crate::gateway::GatewayState;
use crate::gateway::TopicSink;

/// A receiver of heartbeats.
#[derive(Debug, Clone, Copy)]
pub(super) struct Target {
    pub(super) address: SocketAddr,
    /// Whether it is known to be in another region.
    pub(super) is_remote: bool,
}

/// Addresses for internal calls of the entries that are registered in the store.
pub fn registered_entries(members: &TopicTable) -> impl Iterator<Item = SocketAddr> {
    members
        .records_since(0)
        .filter_map(|record| {
            rmp_serde::from_slice::<EntryRegistration>(record.value.as_deref()?).ok()
        })
        .map(|registration| registration.internal)
}

/// Names of the entries that are registered in the store.
pub(super) fn registered_names(members: &TopicTable) -> Vec<String> {
    members
        .live_records()
        .filter_map(|record| {
            rmp_serde::from_slice::<EntryRegistration>(record.value.as_deref()?).ok()
        })
        .map(|registration| registration.name)
        .collect()
}

/// The entries that are registered in the store or sent a heartbeat.
pub(super) fn entry_targets(state: &GatewayState) -> Vec<Target> {
    let own = state.settings.internal;
    let mut targets: Vec<Target> = state
        .peers
        .all_entries()
        .map(|peer| Target {
            address: peer.internal,
            is_remote: is_remote(state, &peer.failure_domain),
        })
        .collect();
    let is_known = |address: &SocketAddr| targets.iter().any(|known| known.address == *address);
    let registered = registered_entries(state.topic_table(Topic::Members));
    let unknown: Vec<SocketAddr> = registered.filter(|address| !is_known(address)).collect();
    targets.extend(unknown.into_iter().map(|address| Target {
        address,
        is_remote: false,
    }));
    targets.retain(|target| target.address != own);
    targets
}

/// The endpoint processes: each runs on the host of its replica and listens on the same
/// internal port as entries.
pub(super) fn endpoint_targets(state: &GatewayState) -> Vec<Target> {
    let port = state.settings.internal.port();
    let Some(catalog) = &state.catalog else {
        return Vec::new();
    };
    state
        .replicas
        .listed()
        .filter(|(_, replica)| {
            catalog
                .service(&replica.record.service)
                .is_some_and(|service| service.engine.is_some())
        })
        .map(|(_, replica)| Target {
            address: SocketAddr::new(replica.record.address.ip(), port),
            is_remote: is_remote(state, &replica.record.failure_domain),
        })
        .collect()
}

/// Whether this entry sends heartbeats to the endpoint process at `address`: a replica in use
/// is on its host.
pub(super) fn is_known_endpoint(state: &GatewayState, address: SocketAddr) -> bool {
    let catalog = state.catalog.as_deref();
    let mut listed = state.replicas.listed().map(|(_, replica)| &replica.record);
    listed.any(|record| record.address.ip() == address.ip() && record.is_in_use(catalog))
}

/// Whether a failure domain is in another region than this entry.
fn is_remote(state: &GatewayState, failure_domain: &str) -> bool {
    let settings = &state.settings;
    settings.region(failure_domain) != settings.region(&settings.failure_domain)
}
