use std::net::SocketAddr;

use crate::fleet::rendezvous_choose_weighted;

/// An entry that relays pieces of weights to the hosts of a region.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RelayEntry {
    /// Address for internal calls.
    pub address: SocketAddr,
    /// Bandwidth of its link, in Mbit/s.
    pub link_mbps: f64,
}

/// Factor by which the pieces assigned to an entry may exceed its share of the
/// bandwidth, so that few pieces are reassigned when an entry joins or leaves.
const MAX_SHARE_FACTOR: f64 = 1.1;

/// Returns the entry from which each piece is fetched, by piece index.
///
/// Entries get pieces in proportion to their bandwidth. No entry gets many more
/// than its share, because an engine can load only once the last piece has
/// arrived. Hosts that know the same entries compute the same assignment.
pub fn assign_pieces(pieces: u32, entries: &[RelayEntry]) -> Vec<RelayEntry> {
    let names: Vec<String> = entries.iter().map(|e| e.address.to_string()).collect();
    let total_mbps: f64 = entries.iter().map(|entry| entry.link_mbps).sum();
    let max_pieces = |entry: &RelayEntry| {
        let share = f64::from(pieces) * entry.link_mbps / total_mbps.max(f64::MIN_POSITIVE);
        (share * MAX_SHARE_FACTOR).ceil() as u32
    };
    let mut assigned = vec![0u32; entries.len()];
    let mut chosen = Vec::with_capacity(pieces as usize);
    for piece in 0..pieces {
        let has_room = |index: &usize| assigned[*index] < max_pieces(&entries[*index]);
        let weighted = (0..entries.len())
            .filter(has_room)
            .map(|index| (names[index].as_str(), entries[index].link_mbps, index));
        let Some(index) = rendezvous_choose_weighted(weighted, u64::from(piece)) else {
            break;
        };
        assigned[index] += 1;
        chosen.push(entries[index]);
    }
    chosen
}
