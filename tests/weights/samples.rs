use std::sync::Arc;

use bergamotfork::weights::ChunkRanking;
use bergamotfork::weights::Digest;
use bergamotfork::weights::Manifest;
use bergamotfork::weights::SwarmHost;

/// Sample content in which no two chunks are equal.
pub fn sample_bytes(len: usize) -> Vec<u8> {
    (0..len).map(|at| (at * 7 + at / 251) as u8).collect()
}

/// Manifest of sample content of `len` bytes, and the content.
pub fn sample_manifest(len: usize, chunk_bytes: u32) -> (Arc<Manifest>, Vec<u8>) {
    let bytes = sample_bytes(len);
    let manifest = Manifest::for_content("chat", "v1", None, chunk_bytes, &bytes);
    (Arc::new(manifest), bytes)
}

/// `count` hosts, spread over `regions` regions.
pub fn sample_hosts(count: usize, regions: usize) -> Vec<SwarmHost> {
    (0..count)
        .map(|index| SwarmHost {
            name: format!("host-{index}"),
            region: format!("region-{}", index % regions),
            present: true,
        })
        .collect()
}

/// Ranking of `hosts` for `chunks` chunks; the origin is in `region-0`.
pub fn sample_ranking(chunks: u32, hosts: &[SwarmHost]) -> ChunkRanking {
    ChunkRanking::new(Digest::of_bytes(b"a version"), chunks, hosts, "region-0")
}
