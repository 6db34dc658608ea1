use crate::weights::ChunkBitmap;
use crate::weights::ChunkFetch;
use crate::weights::ChunkRanking;
use crate::weights::ChunkSource;
use crate::weights::Digest;
use crate::weights::PeerKey;
use crate::weights::PeerProbe;
use crate::weights::PeerState;
use crate::weights::PeerStatus;
use crate::weights::PlanInput;
use crate::weights::PlanSettings;
use crate::weights::SwarmHost;
use crate::weights::chunk_ranking::hash64;
use crate::weights::chunk_ranking::mix64;
use crate::weights::next_fetches;

/// First pause after a failure; doubles with each further one.
const INITIAL_BACKOFF_MS: u64 = 250;

/// Longest pause after failures.
const MAX_BACKOFF_MS: u64 = 30_000;

/// Pause before a peer that was busy or lacked a chunk is asked again.
const BUSY_BACKOFF_MS: u64 = 20;

/// Pause of a peer that sent a wrong chunk.
const WRONG_CHUNK_BACKOFF_MS: u64 = 10_000;

/// Time for which a host is taken for dead after a failure.
const MIN_UNAVAILABLE_MS: u64 = 3000;

/// Broken connections in a row after which a host is taken for dead.
const BROKEN_CONNECTION_LIMIT: u32 = 3;

/// Time for which a host that declines may still be about to take part.
const DECLINE_GRACE_MS: u64 = 5000;

/// Pause before a host that declined is asked again.
const DECLINE_BACKOFF_MS: u64 = 500;

/// Shortest time between two questions to a peer in another region, and pause
/// before it is asked again after it was busy.
pub(super) const CROSS_REGION_INTERVAL_MS: u64 = 250;

/// Limits of a transfer.
#[derive(Debug, Clone, Default)]
pub struct SwarmSettings {
    /// Limits of each plan.
    pub plan: PlanSettings,
    /// Peers of the own region that are asked for news.
    pub max_probed_peers: usize,
}

/// How a read or question failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PeerFailure {
    /// The peer answered nothing in time, or took no connection.
    Unreachable,
    /// The connection broke; an idle one may just have been closed.
    Broken,
    /// The peer doesn't take part in this version.
    Declined,
    /// The peer wants the version and can't proceed with it.
    Held,
    /// The peer sent bytes that are not the chunk.
    WrongChunk,
}

/// What to do now.
#[derive(Debug, Clone, Default)]
pub struct SwarmActions {
    /// Reads to start.
    pub fetches: Vec<ChunkFetch>,
    /// Questions to send.
    pub probes: Vec<PeerProbe>,
}

/// What is known of a peer beside its chunks.
#[derive(Debug, Clone, Default)]
pub(super) struct PeerHealth {
    pub(super) failures: u32,
    pub(super) declined_since_ms: Option<u64>,
    pub(super) unavailable_until_ms: u64,
    /// What it tells is not believed until then.
    pub(super) distrusted_until_ms: u64,
    pub(super) paused_until_ms: u64,
    pub(super) last_probe_ms: Option<u64>,
    pub(super) probe_in_flight: bool,
}

impl PeerHealth {
    /// Whether a host that declined may still learn of the version.
    fn may_still_join(&self, now_ms: u64) -> bool {
        self.declined_since_ms
            .is_some_and(|since_ms| now_ms < since_ms + DECLINE_GRACE_MS)
    }
}

/// The state of one transfer: hosts, what they hold, what is in flight.
#[derive(Debug)]
pub struct SwarmState {
    pub(super) manifest: Digest,
    pub(super) origin_region: String,
    pub(super) local: PeerKey,
    pub(super) hosts: Vec<SwarmHost>,
    pub(super) ranking: ChunkRanking,
    pub(super) held_chunks: ChunkBitmap,
    pub(super) peers: Vec<PeerState>,
    pub(super) peer_health: Vec<PeerHealth>,
    pub(super) probed_peers: Vec<PeerKey>,
    pub(super) in_flight: Vec<ChunkFetch>,
    pub(super) origin_failures: u32,
    pub(super) origin_blocked_until_ms: u64,
    pub(super) progress_ms: u64,
    pub(super) higher_ranks_probed_ms: u64,
    pub(super) settings: SwarmSettings,
    pub(super) seed: u64,
}

