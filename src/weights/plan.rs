use crate::weights::ChunkBitmap;
use crate::weights::ChunkRanking;
use crate::weights::PeerKey;
use crate::weights::chunk_ranking::mix64;

/// Source from which a chunk is fetched.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum ChunkSource {
    /// The origin that publishes the version.
    Origin,
    /// Another host of the swarm.
    Peer(PeerKey),
}

/// Fetch of one chunk from one source.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ChunkFetch {
    /// Index of the chunk.
    pub chunk: u32,
    /// Source of the chunk.
    pub source: ChunkSource,
}

/// Last known state of another host of the swarm.
#[derive(Debug, Clone)]
pub struct PeerState {
    /// Key of the host.
    pub key: PeerKey,
    /// Chunks that it held when its status was last received.
    pub held_chunks: ChunkBitmap,
    /// Reads queued at it when its status was last received.
    pub queued_reads: u32,
    /// Time until which no fetch is sent to it, in ms.
    pub blocked_until_ms: u64,
    /// Whether it is treated as unavailable, so that the next rank imports its chunks.
    pub unavailable: bool,
}

/// Limits of fetch planning.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PlanSettings {
    /// Largest number of fetches in flight from peers of the own region.
    pub max_regional_fetches: usize,
    /// Largest number of fetches in flight from one peer.
    pub max_fetches_per_peer: usize,
    /// Largest number of fetches in flight from the origin and other regions.
    pub max_imports: usize,
    /// Time without progress that each further rank waits before it takes over an
    /// import, in ms; up to half of it is added as jitter.
    pub takeover_wait_ms: u64,
}

impl Default for PlanSettings {
    fn default() -> Self {
        Self {
            max_regional_fetches: 4,
            max_fetches_per_peer: 1,
            max_imports: 2,
            takeover_wait_ms: 60_000,
        }
    }
}

/// Everything that the choice of the next fetches depends on.
#[derive(Debug)]
pub struct PlanInput<'a> {
    /// Current time, in ms.
    pub now_ms: u64,
    /// Time at which this host last stored a chunk or started the transfer, in ms.
    pub last_progress_ms: u64,
    /// Key of this host.
    pub local: PeerKey,
    /// Ranking of the hosts for each chunk.
    pub ranking: &'a ChunkRanking,
    /// Chunks that this host holds.
    pub held_chunks: &'a ChunkBitmap,
    /// Fetches in flight.
    pub in_flight: &'a [ChunkFetch],
    /// State of the other hosts, sorted by key.
    pub peers: &'a [PeerState],
    /// Time until which no fetch is sent to the origin, in ms.
    pub origin_blocked_until_ms: u64,
    /// Limits of the plan.
    pub settings: &'a PlanSettings,
    /// Seed that breaks ties; it has to differ from call to call.
    pub seed: u64,
}

/// Plans the fetches to start now.
///
/// Imports come first: chunks that this host brings into its region, from the
/// origin or from the upstream region. Then come chunks that peers of the region
/// hold, rarest first, each from its least loaded holder. A chunk that is in
/// flight is not fetched again.
pub fn next_fetches(input: &PlanInput<'_>) -> Vec<ChunkFetch> {
    let mut builder = PlanBuilder::new(input);
    builder.add_imports();
    builder.add_regional_fetches();
    builder.fetches
}

/// Time without progress after which rank `rank` takes over the import of `chunk`.
fn takeover_delay_ms(input: &PlanInput<'_>, chunk: u32, rank: usize) -> u64 {
    let wait_ms = input.settings.takeover_wait_ms;
    let jitter_ms = mix64(u64::from(chunk) << 32 | u64::from(input.local.0)) % (wait_ms / 2 + 1);
    rank as u64 * (wait_ms + jitter_ms)
}

/// Collects the fetches of a plan and counts those in flight against the limits.
struct PlanBuilder<'a> {
    input: &'a PlanInput<'a>,
    /// Index of the region of this host.
    region: usize,
    /// Chunks in flight, those of the plan included.
    in_flight: ChunkBitmap,
    /// Number of fetches in flight from the origin and other regions.
    imports: usize,
    /// Number of fetches in flight from peers of the own region.
    regional_fetches: usize,
    /// Number of fetches in flight from each peer, sorted by key.
    fetches_per_peer: Vec<(PeerKey, usize)>,
    /// Fetches of the plan.
    fetches: Vec<ChunkFetch>,
}

impl<'a> PlanBuilder<'a> {
    fn new(input: &'a PlanInput<'a>) -> Self {
        let mut builder = Self {
            input,
            region: input.ranking.region_of(input.local),
            in_flight: ChunkBitmap::empty(input.ranking.chunk_count()),
            imports: 0,
            regional_fetches: 0,
            fetches_per_peer: Vec::new(),
            fetches: Vec::new(),
        };
        for fetch in input.in_flight {
            builder.count_fetch(fetch);
        }
        builder
    }

    /// Counts a fetch against the limits.
    fn count_fetch(&mut self, fetch: &ChunkFetch) {
        self.in_flight.insert(fetch.chunk);
        if let ChunkSource::Peer(peer) = fetch.source {
            match self
                .fetches_per_peer
                .binary_search_by_key(&peer, |entry| entry.0)
            {
                Ok(at) => self.fetches_per_peer[at].1 += 1,
                Err(at) => self.fetches_per_peer.insert(at, (peer, 1)),
            }
            if self.input.ranking.region_of(peer) == self.region {
                self.regional_fetches += 1;
                return;
            }
        }
        self.imports += 1;
    }

    fn push(&mut self, fetch: ChunkFetch) {
        self.count_fetch(&fetch);
        self.fetches.push(fetch);
    }

