use std::net::SocketAddr;
use std::ops::RangeInclusive;

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

/// Bandwidths that an entry can have, in Mbit/s: from below the slowest line to beyond the
/// fastest. An entry that states any other gets the fewest pieces.
const LINK_MBPS_RANGE: RangeInclusive<f64> = 0.1..=1_000_000.0;

impl RelayEntry {
    /// Bandwidth by which pieces are shared out, in Mbit/s. Any number may have been stated.
    fn usable_mbps(&self) -> f64 {
        if LINK_MBPS_RANGE.contains(&self.link_mbps) {
            self.link_mbps
        } else {
            *LINK_MBPS_RANGE.start()
        }
    }
}

/// Returns the entry from which each piece is fetched, by piece index.
///
/// Entries get pieces in proportion to their bandwidth. No entry gets many more
/// than its share, because an engine can load only once the last piece has
/// arrived. Hosts that know the same entries compute the same assignment.
pub fn assign_pieces(pieces: u32, entries: &[RelayEntry]) -> Vec<RelayEntry> {
    let names: Vec<String> = entries.iter().map(|e| e.address.to_string()).collect();
    let total_mbps: f64 = entries.iter().map(RelayEntry::usable_mbps).sum();
    let max_pieces = |entry: &RelayEntry| {
        let share = f64::from(pieces) * entry.usable_mbps() / total_mbps;
        (share * MAX_SHARE_FACTOR).ceil() as u32
    };
    let mut assigned = vec![0u32; entries.len()];
    let mut chosen = Vec::with_capacity(pieces as usize);
    for piece in 0..pieces {
        let has_room = |index: &usize| assigned[*index] < max_pieces(&entries[*index]);
        let weighted = (0..entries.len())
            .filter(has_room)
            .map(|index| (names[index].as_str(), entries[index].usable_mbps(), index));
        let Some(index) = rendezvous_choose_weighted(weighted, u64::from(piece)) else {
            break;
        };
        assigned[index] += 1;
        chosen.push(entries[index]);
    }
    chosen
}
