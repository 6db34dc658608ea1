use std::net::SocketAddr;

use crate::fleet::rotation_first_weighted;

/// An entry through which weights pass.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct NearEntry {
    /// Address for internal calls.
    pub address: SocketAddr,
    /// Bandwidth of its link.
    pub link_mbps: f64,
}

/// Entry through which all hosts of a region read a piece.
///
/// Wide links carry more pieces: the last piece is what an engine waits for.
pub fn entry_for(piece: u32, entries: &[NearEntry]) -> Option<NearEntry> {
    let names: Vec<String> = entries.iter().map(|e| e.address.to_string()).collect();
    let weighted = names
        .iter()
        .zip(entries)
        .map(|(name, entry)| (name.as_str(), entry.link_mbps, *entry));
    rotation_first_weighted(weighted, u64::from(piece))
}
