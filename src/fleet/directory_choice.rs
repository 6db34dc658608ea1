//! Which entries a client is told of.
//!
//! Load pattern: clients of every failure domain keep an answer for seconds and connect to
//! a random address of it. An answer holds fewer addresses than a large fleet has entries.
//! An entry places requests at replicas of its own failure domain first, so the entries
//! must get the requests of each domain in proportion to its replicas: an answer that
//! holds the same first addresses for all would leave whole domains without work.

use std::net::SocketAddr;

use crate::fleet::Residency;
use crate::fleet::rendezvous_order;
use crate::weights::mix64;

/// Least number of entries in a client's failure domain, or else in its region, from which
/// on most of its requests go to these. With fewer, the loss of some would leave the others
/// with too much.
const MIN_NEAR_ENTRIES: usize = 6;

/// Near entries for each one elsewhere in an answer. A client that loses all near ones
/// connects to the others, without a further answer of the directory.
const NEAR_ENTRIES_PER_FAR_ENTRY: usize = 4;

/// An entry that accepts clients.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ListedEntry<'a> {
    /// Address at which clients connect.
    pub front: SocketAddr,
    /// Failure domain of its host.
    pub failure_domain: &'a str,
    /// Region of its host.
    pub region: &'a str,
}

/// The entries that a client in `region` is told of for a host whose routes allow these
/// regions: those in its own region or in an allowed one. All if there are none, as a client
/// must get an answer.
///
/// An entry sends requests to the allowed regions from anywhere. One that is in neither region
/// only adds a way through a third.
pub fn entries_in_allowed_regions<'a>(
    entries: Vec<ListedEntry<'a>>,
    region: &str,
    residency: &Residency,
) -> Vec<ListedEntry<'a>> {
    let is_named =
        |entry: &ListedEntry<'_>| entry.region == region || residency.allows(Some(entry.region));
    if !entries.iter().any(is_named) {
        return entries;
    }
    entries.into_iter().filter(is_named).collect()
}

/// Chooses the entries for an answer of the entry `own_name` to a client in
/// `failure_domain` of `region`, at most `max_entries`.
///
/// A client closes its connections to entries that a later answer lacks. So an entry gives
/// the same answer while the same entries accept clients.
pub fn choose_entries(
    entries: &[ListedEntry<'_>],
    failure_domain: &str,
    region: &str,
    max_entries: usize,
    own_name: &str,
) -> Vec<SocketAddr> {
    let is_in_domain = |entry: &ListedEntry<'_>| entry.failure_domain == failure_domain;
    let is_in_region = |entry: &ListedEntry<'_>| entry.region == region;
    let in_domain = entries.iter().filter(|entry| is_in_domain(entry)).count();
    let in_region = entries.iter().filter(|entry| is_in_region(entry)).count();
    let is_near = |entry: &ListedEntry<'_>| {
        if in_domain >= MIN_NEAR_ENTRIES {
            is_in_domain(entry)
        } else {
            in_region >= MIN_NEAR_ENTRIES && is_in_region(entry)
        }
    };
    let (near, far): (Vec<&ListedEntry<'_>>, Vec<_>) = entries.iter().partition(|e| is_near(e));
    if near.is_empty() {
        return shuffled(far, own_name, max_entries);
    }
    let max_near = max_entries * NEAR_ENTRIES_PER_FAR_ENTRY / (NEAR_ENTRIES_PER_FAR_ENTRY + 1);
    let mut chosen = shuffled(near, own_name, max_near);
    let far_count = chosen.len().div_ceil(NEAR_ENTRIES_PER_FAR_ENTRY);
    chosen.extend(shuffled(far, failure_domain, far_count));
    chosen
}

/// The first `count` addresses of `entries` in an order that depends on `seed` alone.
fn shuffled(entries: Vec<&ListedEntry<'_>>, seed: &str, count: usize) -> Vec<SocketAddr> {
    let named = entries
        .into_iter()
        .map(|entry| (entry.front.to_string(), entry.front));
    let named: Vec<(String, SocketAddr)> = named.collect();
    let seed = seed
        .bytes()
        .fold(0, |hash, byte| mix64(hash ^ u64::from(byte)));
    let mut ordered = rendezvous_order(named.iter().map(|n| (n.0.as_str(), n.1)), seed);
    ordered.truncate(count);
    ordered
}