impl SwarmState {
    /// A transfer of `manifest` to the host called `me`, one of `hosts`.
    ///
    /// # Panics
    ///
    /// Panics when `hosts` lacks `me`.
    pub fn new(
        manifest: Digest,
        held_chunks: ChunkBitmap,
        hosts: Vec<SwarmHost>,
        local: &str,
        origin_region: &str,
        settings: SwarmSettings,
        now_ms: u64,
    ) -> Self {
        let at = hosts
            .iter()
            .position(|host| host.name == local)
            .expect("a host takes part in its own transfers");
        let ranking = ChunkRanking::new(manifest, held_chunks.chunk_count(), &hosts, origin_region);
        let mut swarm = Self {
            manifest,
            origin_region: origin_region.to_owned(),
            local: key(at),
            peers: Vec::new(),
            peer_health: vec![PeerHealth::default(); hosts.len()],
            probed_peers: Vec::new(),
            in_flight: Vec::new(),
            origin_failures: 0,
            origin_blocked_until_ms: 0,
            progress_ms: now_ms,
            higher_ranks_probed_ms: now_ms,
            seed: hash64(local.as_bytes()),
            ranking,
            held_chunks,
            hosts,
            settings,
        };
        swarm.select_probed_peers();
        swarm
    }

    /// Takes a new list of hosts; what is known of those that stay is kept.
    pub fn set_hosts(&mut self, listed: &[SwarmHost]) {
        let mut changed = false;
        for (index, host) in self.hosts.iter_mut().enumerate() {
            let found = listed.iter().find(|other| other.name == host.name);
            let present =
                found.is_some_and(|other| other.present) || index == self.local.0 as usize;
            changed |= host.present != present;
            host.present = present;
        }
        for host in listed {
            if self.peer_key(&host.name).is_none() {
                self.hosts.push(host.clone());
                self.peer_health.push(PeerHealth::default());
                changed = true;
            }
        }
        if changed {
            self.ranking = ChunkRanking::new(
                self.manifest,
                self.held_chunks.chunk_count(),
                &self.hosts,
                &self.origin_region,
            );
            self.select_probed_peers();
        }
    }

    /// Key of the host called `name`.
    pub fn peer_key(&self, name: &str) -> Option<PeerKey> {
        self.hosts
            .iter()
            .position(|host| host.name == name)
            .map(key)
    }

    /// The host of `peer`.
    pub fn host(&self, peer: PeerKey) -> &SwarmHost {
        &self.hosts[peer.0 as usize]
    }

    /// Chunks held here.
    pub fn held_chunks(&self) -> &ChunkBitmap {
        &self.held_chunks
    }

    /// Reads in progress.
    pub fn in_flight(&self) -> &[ChunkFetch] {
        &self.in_flight
    }

    /// What to do at `now_ms`; taken as started.
    pub fn next_actions(&mut self, now_ms: u64) -> SwarmActions {
        self.update_availability(now_ms);
        self.seed = mix64(self.seed);
        let fetches = next_fetches(&PlanInput {
            now_ms,
            progress_ms: self.progress_ms,
            local: self.local,
            ranking: &self.ranking,
            held_chunks: &self.held_chunks,
            in_flight: &self.in_flight,
            peers: &self.peers,
            origin_blocked_until_ms: self.origin_blocked_until_ms,
            settings: &self.settings.plan,
            seed: self.seed,
        });
        self.in_flight.extend(&fetches);
        let probes = self.next_probes(now_ms);
        SwarmActions { fetches, probes }
    }

    /// A peer told what it holds.
    pub fn record_peer_status(
        &mut self,
        peer: PeerKey,
        held_chunks: &ChunkBitmap,
        queued_reads: u32,
    ) {
        if held_chunks.chunk_count() != self.held_chunks.chunk_count() || peer == self.local {
            return;
        }
        let health = &mut self.peer_health[peer.0 as usize];
        health.failures = 0;
        health.declined_since_ms = None;
        health.unavailable_until_ms = 0;
        health.paused_until_ms = 0;
        let state = self.peer_state_mut(peer);
        state.held_chunks.merge(held_chunks);
        state.queued_reads = queued_reads;
        state.unavailable = false;
    }

    /// A question was answered.
    pub fn probe_answered(&mut self, peer: PeerKey, status: &PeerStatus) {
        self.peer_health[peer.0 as usize].probe_in_flight = false;
        self.record_peer_status(peer, &status.have, status.queue);
    }

    /// A question got no answer.
    pub fn probe_failed(&mut self, peer: PeerKey, failure: PeerFailure, now_ms: u64) {
        self.peer_health[peer.0 as usize].probe_in_flight = false;
        self.apply_backoff(peer, failure, now_ms);
    }

    /// The chunk of `fetch` arrived and is correct.
    pub fn chunk_stored(&mut self, fetch: ChunkFetch, now_ms: u64) {
        self.remove_in_flight(fetch);
        self.held_chunks.insert(fetch.chunk);
        self.progress_ms = now_ms;
        if fetch.source == ChunkSource::Origin {
            self.origin_failures = 0;
        }
    }

