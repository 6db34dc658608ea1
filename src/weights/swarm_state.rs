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

/// Backoff after the first failure; it doubles with each further failure.
const INITIAL_BACKOFF_MS: u64 = 250;

/// Longest backoff after repeated failures.
const MAX_BACKOFF_MS: u64 = 30_000;

/// Backoff for a peer that was busy or lacked a chunk, or whose connection broke.
const BUSY_BACKOFF_MS: u64 = 20;

/// Backoff for a peer that sent a wrong chunk.
const WRONG_CHUNK_BACKOFF_MS: u64 = 10_000;

/// Shortest time for which a peer is treated as unavailable after a failure.
const MIN_UNAVAILABLE_MS: u64 = 3000;

/// Failures in a row from which a broken connection makes a peer unavailable.
const BROKEN_CONNECTION_LIMIT: u32 = 3;

/// Time after a host first declined in which it may still learn of the version and join.
const DECLINE_GRACE_MS: u64 = 5000;

/// Backoff for a host that declined and may still join the transfer.
const DECLINE_BACKOFF_MS: u64 = 500;

/// Shortest interval between two probes of a peer in another region, and backoff
/// for such a peer that was busy or lacked a chunk.
pub(super) const CROSS_REGION_INTERVAL_MS: u64 = 250;

/// Settings of a transfer.
#[derive(Debug, Clone, Default)]
pub struct SwarmSettings {
    /// Limits of fetch planning.
    pub plan: PlanSettings,
    /// Number of peers of the own region that are probed for new chunks.
    pub max_probed_peers: usize,
}

/// How a fetch from a peer or a probe of it failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PeerFailure {
    /// The peer accepted no connection or did not respond in time.
    Unreachable,
    /// The connection broke, possibly just an idle one that the peer closed.
    Broken,
    /// The peer doesn't take part in the transfer of this version.
    Declined,
    /// The version is held on the peer: it is wanted there but can't proceed.
    Held,
    /// The peer sent bytes that are not the requested chunk.
    WrongChunk,
}

/// Requests to send now.
#[derive(Debug, Clone, Default)]
pub struct SwarmActions {
    /// Fetches to start.
    pub fetches: Vec<ChunkFetch>,
    /// Probes to send.
    pub probes: Vec<PeerProbe>,
}

/// Failures and probes of a peer; times are in ms.
#[derive(Debug, Clone, Default)]
pub(super) struct PeerHealth {
    /// Failures since the peer's status was last received.
    pub(super) failures: u32,
    /// Time of the first of the peer's refusals to take part.
    pub(super) declined_since_ms: Option<u64>,
    /// Time until which the peer is treated as unavailable after failures.
    pub(super) unavailable_until_ms: u64,
    /// Time until which the peer is treated as unavailable, whatever status it sends,
    /// because it sent a wrong chunk.
    pub(super) distrusted_until_ms: u64,
    /// Time until which the peer is not probed.
    pub(super) probes_paused_until_ms: u64,
    pub(super) last_probe_ms: Option<u64>,
    pub(super) probe_in_flight: bool,
}

impl PeerHealth {
    /// Whether a host that declined may still learn of the version and join.
    fn may_still_join(&self, now_ms: u64) -> bool {
        self.declined_since_ms
            .is_some_and(|since_ms| now_ms < since_ms + DECLINE_GRACE_MS)
    }
}

/// State of the transfer of one version to this host.
///
/// Tracks the hosts of the swarm, the chunks they hold, and the requests in
/// flight. It does no I/O: the caller sends what [`SwarmState::next_actions`]
/// returns and reports the results back.
#[derive(Debug)]
pub struct SwarmState {
    /// Digest of the version's manifest.
    pub(super) manifest: Digest,
    pub(super) origin_region: String,
    pub(super) local: PeerKey,
    pub(super) hosts: Vec<SwarmHost>,
    pub(super) ranking: ChunkRanking,
    pub(super) held_chunks: ChunkBitmap,
    /// State of the peers known so far, sorted by key.
    pub(super) peers: Vec<PeerState>,
    pub(super) peer_health: Vec<PeerHealth>,
    /// Peers of the own region that are probed for new chunks.
    pub(super) probed_peers: Vec<PeerKey>,
    pub(super) in_flight: Vec<ChunkFetch>,
    /// Failed fetches from the origin since the last successful one.
    pub(super) origin_failures: u32,
    pub(super) origin_blocked_until_ms: u64,
    /// Time at which a chunk was last stored, in ms; at first the start.
    pub(super) last_progress_ms: u64,
    /// Time at which the hosts that rank before this one were last probed, in ms.
    pub(super) higher_ranks_probed_ms: u64,
    pub(super) settings: SwarmSettings,
    /// Seed of random choices; changes with each plan.
    pub(super) seed: u64,
}

impl SwarmState {
    /// Starts a transfer of the version `manifest` to the host `local` of `hosts`.
    ///
    /// # Panics
    ///
    /// Panics when `hosts` does not contain `local`.
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
            .expect("the list of hosts contains the local host");
        let ranking = ChunkRanking::new(manifest, held_chunks.chunk_count(), &hosts, origin_region);
        let mut swarm = Self {
            manifest,
            origin_region: origin_region.to_owned(),
            local: peer_key_at(at),
            peers: Vec::new(),
            peer_health: vec![PeerHealth::default(); hosts.len()],
            probed_peers: Vec::new(),
            in_flight: Vec::new(),
            origin_failures: 0,
            origin_blocked_until_ms: 0,
            last_progress_ms: now_ms,
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

    /// Updates the list of hosts.
    ///
    /// Hosts keep their keys and state; those not listed any more are not present.
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
            .map(peer_key_at)
    }

