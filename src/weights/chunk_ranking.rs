use crate::weights::Digest;

/// Ranks kept for each chunk and region.
pub const RANKED_HOSTS: usize = 6;

/// Index of a host in the list the plan was made from.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct PeerKey(pub u32);

/// A host that wants the version, as the plan sees it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SwarmHost {
    /// Name; ranks depend on names alone, so that lists in any order agree.
    pub name: String,
    /// Region it stands in.
    pub region: String,
    /// Whether it takes part; hosts that don't are not ranked_hosts.
    pub present: bool,
}

/// Who reads each chunk first, in each region.
///
/// For each chunk the hosts of a region are ordered by rendezvous hashing. The
/// first brings the chunk into the region: from the origin, or from the region
/// before it on the chunk's route. Routes start in the origin's region and
/// rotate over the others, so that every thin link carries an equal part.
#[derive(Debug, Clone)]
pub struct ChunkRanking {
    regions: Vec<String>,
    region_of: Vec<usize>,
    /// Place of each region among those on a route; the first starts it.
    ranks: Vec<PeerKey>,
    chunk_count: u32,
    manifest_seed: u64,
}

impl ChunkRanking {
    /// Ranks `hosts` for `chunks` chunks of the version `manifest`.
    pub fn new(
        manifest: Digest,
        chunk_count: u32,
        hosts: &[SwarmHost],
        origin_region: &str,
    ) -> Self {
        let regions = regions_by_route(hosts, origin_region);
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
                        keep_best(&mut best, (mix64(chunk_seed ^ seed), host));
                    }
                }
                let filler = best.last().map_or(0, |last| last.1);
                ranks.extend(
                    (0..RANKED_HOSTS)
                        .map(|rank| key(best.get(rank).map_or(filler, |entry| entry.1))),
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

    /// Number of chunks ranked_hosts.
    pub fn chunk_count(&self) -> u32 {
        self.chunk_count
    }

    /// Number of regions that hold hosts.
    pub fn region_count(&self) -> usize {
        self.regions.len()
    }

    /// Number of the region of `host`; beyond all when nobody there takes part.
    pub fn region_of(&self, host: PeerKey) -> usize {
        self.region_of[host.0 as usize]
    }

    /// The first hosts for `chunk` in `region`, best first; the last may repeat.
    pub fn ranked_hosts(&self, chunk: u32, region: usize) -> &[PeerKey] {
        let start = (chunk as usize * self.regions.len() + region) * RANKED_HOSTS;
        &self.ranks[start..start + RANKED_HOSTS]
    }

    /// Region that hands `chunk` to `region`; None when it reads the origin.
    pub fn upstream_region(&self, chunk: u32, region: usize) -> Option<usize> {
        if region == 0 {
            return None;
        }
        let others = self.regions.len() - 1;
        let first =
            (mix64(self.manifest_seed.rotate_left(17) ^ u64::from(chunk)) % others as u64) as usize;
        if region - 1 == first {
            return Some(0);
        }
        Some((region + others - 2) % others + 1)
    }
}

/// Regions with hosts: the origin's first, the others by name.
fn regions_by_route(hosts: &[SwarmHost], origin_region: &str) -> Vec<String> {
    let present = hosts.iter().filter(|host| host.present);
    let mut regions: Vec<String> = present.map(|host| host.region.clone()).collect();
    regions.sort_unstable_by(|a, b| (a != origin_region, a).cmp(&(b != origin_region, b)));
    regions.dedup();
    regions
}

fn key(index: usize) -> PeerKey {
    PeerKey(u32::try_from(index).unwrap_or(u32::MAX))
}

/// Inserts `entry` into the few best, highest first.
fn keep_best(best: &mut Vec<(u64, usize)>, entry: (u64, usize)) {
    let at = best.partition_point(|other| *other > entry);
    if at < RANKED_HOSTS {
        best.insert(at, entry);
        best.truncate(RANKED_HOSTS);
    }
}

pub(crate) fn hash64(bytes: &[u8]) -> u64 {
    let hash = blake3::hash(bytes);
    let (head, _) = hash
        .as_bytes()
        .split_first_chunk::<8>()
        .expect("a digest is longer than 8 bytes");
    u64::from_le_bytes(*head)
}

/// The finaliser of SplitMix64: spreads each input bit over the whole word.
pub(crate) fn mix64(value: u64) -> u64 {
    let value = value.wrapping_add(0x9e37_79b9_7f4a_7c15);
    let value = (value ^ (value >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let value = (value ^ (value >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    value ^ (value >> 31)
}
