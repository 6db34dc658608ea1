use std::net::SocketAddr;

use crate::fleet::rendezvous_choose_weighted;

/// An entry through which weights pass.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct NearEntry {
    /// Address for internal calls.
    pub address: SocketAddr,
    /// Bandwidth of its link.
    pub link_mbps: f64,
}

/// Part beyond its share of the pieces that an entry may carry, so that few pieces
/// move when an entry comes or leaves.
const SHARE_SLACK: f64 = 1.1;

/// Entries through which all hosts of a region read the pieces, in their order.
///
/// Wide links carry more pieces, and no link many more than its share: an engine
/// waits for the last piece. All hosts that know the same entries agree.
pub fn entries_for(pieces: u32, entries: &[NearEntry]) -> Vec<NearEntry> {
    let names: Vec<String> = entries.iter().map(|e| e.address.to_string()).collect();
    let all_mbps: f64 = entries.iter().map(|entry| entry.link_mbps).sum();
    let most = |entry: &NearEntry| {
        let share = f64::from(pieces) * entry.link_mbps / all_mbps.max(f64::MIN_POSITIVE);
        (share * SHARE_SLACK).ceil() as u32
    };
    let mut carried = vec![0u32; entries.len()];
    let mut chosen = Vec::with_capacity(pieces as usize);
    for piece in 0..pieces {
        let open = |index: &usize| carried[*index] < most(&entries[*index]);
        let weighted = (0..entries.len())
            .filter(open)
            .map(|index| (names[index].as_str(), entries[index].link_mbps, index));
        let Some(index) = rendezvous_choose_weighted(weighted, u64::from(piece)) else {
            break;
        };
        carried[index] += 1;
        chosen.push(entries[index]);
    }
    chosen
}
