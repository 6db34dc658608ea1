use crate::hosts::HostKey;
use crate::hosts::Load;
use crate::weights::Digest;

/// An endpoint that could serve a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Candidate {
    /// Key of its host.
    pub key: HostKey,
    /// Hash of its name, alike on every entry.
    pub name_hash: u64,
    /// How busy it said it was.
    pub load: Load,
    /// When it said so.
    pub heard_ms: u64,
}

/// Hash of `bytes` that is alike on every process.
pub fn stable_hash(bytes: &[u8]) -> u64 {
    let digest = Digest::of(bytes);
    let head = digest.as_bytes().first_chunk();
    u64::from_le_bytes(*head.expect("32 bytes hold 8"))
}

/// Mixes two hashes (SplitMix64 finaliser).
pub(super) fn mix(a: u64, b: u64) -> u64 {
    let mut x = a ^ b.rotate_left(32).wrapping_mul(0x9e37_79b9_7f4a_7c15);
    x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    x ^ (x >> 31)
}
