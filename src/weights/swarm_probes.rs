use crate::weights::ChunkSource;
use crate::weights::PeerKey;
use crate::weights::SwarmState;
use crate::weights::chunk_ranking::hash64;
use crate::weights::chunk_ranking::mix64;
use crate::weights::swarm_state::CROSS_REGION_INTERVAL_MS;
use crate::weights::swarm_state::peer_key_at;

/// Shortest interval between two probes of one peer of the own region.
const PROBE_INTERVAL_MS: u64 = 50;

/// Interval between probes of the hosts whose imports this host would take over.
const HIGHER_RANK_PROBE_INTERVAL_MS: u64 = 1000;

/// Longest time that a probe may wait at a peer for new chunks.
const PROBE_LONG_POLL_MS: u64 = 1000;

/// Request to a peer for its status.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PeerProbe {
    /// Key of the peer.
    pub peer: PeerKey,
    /// Number of chunks that the peer is known to hold.
    pub known_chunks: u32,
    /// Longest time that the peer may wait for more chunks, in ms.
    pub wait_ms: u64,
}

impl SwarmState {
    /// Selects the peers of the own region to probe, differently on each host.
    pub(super) fn select_probed_peers(&mut self) {
        let region = self.ranking.region_of(self.local);
        let own_seed = self.seed;
        let mut candidates: Vec<(u64, PeerKey)> = (0..self.hosts.len())
            .map(peer_key_at)
            .filter(|peer| *peer != self.local && self.ranking.region_of(*peer) == region)
            .filter(|peer| self.hosts[peer.0 as usize].present)
            .map(|peer| {
                let name_hash = hash64(self.hosts[peer.0 as usize].name.as_bytes());
                (mix64(own_seed ^ name_hash.rotate_left(23)), peer)
            })
            .collect();
        candidates.sort_unstable();
        candidates.truncate(self.settings.max_probed_peers);
        self.probed_peers = candidates.into_iter().map(|(_, peer)| peer).collect();
        self.probed_peers.sort_unstable();
    }

    /// Returns the probes to send now and records them as in flight.
    pub(super) fn next_probes(&mut self, now_ms: u64) -> Vec<PeerProbe> {
        if self.held_chunks.is_complete() {
            return Vec::new();
        }
        let mut probes = Vec::new();
        if self.regional_fetches() < self.settings.plan.max_regional_fetches {
            for peer in self.probed_peers.clone() {
                self.add_probe(
                    peer,
                    PROBE_INTERVAL_MS,
                    PROBE_LONG_POLL_MS,
                    now_ms,
                    &mut probes,
                );
            }
        }
        for peer in self.upstream_primary_holders() {
            self.add_probe(
                peer,
                CROSS_REGION_INTERVAL_MS,
                PROBE_LONG_POLL_MS,
                now_ms,
                &mut probes,
            );
        }
        if now_ms >= self.higher_ranks_probed_ms + HIGHER_RANK_PROBE_INTERVAL_MS {
            self.higher_ranks_probed_ms = now_ms;
            for peer in self.higher_ranked_hosts() {
                self.add_probe(peer, HIGHER_RANK_PROBE_INTERVAL_MS, 0, now_ms, &mut probes);
            }
        }
        probes
    }

    /// Number of fetches in flight from peers of the own region.
    fn regional_fetches(&self) -> usize {
        let region = self.ranking.region_of(self.local);
        let fetches = self.in_flight.iter().filter(|fetch| match fetch.source {
            ChunkSource::Origin => false,
            ChunkSource::Peer(peer) => self.ranking.region_of(peer) == region,
        });
        fetches.count()
    }

    /// Adds a probe of `peer`, unless one is in flight or was sent within `interval_ms`, or
    /// probes of it are paused.
    fn add_probe(
        &mut self,
        peer: PeerKey,
        interval_ms: u64,
        wait_ms: u64,
        now_ms: u64,
        probes: &mut Vec<PeerProbe>,
    ) {
        let health = &mut self.peer_health[peer.0 as usize];
        let is_recent = health
            .last_probe_ms
            .is_some_and(|last_probe_ms| now_ms < last_probe_ms + interval_ms);
        let is_paused = health.probes_paused_until_ms > now_ms;
        if health.probe_in_flight || is_recent || is_paused {
            return;
        }
        health.probe_in_flight = true;
        health.last_probe_ms = Some(now_ms);
        let known_chunks = self.peer_state_mut(peer).held_chunks.held_count();
        probes.push(PeerProbe {
            peer,
            known_chunks,
            wait_ms,
        });
    }

    /// Primary holders, in upstream regions, of the chunks this host should import.
    ///
    /// Hosts that are known to hold such a chunk already are left out.
    fn upstream_primary_holders(&self) -> Vec<PeerKey> {
        let region = self.ranking.region_of(self.local);
        if region == 0 {
            return Vec::new();
        }
        let imports = self
            .missing_chunks()
            .filter(|chunk| self.primary_holder(*chunk, region) == Some(self.local));
        let mut holders: Vec<PeerKey> = imports
            .filter_map(|chunk| {
                self.primary_holder(chunk, self.ranking.upstream_region(chunk, region)?)
            })
            .collect();
        holders.sort_unstable();
        holders.dedup();
        holders.retain(|peer| !self.offers_import(*peer, region));
        holders
    }

    /// Whether `peer` is known to hold a chunk that this host could import now.
    fn offers_import(&self, peer: PeerKey, region: usize) -> bool {
        let Ok(at) = self.peers.binary_search_by_key(&peer, |state| state.key) else {
            return false;
        };
        let held_chunks = &self.peers[at].held_chunks;
        let is_not_in_flight =
            |chunk: &u32| !self.in_flight.iter().any(|fetch| fetch.chunk == *chunk);
        self.missing_chunks().filter(is_not_in_flight).any(|chunk| {
            held_chunks.contains(chunk) && self.primary_holder(chunk, region) == Some(self.local)
        })
    }

    /// Available hosts ranked directly before this one for a chunk it lacks.
    fn higher_ranked_hosts(&self) -> Vec<PeerKey> {
        let region = self.ranking.region_of(self.local);
        let mut higher_ranked = Vec::new();
        for chunk in self.missing_chunks() {
            let mut directly_before = None;
            for peer in self.ranking.ranked_hosts(chunk, region) {
                if *peer == self.local {
                    higher_ranked.extend(directly_before);
                    break;
                }
                if !self.is_unavailable(*peer) {
                    directly_before = Some(*peer);
                }
            }
        }
        higher_ranked.sort_unstable();
        higher_ranked.dedup();
        higher_ranked
    }

    /// Chunks that this host lacks.
    fn missing_chunks(&self) -> impl Iterator<Item = u32> {
        (0..self.held_chunks.chunk_count()).filter(|chunk| !self.held_chunks.contains(*chunk))
    }

    /// Best ranked host of `region` for `chunk` that is not unavailable.
    fn primary_holder(&self, chunk: u32, region: usize) -> Option<PeerKey> {
        let ranked = self.ranking.ranked_hosts(chunk, region);
        ranked
            .iter()
            .copied()
            .find(|peer| !self.is_unavailable(*peer))
    }

    fn is_unavailable(&self, peer: PeerKey) -> bool {
        match self.peers.binary_search_by_key(&peer, |state| state.key) {
            Ok(at) => self.peers[at].unavailable,
            Err(_) => false,
        }
    }
}