    /// Whether `chunk` is neither held nor in flight.
    fn needs(&self, chunk: u32) -> bool {
        !self.input.held_chunks.contains(chunk) && !self.in_flight.contains(chunk)
    }

    fn peer_state(&self, key: PeerKey) -> Option<&'a PeerState> {
        let peers = self.input.peers;
        let at = peers.binary_search_by_key(&key, |state| state.key).ok()?;
        Some(&peers[at])
    }

    /// Number of fetches in flight from `peer`.
    fn fetches_from(&self, peer: PeerKey) -> usize {
        match self
            .fetches_per_peer
            .binary_search_by_key(&peer, |entry| entry.0)
        {
            Ok(at) => self.fetches_per_peer[at].1,
            Err(_) => 0,
        }
    }

    /// Whether the limits and the peer's state allow another fetch from it.
    fn can_fetch_from(&self, state: &PeerState) -> bool {
        state.key != self.input.local
            && !state.unavailable
            && state.blocked_until_ms <= self.input.now_ms
            && self.fetches_from(state.key) < self.input.settings.max_fetches_per_peer
    }

    /// Adds imports, starting at a chunk that differs from host to host.
    fn add_imports(&mut self) {
        let chunk_count = self.input.ranking.chunk_count();
        let start = if chunk_count == 0 {
            0
        } else {
            self.input.local.0 % chunk_count
        };
        for chunk in (start..chunk_count).chain(0..start) {
            if self.imports >= self.input.settings.max_imports {
                return;
            }
            if !self.needs(chunk) || !self.should_import(chunk) {
                continue;
            }
            if let Some(source) = self.import_source(chunk) {
                self.push(ChunkFetch { chunk, source });
            }
        }
    }

    /// Whether this host should import `chunk` into its region now.
    fn should_import(&self, chunk: u32) -> bool {
        let ranked = self.input.ranking.ranked_hosts(chunk, self.region);
        let mut available = ranked.iter().filter(|key| {
            !self
                .peer_state(**key)
                .is_some_and(|state| state.unavailable)
        });
        let Some(rank) = available.position(|key| *key == self.input.local) else {
            return false;
        };
        if rank == 0 {
            return true;
        }
        let idle_ms = self
            .input
            .now_ms
            .saturating_sub(self.input.last_progress_ms);
        idle_ms >= takeover_delay_ms(self.input, chunk, rank) && !self.held_in_region(chunk)
    }

    /// Whether an available peer of the own region holds `chunk`.
    fn held_in_region(&self, chunk: u32) -> bool {
        self.holders(chunk, self.region)
            .any(|state| !state.unavailable)
    }

    /// Source of an import: the origin, or a holder in the upstream region.
    fn import_source(&self, chunk: u32) -> Option<ChunkSource> {
        let Some(upstream) = self.input.ranking.upstream_region(chunk, self.region) else {
            let is_unblocked = self.input.origin_blocked_until_ms <= self.input.now_ms;
            return is_unblocked.then_some(ChunkSource::Origin);
        };
        self.least_loaded_holder(chunk, upstream)
            .map(ChunkSource::Peer)
    }

    fn add_regional_fetches(&mut self) {
        let free_fetches = self
            .input
            .settings
            .max_regional_fetches
            .saturating_sub(self.regional_fetches);
        if free_fetches == 0 {
            return;
        }
        for (_, _, chunk) in self.needed_by_rarity() {
            if self.regional_fetches >= self.input.settings.max_regional_fetches {
                return;
            }
            if let Some(peer) = self.least_loaded_holder(chunk, self.region) {
                self.push(ChunkFetch {
                    chunk,
                    source: ChunkSource::Peer(peer),
                });
            }
        }
    }

    /// Needed chunks that peers of the own region hold, rarest first.
    ///
    /// Each is given as its number of holders, a random number that orders chunks
    /// of equal count, and its index.
    fn needed_by_rarity(&self) -> Vec<(u32, u64, u32)> {
        let mut excluded = self.in_flight.clone();
        excluded.merge(self.input.held_chunks);
        let mut holder_counts = vec![0u32; self.input.ranking.chunk_count() as usize];
        for state in self.input.peers {
            if state.unavailable || self.input.ranking.region_of(state.key) != self.region {
                continue;
            }
            for chunk in excluded.missing_held_by(&state.held_chunks) {
                holder_counts[chunk as usize] += 1;
            }
        }
        let mut needed: Vec<(u32, u64, u32)> = (0..)
            .zip(holder_counts)
            .filter(|(_, count)| *count > 0)
            .map(|(chunk, count)| (count, mix64(self.input.seed ^ u64::from(chunk)), chunk))
            .collect();
        needed.sort_unstable();
        needed
    }

    /// Peers of `region` that hold `chunk`, available or not.
    fn holders(&self, chunk: u32, region: usize) -> impl Iterator<Item = &'a PeerState> {
        let ranking = self.input.ranking;
        self.input.peers.iter().filter(move |state| {
            state.held_chunks.contains(chunk) && ranking.region_of(state.key) == region
        })
    }

    /// Holder of `chunk` in `region` with the fewest fetches from this host, then with the
    /// shortest queue.
    fn least_loaded_holder(&self, chunk: u32, region: usize) -> Option<PeerKey> {
        self.holders(chunk, region)
            .filter(|state| self.can_fetch_from(state))
            .min_by_key(|state| {
                let tie_break =
                    mix64(self.input.seed ^ u64::from(state.key.0) << 20 ^ u64::from(chunk));
                (self.fetches_from(state.key), state.queued_reads, tie_break)
            })
            .map(|state| state.key)
    }
}