    /// The peer lacks a chunk it was known to hold: another process answers there.
    pub fn peer_lacks_chunk(&mut self, fetch: ChunkFetch, status: &PeerStatus, now_ms: u64) {
        self.fetch_deferred(fetch, now_ms);
        if let ChunkSource::Peer(peer) = fetch.source
            && status.have.chunk_count() == self.held_chunks.chunk_count()
        {
            self.peer_state_mut(peer).held_chunks = status.have.clone();
        }
    }

    /// The peer had no room for the read.
    pub fn fetch_deferred(&mut self, fetch: ChunkFetch, now_ms: u64) {
        self.remove_in_flight(fetch);
        if let ChunkSource::Peer(peer) = fetch.source {
            let same_region = self.ranking.region_of(peer) == self.ranking.region_of(self.local);
            let pause_ms = if same_region {
                BUSY_BACKOFF_MS
            } else {
                CROSS_REGION_INTERVAL_MS
            };
            self.peer_state_mut(peer).blocked_until_ms = now_ms + pause_ms;
        }
    }

    /// A read at a peer failed.
    pub fn peer_fetch_failed(&mut self, fetch: ChunkFetch, failure: PeerFailure, now_ms: u64) {
        self.remove_in_flight(fetch);
        if let ChunkSource::Peer(peer) = fetch.source {
            self.apply_backoff(peer, failure, now_ms);
        }
    }

    /// A read at the origin failed; it may have named a time to wait.
    pub fn origin_fetch_failed(
        &mut self,
        fetch: ChunkFetch,
        retry_after_ms: Option<u64>,
        now_ms: u64,
    ) {
        self.remove_in_flight(fetch);
        self.origin_failures += 1;
        let own_ms = exponential_backoff_ms(self.origin_failures);
        // The jitter keeps hosts that were refused together from returning together.
        let jitter_ms = mix64(self.seed ^ now_ms) % (own_ms / 2 + 1);
        let pause_ms = retry_after_ms.unwrap_or(0).max(own_ms) + jitter_ms;
        self.origin_blocked_until_ms = self.origin_blocked_until_ms.max(now_ms + pause_ms);
    }

    fn remove_in_flight(&mut self, fetch: ChunkFetch) {
        self.in_flight.retain(|other| *other != fetch);
    }

    pub(super) fn peer_state_mut(&mut self, peer: PeerKey) -> &mut PeerState {
        let at = self
            .peers
            .binary_search_by_key(&peer, |state| state.key)
            .unwrap_or_else(|at| {
                let state = PeerState {
                    key: peer,
                    held_chunks: ChunkBitmap::empty(self.held_chunks.chunk_count()),
                    queued_reads: 0,
                    blocked_until_ms: 0,
                    unavailable: false,
                };
                self.peers.insert(at, state);
                at
            });
        &mut self.peers[at]
    }

    fn apply_backoff(&mut self, peer: PeerKey, failure: PeerFailure, now_ms: u64) {
        let health = &mut self.peer_health[peer.0 as usize];
        health.failures += 1;
        if failure == PeerFailure::Declined {
            health.declined_since_ms.get_or_insert(now_ms);
        }
        let own_ms = exponential_backoff_ms(health.failures);
        let backoff_ms = match failure {
            PeerFailure::WrongChunk => WRONG_CHUNK_BACKOFF_MS,
            PeerFailure::Broken if health.failures < BROKEN_CONNECTION_LIMIT => BUSY_BACKOFF_MS,
            PeerFailure::Declined if health.may_still_join(now_ms) => DECLINE_BACKOFF_MS,
            _ => own_ms.max(MIN_UNAVAILABLE_MS),
        };
        health.paused_until_ms = now_ms + backoff_ms;
        if failure == PeerFailure::WrongChunk {
            health.distrusted_until_ms = now_ms + backoff_ms;
        }
        if backoff_ms >= MIN_UNAVAILABLE_MS && failure != PeerFailure::WrongChunk {
            health.unavailable_until_ms = now_ms + backoff_ms;
        }
        self.peer_state_mut(peer).blocked_until_ms = now_ms + backoff_ms;
    }

    /// Brings the marks of lost hosts up to date.
    fn update_availability(&mut self, now_ms: u64) {
        for state in &mut self.peers {
            let index = state.key.0 as usize;
            let health = &self.peer_health[index];
            let until_ms = health.unavailable_until_ms.max(health.distrusted_until_ms);
            state.unavailable = !self.hosts[index].present || until_ms > now_ms;
        }
    }
}

fn exponential_backoff_ms(failures: u32) -> u64 {
    INITIAL_BACKOFF_MS
        .saturating_mul(1 << failures.saturating_sub(1).min(16))
        .min(MAX_BACKOFF_MS)
}

pub(super) fn key(index: usize) -> PeerKey {
    PeerKey(u32::try_from(index).unwrap_or(u32::MAX))
}
