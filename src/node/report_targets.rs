use std::net::SocketAddr;

use crate::hosts::HostKey;
use crate::hosts::HostRole;
use crate::node::Node;

/// Number of entries that one process reports to.
const FANOUT: usize = 10;

/// Entry to send heartbeats and reports to.
#[derive(Debug, Clone)]
pub(super) struct ReportTarget {
    pub(super) key: HostKey,
    pub(super) name: String,
    pub(super) address: SocketAddr,
}

/// Returns the entries that `node` reports to: the first [`FANOUT`] by rendezvous rank
/// of the names, or all of them while the node needs the answers of a majority.
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

/// Rendezvous rank of the entry `to` for the process `from`; the lowest comes first.
fn rendezvous_rank(from: &str, to: &str) -> [u8; 32] {
    *blake3::hash(format!("{from}\n{to}").as_bytes()).as_bytes()
}
