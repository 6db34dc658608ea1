use crate::weights::Digest;

/// Hosts that are ranked for each chunk in each region.
pub const RANKED_HOSTS: usize = 6;

/// Index of a host in the host list of a transfer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct PeerKey(pub u32);

/// A host that takes part, or took part, in the transfer of a version.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SwarmHost {
    /// Name of the host.
    ///
    /// Ranks depend on names alone, so that hosts whose lists differ in order agree.
    pub name: String,
    /// Region of the host.
    pub region: String,
    /// Whether the host takes part now; only such hosts are ranked.
    pub present: bool,
}

/// Ranking of the hosts of each region for each chunk, and the chunk's route.
///
/// For each chunk the hosts of a region are ranked by rendezvous hashing. The
/// first host is the primary holder: it imports the chunk into the region, from
/// the origin or from the upstream region on the chunk's route. Routes start in
/// the origin's region and rotate over the other regions, so that each link
/// between regions carries an equal share of the chunks.
#[derive(Debug, Clone)]
pub struct ChunkRanking {
    /// Regions with hosts; the origin's region is the first if it has any.
    regions: Vec<String>,
    /// Index of the region of each host; `usize::MAX` if no host takes part there.
    region_of: Vec<usize>,
    /// `RANKED_HOSTS` hosts for each pair of chunk and region, chunk by chunk.
    ranks: Vec<PeerKey>,
    chunk_count: u32,
    manifest_seed: u64,
}

impl ChunkRanking {
    /// Ranks `hosts` for each of the `chunk_count` chunks of version `manifest`.
    pub fn new(
        manifest: Digest,
        chunk_count: u32,
        hosts: &[SwarmHost],
        origin_region: &str,
    ) -> Self {
        let regions = regions_in_route_order(hosts, origin_region);
        let region_of: Vec<usize> = hosts
            .iter()
            .map(|host| regions.iter().position(|region| *region == host.region))
            .map(|found| found.unwrap_or(usize::MAX))
            .collect();
        let seeds: Vec<u64> = hosts
            .iter()
            .map(|host| hash64(host.name.as_bytes()))
            .collect();
        let manifest_seed = hash64(manifest.as_bytes());
        let mut ranks = Vec::with_capacity(chunk_count as usize * regions.len() * RANKED_HOSTS);
        let mut best = Vec::new();
        for chunk in 0..chunk_count {
            let chunk_seed = mix64(manifest_seed ^ u64::from(chunk));
            for region in 0..regions.len() {
                best.clear();
                for (host, seed) in seeds.iter().enumerate() {
                    if region_of[host] == region && hosts[host].present {
                        insert_ranked(&mut best, (mix64(chunk_seed ^ seed), host));
                    }
                }
                let filler = best.last().map_or(0, |last| last.1);
                ranks.extend(
                    (0..RANKED_HOSTS)
                        .map(|rank| peer_key_at(best.get(rank).map_or(filler, |entry| entry.1))),
                );
            }
        }
        Self {
            regions,
            region_of,
            ranks,
            chunk_count,
            manifest_seed,
        }
    }

    /// Number of chunks in the version.
    pub fn chunk_count(&self) -> u32 {
        self.chunk_count
    }

    /// Number of regions in which a host takes part.
    pub fn region_count(&self) -> usize {
        self.regions.len()
    }

    /// Index of the region of `host`; `usize::MAX` when no host takes part there.
    pub fn region_of(&self, host: PeerKey) -> usize {
        self.region_of[host.0 as usize]
    }

    /// Hosts of `region` for `chunk`, best rank first.
    ///
    /// The last host is repeated when the region has fewer hosts than are ranked.
    pub fn ranked_hosts(&self, chunk: u32, region: usize) -> &[PeerKey] {
        let start = (chunk as usize * self.regions.len() + region) * RANKED_HOSTS;
        &self.ranks[start..start + RANKED_HOSTS]
    }

    /// Region from which `region` imports `chunk`; None when it reads the origin.
    pub fn upstream_region(&self, chunk: u32, region: usize) -> Option<usize> {
        if region == 0 {
            return None;
        }
        // The other regions form a ring. The first region of the chunk's route imports it
        // from region 0, and each further one from the region before it in the ring.
        let other_count = self.regions.len() - 1;
        let first = (mix64(self.manifest_seed.rotate_left(17) ^ u64::from(chunk))
            % other_count as u64) as usize;
        if region - 1 == first {
            return Some(0);
        }
        Some((region + other_count - 2) % other_count + 1)
    }
}

/// Regions in which a host takes part: the origin's first, the others by name.
fn regions_in_route_order(hosts: &[SwarmHost], origin_region: &str) -> Vec<String> {
    let present = hosts.iter().filter(|host| host.present);
    let mut regions: Vec<String> = present.map(|host| host.region.clone()).collect();
    regions.sort_unstable_by(|a, b| (a != origin_region, a).cmp(&(b != origin_region, b)));
    regions.dedup();
    regions
}

fn peer_key_at(index: usize) -> PeerKey {
    PeerKey(u32::try_from(index).unwrap_or(u32::MAX))
}

/// Inserts `entry`, a hash and the index of a host, if it is among the best; highest hash first.
fn insert_ranked(best: &mut Vec<(u64, usize)>, entry: (u64, usize)) {
    let at = best.partition_point(|other| *other > entry);
    if at < RANKED_HOSTS {
        best.insert(at, entry);
        best.truncate(RANKED_HOSTS);
    }
}

/// First 8 bytes of the BLAKE3 hash of `bytes`, as a little-endian number.
pub(crate) fn hash64(bytes: &[u8]) -> u64 {
    let hash = blake3::hash(bytes);
    let (head, _) = hash
        .as_bytes()
        .split_first_chunk::<8>()
        .expect("a digest is longer than 8 bytes");
    u64::from_le_bytes(*head)
}

/// Step of the SplitMix64 generator: each input bit affects all output bits.
pub(crate) fn mix64(value: u64) -> u64 {
    let value = value.wrapping_add(0x9e37_79b9_7f4a_7c15);
    let value = (value ^ (value >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let value = (value ^ (value >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    value ^ (value >> 31)
}
