use crate::weights::ChunkSource;
use crate::weights::PeerKey;
use crate::weights::SwarmState;
use crate::weights::chunk_ranking::hash64;
use crate::weights::chunk_ranking::mix64;
use crate::weights::swarm_state::CROSSING_GAP_MS;
use crate::weights::swarm_state::key;

/// Shortest time between two questions to one peer.
const PROBE_GAP_MS: u64 = 50;

/// Time between two questions to the host whose duty this one would take over.
const HOME_PROBE_GAP_MS: u64 = 1000;

/// How long a question may wait at a peer for news.
const PROBE_WAIT_MS: u64 = 1000;

/// A question to a peer for its chunks.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PeerProbe {
    /// Whom to ask.
    pub peer: PeerKey,
    /// Chunks it is known to hold.
    pub known: u32,
    /// How long it may wait for more.
    pub wait_ms: u64,
}

impl SwarmState {
    /// Chooses the peers that are asked for news, another choice on each host.
    pub(super) fn pick_neighbours(&mut self) {
        let region = self.homes.region_of(self.me);
        let mine = self.seed;
        let mut others: Vec<(u64, PeerKey)> = (0..self.hosts.len())
            .map(key)
            .filter(|peer| *peer != self.me && self.homes.region_of(*peer) == region)
            .filter(|peer| self.hosts[peer.0 as usize].present)
            .map(|peer| {
                let other = hash64(self.hosts[peer.0 as usize].name.as_bytes());
                (mix64(mine ^ other.rotate_left(23)), peer)
            })
            .collect();
        others.sort_unstable();
        others.truncate(self.settings.neighbours);
        self.picked = others.into_iter().map(|(_, peer)| peer).collect();
        self.picked.sort_unstable();
    }

    pub(super) fn next_probes(&mut self, now_ms: u64) -> Vec<PeerProbe> {
        if self.have.is_complete() {
            return Vec::new();
        }
        let mut probes = Vec::new();
        if self.swarm_reads() < self.settings.plan.max_fetches {
            for peer in self.picked.clone() {
                self.probe(peer, PROBE_GAP_MS, PROBE_WAIT_MS, now_ms, &mut probes);
            }
        }
        for peer in self.feeding_homes() {
            self.probe(peer, CROSSING_GAP_MS, PROBE_WAIT_MS, now_ms, &mut probes);
        }
        if now_ms >= self.homes_probed_ms + HOME_PROBE_GAP_MS {
            self.homes_probed_ms = now_ms;
            for peer in self.homes_ahead() {
                self.probe(peer, HOME_PROBE_GAP_MS, 0, now_ms, &mut probes);
            }
        }
        probes
    }

    fn swarm_reads(&self) -> usize {
        let region = self.homes.region_of(self.me);
        let reads = self.in_flight.iter().filter(|fetch| match fetch.source {
            ChunkSource::Origin => false,
            ChunkSource::Peer(peer) => self.homes.region_of(peer) == region,
        });
        reads.count()
    }

    fn probe(
        &mut self,
        peer: PeerKey,
        gap_ms: u64,
        wait_ms: u64,
        now_ms: u64,
        probes: &mut Vec<PeerProbe>,
    ) {
        let health = &mut self.peer_health[peer.0 as usize];
        let recent = health
            .probed_ms
            .is_some_and(|probed_ms| now_ms < probed_ms + gap_ms);
        let paused = health.paused_until_ms > now_ms;
        if health.probing || recent || paused {
            return;
        }
        health.probing = true;
        health.probed_ms = Some(now_ms);
        let known = self.neighbour_mut(peer).have.held_count();
        probes.push(PeerProbe {
            peer,
            known,
            wait_ms,
        });
    }

    /// First living hosts of feeding regions that have chunks this host brings in.
    fn feeding_homes(&self) -> Vec<PeerKey> {
        let region = self.homes.region_of(self.me);
        if region == 0 {
            return Vec::new();
        }
        let missing = self
            .missing()
            .filter(|chunk| self.first_living(*chunk, region) == Some(self.me));
        let mut homes: Vec<PeerKey> = missing
            .filter_map(|chunk| {
                self.first_living(chunk, self.homes.upstream_region(chunk, region)?)
            })
            .collect();
        homes.sort_unstable();
        homes.dedup();
        homes.retain(|peer| !self.offers_duty(*peer, region));
        homes
    }

    /// Whether `peer` is known to hold a chunk that this host could bring in now.
    fn offers_duty(&self, peer: PeerKey, region: usize) -> bool {
        let Ok(at) = self
            .neighbours
            .binary_search_by_key(&peer, |neighbour| neighbour.key)
        else {
            return false;
        };
        let have = &self.neighbours[at].have;
        let open = |chunk: &u32| !self.in_flight.iter().any(|fetch| fetch.chunk == *chunk);
        self.missing()
            .filter(open)
            .any(|chunk| have.contains(chunk) && self.first_living(chunk, region) == Some(self.me))
    }

    /// Hosts directly before this one in rank for a chunk nobody is known to hold.
    fn homes_ahead(&self) -> Vec<PeerKey> {
        let region = self.homes.region_of(self.me);
        let mut ahead = Vec::new();
        for chunk in self.missing() {
            let mut before = None;
            for peer in self.homes.ranked_hosts(chunk, region) {
                if *peer == self.me {
                    ahead.extend(before);
                    break;
                }
                if !self.is_lost(*peer) {
                    before = Some(*peer);
                }
            }
        }
        ahead.sort_unstable();
        ahead.dedup();
        ahead
    }

    fn missing(&self) -> impl Iterator<Item = u32> {
        (0..self.have.chunk_count()).filter(|chunk| !self.have.contains(*chunk))
    }

    fn first_living(&self, chunk: u32, region: usize) -> Option<PeerKey> {
        let ranked = self.homes.ranked_hosts(chunk, region);
        ranked.iter().copied().find(|peer| !self.is_lost(*peer))
    }

    fn is_lost(&self, peer: PeerKey) -> bool {
        match self
            .neighbours
            .binary_search_by_key(&peer, |neighbour| neighbour.key)
        {
            Ok(at) => self.neighbours[at].lost,
            Err(_) => false,
        }
    }
}
