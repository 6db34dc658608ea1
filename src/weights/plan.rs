use crate::weights::ChunkBitmap;
use crate::weights::ChunkRanking;
use crate::weights::PeerKey;
use crate::weights::chunk_ranking::mix64;

/// Where a chunk is read from.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum ChunkSource {
    /// The origin of weights.
    Origin,
    /// Another host.
    Peer(PeerKey),
}

/// One read of a chunk.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ChunkFetch {
    /// Index of the chunk.
    pub chunk: u32,
    /// Where to read it.
    pub source: ChunkSource,
}

/// What is known of another host that wants the version.
#[derive(Debug, Clone)]
pub struct PeerState {
    /// Which host.
    pub key: PeerKey,
    /// Chunks it held when it last answered.
    pub have: ChunkBitmap,
    /// Reads that wait at it, by its last answer.
    pub queue: u32,
    /// No read is sent to it until then.
    pub blocked_until_ms: u64,
    /// Whether it is taken for dead: its duties pass to the next rank.
    pub lost: bool,
}

/// Limits of a plan.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PlanSettings {
    /// Reads from peers of the own region in progress at a time.
    pub max_fetches: usize,
    /// Reads from one peer in progress at a time.
    pub max_per_peer: usize,
    /// Reads from the origin or from other regions in progress at a time.
    pub max_duties: usize,
    /// Time that each further rank waits before it takes over a duty.
    pub takeover_wait_ms: u64,
}

impl Default for PlanSettings {
    fn default() -> Self {
        Self {
            max_fetches: 4,
            max_per_peer: 1,
            max_duties: 2,
            takeover_wait_ms: 60_000,
        }
    }
}

/// All that the next reads depend on.
#[derive(Debug)]
pub struct PlanInput<'a> {
    /// Time now.
    pub now_ms: u64,
    /// Time of the last sign that the version makes progress here.
    pub progress_ms: u64,
    /// This host.
    pub me: PeerKey,
    /// Ranks of all hosts for each chunk.
    pub homes: &'a ChunkRanking,
    /// Chunks held here.
    pub have: &'a ChunkBitmap,
    /// Reads in progress.
    pub in_flight: &'a [ChunkFetch],
    /// What is known of others, sorted by key.
    pub neighbours: &'a [PeerState],
    /// No read is sent to the origin until then.
    pub origin_blocked_until_ms: u64,
    /// Limits.
    pub settings: &'a PlanSettings,
    /// Breaks ties; another value at each call.
    pub seed: u64,
}

/// The reads to start now.
///
/// Duties first: chunks that this host brings into its region, from the origin
/// or another region. Then chunks that neighbours of the region hold, rarest
/// first, each from its least loaded holder. A chunk already in flight is not
/// read twice.
pub fn next_fetches(input: &PlanInput<'_>) -> Vec<ChunkFetch> {
    let mut draft = Draft::new(input);
    draft.add_duties();
    draft.add_swarm_reads();
    draft.fetches
}

/// When rank `rank` may take over the duty for `chunk`, after no progress.
fn takeover_delay_ms(input: &PlanInput<'_>, chunk: u32, rank: usize) -> u64 {
    let wait_ms = input.settings.takeover_wait_ms;
    let jitter_ms = mix64(u64::from(chunk) << 32 | u64::from(input.me.0)) % (wait_ms / 2 + 1);
    rank as u64 * (wait_ms + jitter_ms)
}

struct Draft<'a> {
    input: &'a PlanInput<'a>,
    region: usize,
    busy: ChunkBitmap,
    duties: usize,
    swarm_reads: usize,
    per_peer: Vec<(PeerKey, usize)>,
    fetches: Vec<ChunkFetch>,
}

impl<'a> Draft<'a> {
    fn new(input: &'a PlanInput<'a>) -> Self {
        let mut draft = Self {
            input,
            region: input.homes.region_of(input.me),
            busy: ChunkBitmap::empty(input.homes.chunk_count()),
            duties: 0,
            swarm_reads: 0,
            per_peer: Vec::new(),
            fetches: Vec::new(),
        };
        for fetch in input.in_flight {
            draft.count(fetch);
        }
        draft
    }

    fn count(&mut self, fetch: &ChunkFetch) {
        self.busy.insert(fetch.chunk);
        if let ChunkSource::Peer(peer) = fetch.source {
            match self.per_peer.binary_search_by_key(&peer, |entry| entry.0) {
                Ok(at) => self.per_peer[at].1 += 1,
                Err(at) => self.per_peer.insert(at, (peer, 1)),
            }
            if self.input.homes.region_of(peer) == self.region {
                self.swarm_reads += 1;
                return;
            }
        }
        self.duties += 1;
    }

    fn push(&mut self, fetch: ChunkFetch) {
        self.count(&fetch);
        self.fetches.push(fetch);
    }

    fn wants(&self, chunk: u32) -> bool {
        !self.input.have.contains(chunk) && !self.busy.contains(chunk)
    }

