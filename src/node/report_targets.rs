use std::net::SocketAddr;

use crate::hosts::HostKey;
use crate::hosts::HostRole;
use crate::node::Node;

/// Entries one process reports to.
const FANOUT: usize = 10;

/// An entry to report to.
#[derive(Debug, Clone)]
pub(super) struct ReportTarget {
    pub(super) key: HostKey,
    pub(super) name: String,
    pub(super) address: SocketAddr,
}

/// Entries that `node` reports to: the first by rendezvous rank of the names,
/// and all of them while it needs the answers of a majority.
pub(super) fn report_targets(node: &Node) -> Vec<ReportTarget> {
    let fanout = if node.admission().admits() {
        FANOUT
    } else {
        usize::MAX
    };
    let roster = node.roster();
    let mut ranked: Vec<_> = roster
        .hosts()
        .filter(|(_, host)| host.role == HostRole::Entry && host.name != node.name())
        .map(|(key, host)| (rendezvous_rank(node.name(), &host.name), key, host))
        .collect();
    ranked.sort_unstable_by_key(|(rank, key, _)| (*rank, *key));
    ranked
        .into_iter()
        .take(fanout)
        .map(|(_, key, host)| ReportTarget {
            key,
            name: host.name.clone(),
            address: host.address,
        })
        .collect()
}

fn rendezvous_rank(from: &str, to: &str) -> [u8; 32] {
    *blake3::hash(format!("{from}\n{to}").as_bytes()).as_bytes()
}
