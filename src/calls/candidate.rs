use crate::hosts::HostKey;
use crate::hosts::Load;

/// Endpoint that can serve a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Candidate {
    /// Key of its host.
    pub key: HostKey,
    /// Hash of its name, the same on every entry.
    pub name_hash: u64,
    /// Load that it last reported.
    pub load: Load,
    /// Time at which `load` was received, on the monotonic clock, in milliseconds.
    pub last_received_ms: u64,
}

/// Offset basis of the 64-bit FNV-1a hash.
const FNV_BASIS: u64 = 0xcbf2_9ce4_8422_2325;

/// Prime of the 64-bit FNV-1a hash.
const FNV_PRIME: u64 = 0x0000_0100_0000_01b3;

/// Hash of `bytes` that is the same in every process; not cryptographic.
pub fn stable_hash(bytes: &[u8]) -> u64 {
    let fnv = bytes.iter().fold(FNV_BASIS, |hash, &byte| {
        (hash ^ u64::from(byte)).wrapping_mul(FNV_PRIME)
    });
    mix_hashes(fnv, 0)
}

/// Mixes two hashes (SplitMix64 finaliser).
pub(super) fn mix_hashes(a: u64, b: u64) -> u64 {
    let mut x = a ^ b.rotate_left(32).wrapping_mul(0x9e37_79b9_7f4a_7c15);
    x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    x ^ (x >> 31)
}