    fn neighbour(&self, key: PeerKey) -> Option<&'a PeerState> {
        let neighbours = self.input.neighbours;
        let at = neighbours
            .binary_search_by_key(&key, |neighbour| neighbour.key)
            .ok()?;
        Some(&neighbours[at])
    }

    fn load(&self, peer: PeerKey) -> usize {
        match self.per_peer.binary_search_by_key(&peer, |entry| entry.0) {
            Ok(at) => self.per_peer[at].1,
            Err(_) => 0,
        }
    }

    fn accepts(&self, neighbour: &PeerState) -> bool {
        neighbour.key != self.input.me
            && !neighbour.lost
            && neighbour.blocked_until_ms <= self.input.now_ms
            && self.load(neighbour.key) < self.input.settings.max_per_peer
    }

    fn add_duties(&mut self) {
        let chunks = self.input.homes.chunk_count();
        let start = if chunks == 0 {
            0
        } else {
            self.input.me.0 % chunks
        };
        for chunk in (start..chunks).chain(0..start) {
            if self.duties >= self.input.settings.max_duties {
                return;
            }
            if !self.wants(chunk) || !self.is_duty(chunk) {
                continue;
            }
            if let Some(source) = self.duty_source(chunk) {
                self.push(ChunkFetch { chunk, source });
            }
        }
    }

    /// Whether this host brings `chunk` into its region now.
    fn is_duty(&self, chunk: u32) -> bool {
        let ranked = self.input.homes.ranked_hosts(chunk, self.region);
        let mut living = ranked.iter().filter(|key| {
            !self
                .neighbour(**key)
                .is_some_and(|neighbour| neighbour.lost)
        });
        let Some(rank) = living.position(|key| *key == self.input.me) else {
            return false;
        };
        if rank == 0 {
            return true;
        }
        let idle_ms = self.input.now_ms.saturating_sub(self.input.progress_ms);
        idle_ms >= takeover_delay_ms(self.input, chunk, rank) && !self.held_nearby(chunk)
    }

    fn held_nearby(&self, chunk: u32) -> bool {
        self.holders(chunk, self.region)
            .any(|neighbour| !neighbour.lost)
    }

    /// Where a duty is read: the origin, or a holder in the feeding region.
    fn duty_source(&self, chunk: u32) -> Option<ChunkSource> {
        let Some(feeder) = self.input.homes.upstream_region(chunk, self.region) else {
            let open = self.input.origin_blocked_until_ms <= self.input.now_ms;
            return open.then_some(ChunkSource::Origin);
        };
        self.best_holder(chunk, feeder).map(ChunkSource::Peer)
    }

    fn add_swarm_reads(&mut self) {
        let room = self
            .input
            .settings
            .max_fetches
            .saturating_sub(self.swarm_reads);
        if room == 0 {
            return;
        }
        for (_, _, chunk) in self.wanted_by_rarity() {
            if self.swarm_reads >= self.input.settings.max_fetches {
                return;
            }
            if let Some(peer) = self.best_holder(chunk, self.region) {
                self.push(ChunkFetch {
                    chunk,
                    source: ChunkSource::Peer(peer),
                });
            }
        }
    }

    /// Chunks to read that a neighbour of the region holds: count of holders, a
    /// random order among equals, and the index.
    fn wanted_by_rarity(&self) -> Vec<(u32, u64, u32)> {
        let mut not_wanted = self.busy.clone();
        not_wanted.merge(self.input.have);
        let mut holders = vec![0u32; self.input.homes.chunk_count() as usize];
        for neighbour in self.input.neighbours {
            if neighbour.lost || self.input.homes.region_of(neighbour.key) != self.region {
                continue;
            }
            for chunk in not_wanted.missing_held_by(&neighbour.have) {
                holders[chunk as usize] += 1;
            }
        }
        let mut wanted: Vec<(u32, u64, u32)> = (0..)
            .zip(holders)
            .filter(|(_, count)| *count > 0)
            .map(|(chunk, count)| (count, mix64(self.input.seed ^ u64::from(chunk)), chunk))
            .collect();
        wanted.sort_unstable();
        wanted
    }

    fn holders(&self, chunk: u32, region: usize) -> impl Iterator<Item = &'a PeerState> {
        let homes = self.input.homes;
        self.input.neighbours.iter().filter(move |neighbour| {
            neighbour.have.contains(chunk) && homes.region_of(neighbour.key) == region
        })
    }

    fn best_holder(&self, chunk: u32, region: usize) -> Option<PeerKey> {
        self.holders(chunk, region)
            .filter(|neighbour| self.accepts(neighbour))
            .min_by_key(|neighbour| {
                let order =
                    mix64(self.input.seed ^ u64::from(neighbour.key.0) << 20 ^ u64::from(chunk));
                (self.load(neighbour.key), neighbour.queue, order)
            })
            .map(|neighbour| neighbour.key)
    }
}