    /// Returns the host with key `peer`.
    pub fn host(&self, peer: PeerKey) -> &SwarmHost {
        &self.hosts[peer.0 as usize]
    }

    /// Chunks that this host holds.
    pub fn held_chunks(&self) -> &ChunkBitmap {
        &self.held_chunks
    }

    /// Fetches in flight.
    pub fn in_flight(&self) -> &[ChunkFetch] {
        &self.in_flight
    }

    /// Returns the requests to send at `now_ms` and records them as in flight.
    pub fn next_actions(&mut self, now_ms: u64) -> SwarmActions {
        self.update_availability(now_ms);
        self.seed = mix64(self.seed);
        let fetches = next_fetches(&PlanInput {
            now_ms,
            last_progress_ms: self.last_progress_ms,
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

    /// Records the status received from a peer and ends its backoff for failures.
    ///
    /// A status with another number of chunks is ignored.
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
        health.probes_paused_until_ms = 0;
        let state = self.peer_state_mut(peer);
        state.held_chunks.merge(held_chunks);
        state.queued_reads = queued_reads;
        state.unavailable = false;
    }

    /// Records the response to a probe.
    pub fn record_probe_response(&mut self, peer: PeerKey, status: &PeerStatus) {
        self.peer_health[peer.0 as usize].probe_in_flight = false;
        self.record_peer_status(peer, &status.have, status.queue);
    }

    /// Records the failure of a probe.
    pub fn record_probe_failure(&mut self, peer: PeerKey, failure: PeerFailure, now_ms: u64) {
        self.peer_health[peer.0 as usize].probe_in_flight = false;
        self.apply_backoff(peer, failure, now_ms);
    }

    /// Records that the chunk of `fetch` was received and is correct.
    pub fn record_stored_chunk(&mut self, fetch: ChunkFetch, now_ms: u64) {
        self.remove_in_flight(fetch);
        self.held_chunks.insert(fetch.chunk);
        self.last_progress_ms = now_ms;
        if fetch.source == ChunkSource::Origin {
            self.origin_failures = 0;
        }
    }

    /// Records that the peer lacks a chunk that it was known to hold.
    ///
    /// This shows that the peer's process was replaced, so the chunks in `status` replace
    /// the known ones instead of being merged.
    pub fn record_missing_chunk(&mut self, fetch: ChunkFetch, status: &PeerStatus, now_ms: u64) {
        self.record_busy_peer(fetch, now_ms);
        if let ChunkSource::Peer(peer) = fetch.source
            && status.have.chunk_count() == self.held_chunks.chunk_count()
        {
            self.peer_state_mut(peer).held_chunks = status.have.clone();
        }
    }

    /// Records that the peer was too busy for the fetch, and blocks it for a short time.
    pub fn record_busy_peer(&mut self, fetch: ChunkFetch, now_ms: u64) {
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

    /// Records the failure of a fetch from a peer.
    pub fn record_peer_fetch_failure(
        &mut self,
        fetch: ChunkFetch,
        failure: PeerFailure,
        now_ms: u64,
    ) {
        self.remove_in_flight(fetch);
        if let ChunkSource::Peer(peer) = fetch.source {
            self.apply_backoff(peer, failure, now_ms);
        }
    }

    /// Records the failure of a fetch from the origin.
    ///
    /// `retry_after_ms` is the delay that the origin requested, if any.
    pub fn record_origin_fetch_failure(
        &mut self,
        fetch: ChunkFetch,
        retry_after_ms: Option<u64>,
        now_ms: u64,
    ) {
        self.remove_in_flight(fetch);
        self.origin_failures += 1;
        let backoff_ms = exponential_backoff_ms(self.origin_failures);
        // Jitter keeps hosts that were refused at the same time from retrying at the
        // same time.
        let jitter_ms = mix64(self.seed ^ now_ms) % (backoff_ms / 2 + 1);
        let pause_ms = retry_after_ms.unwrap_or(0).max(backoff_ms) + jitter_ms;
        self.origin_blocked_until_ms = self.origin_blocked_until_ms.max(now_ms + pause_ms);
    }

    fn remove_in_flight(&mut self, fetch: ChunkFetch) {
        self.in_flight.retain(|other| *other != fetch);
    }

    /// Returns the state of `peer`; adds one without chunks when there is none.
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

    /// Blocks a peer after a failure, for a time that depends on its kind.
    fn apply_backoff(&mut self, peer: PeerKey, failure: PeerFailure, now_ms: u64) {
        let health = &mut self.peer_health[peer.0 as usize];
        health.failures += 1;
        if failure == PeerFailure::Declined {
            health.declined_since_ms.get_or_insert(now_ms);
        }
        let exponential_ms = exponential_backoff_ms(health.failures);
        let backoff_ms = match failure {
            PeerFailure::WrongChunk => WRONG_CHUNK_BACKOFF_MS,
            PeerFailure::Broken if health.failures < BROKEN_CONNECTION_LIMIT => BUSY_BACKOFF_MS,
            PeerFailure::Declined if health.may_still_join(now_ms) => DECLINE_BACKOFF_MS,
            _ => exponential_ms.max(MIN_UNAVAILABLE_MS),
        };
        health.probes_paused_until_ms = now_ms + backoff_ms;
        if failure == PeerFailure::WrongChunk {
            health.distrusted_until_ms = now_ms + backoff_ms;
        }
        if backoff_ms >= MIN_UNAVAILABLE_MS && failure != PeerFailure::WrongChunk {
            health.unavailable_until_ms = now_ms + backoff_ms;
        }
        self.peer_state_mut(peer).blocked_until_ms = now_ms + backoff_ms;
    }

    /// Updates which peers are treated as unavailable.
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

pub(super) fn peer_key_at(index: usize) -> PeerKey {
    PeerKey(u32::try_from(index).unwrap_or(u32::MAX))
}
