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
const FIRST_BLOCK_MS: u64 = 250;

/// Longest pause after failures.
const MAX_BLOCK_MS: u64 = 30_000;

/// Pause before a peer that was busy or lacked a chunk is asked again.
const BUSY_BLOCK_MS: u64 = 20;

/// Pause of a peer that sent a wrong chunk.
const PENALTY_MS: u64 = 10_000;

/// Time for which a host is taken for dead after a failure.
const LOST_MS: u64 = 3000;

/// Broken connections in a row after which a host is taken for dead.
const BROKEN_LIMIT: u32 = 3;

/// Time for which a host that declines may still be about to take part.
const DECLINE_GRACE_MS: u64 = 5000;

/// Pause before a host that declined is asked again.
const DECLINE_PAUSE_MS: u64 = 500;

/// Shortest time between two questions to a peer in another region, and pause
/// before it is asked again after it was busy.
pub(super) const CROSSING_GAP_MS: u64 = 250;

/// Limits of a transfer.
#[derive(Debug, Clone, Default)]
pub struct SwarmSettings {
    /// Limits of each plan.
    pub plan: PlanSettings,
    /// Peers of the own region that are asked for news.
    pub neighbours: usize,
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
    pub(super) lost_until_ms: u64,
    /// What it tells is not believed until then.
    pub(super) distrusted_until_ms: u64,
    pub(super) paused_until_ms: u64,
    pub(super) probed_ms: Option<u64>,
    pub(super) probing: bool,
}

impl PeerHealth {
    /// Whether a host that declined may still learn of the version.
    fn may_join(&self, now_ms: u64) -> bool {
        self.declined_since_ms
            .is_some_and(|since_ms| now_ms < since_ms + DECLINE_GRACE_MS)
    }
}

/// The state of one transfer: hosts, what they hold, what is in flight.
#[derive(Debug)]
pub struct SwarmState {
    pub(super) manifest: Digest,
    pub(super) origin_region: String,
    pub(super) me: PeerKey,
    pub(super) hosts: Vec<SwarmHost>,
    pub(super) homes: ChunkRanking,
    pub(super) have: ChunkBitmap,
    pub(super) neighbours: Vec<PeerState>,
    pub(super) peer_health: Vec<PeerHealth>,
    pub(super) picked: Vec<PeerKey>,
    pub(super) in_flight: Vec<ChunkFetch>,
    pub(super) origin_failures: u32,
    pub(super) origin_blocked_until_ms: u64,
    pub(super) progress_ms: u64,
    pub(super) homes_probed_ms: u64,
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
        have: ChunkBitmap,
        hosts: Vec<SwarmHost>,
        me: &str,
        origin_region: &str,
        settings: SwarmSettings,
        now_ms: u64,
    ) -> Self {
        let at = hosts
            .iter()
            .position(|host| host.name == me)
            .expect("a host takes part in its own transfers");
        let homes = ChunkRanking::new(manifest, have.chunk_count(), &hosts, origin_region);
        let mut swarm = Self {
            manifest,
            origin_region: origin_region.to_owned(),
            me: key(at),
            neighbours: Vec::new(),
            peer_health: vec![PeerHealth::default(); hosts.len()],
            picked: Vec::new(),
            in_flight: Vec::new(),
            origin_failures: 0,
            origin_blocked_until_ms: 0,
            progress_ms: now_ms,
            homes_probed_ms: now_ms,
            seed: hash64(me.as_bytes()),
            homes,
            have,
            hosts,
            settings,
        };
        swarm.pick_neighbours();
        swarm
    }

    /// Takes a new list of hosts; what is known of those that stay is kept.
    pub fn set_hosts(&mut self, listed: &[SwarmHost]) {
        let mut changed = false;
        for (index, host) in self.hosts.iter_mut().enumerate() {
            let found = listed.iter().find(|other| other.name == host.name);
            let present = found.is_some_and(|other| other.present) || index == self.me.0 as usize;
            changed |= host.present != present;
            host.present = present;
        }
        for host in listed {
            if self.key_of(&host.name).is_none() {
                self.hosts.push(host.clone());
                self.peer_health.push(PeerHealth::default());
                changed = true;
            }
        }
        if changed {
            self.homes = ChunkRanking::new(
                self.manifest,
                self.have.chunk_count(),
                &self.hosts,
                &self.origin_region,
            );
            self.pick_neighbours();
        }
    }

    /// Key of the host called `name`.
    pub fn key_of(&self, name: &str) -> Option<PeerKey> {
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
    pub fn have(&self) -> &ChunkBitmap {
        &self.have
    }

    /// Reads in progress.
    pub fn in_flight(&self) -> &[ChunkFetch] {
        &self.in_flight
    }

    /// What to do at `now_ms`; taken as started.
    pub fn next(&mut self, now_ms: u64) -> SwarmActions {
        self.refresh(now_ms);
        self.seed = mix64(self.seed);
        let fetches = next_fetches(&PlanInput {
            now_ms,
            progress_ms: self.progress_ms,
            me: self.me,
            homes: &self.homes,
            have: &self.have,
            in_flight: &self.in_flight,
            neighbours: &self.neighbours,
            origin_blocked_until_ms: self.origin_blocked_until_ms,
            settings: &self.settings.plan,
            seed: self.seed,
        });
        self.in_flight.extend(&fetches);
        let probes = self.next_probes(now_ms);
        SwarmActions { fetches, probes }
    }

    /// A peer told what it holds.
    pub fn heard(&mut self, peer: PeerKey, have: &ChunkBitmap, queue: u32) {
        if have.chunk_count() != self.have.chunk_count() || peer == self.me {
            return;
        }
        let health = &mut self.peer_health[peer.0 as usize];
        health.failures = 0;
        health.declined_since_ms = None;
        health.lost_until_ms = 0;
        health.paused_until_ms = 0;
        let neighbour = self.neighbour_mut(peer);
        neighbour.have.merge(have);
        neighbour.queue = queue;
        neighbour.lost = false;
    }

    /// A question was answered.
    pub fn probe_answered(&mut self, peer: PeerKey, note: &PeerStatus) {
        self.peer_health[peer.0 as usize].probing = false;
        self.heard(peer, &note.have, note.queue);
    }

    /// A question got no answer.
    pub fn probe_failed(&mut self, peer: PeerKey, failure: PeerFailure, now_ms: u64) {
        self.peer_health[peer.0 as usize].probing = false;
        self.penalise(peer, failure, now_ms);
    }

    /// The chunk of `fetch` arrived and is correct.
    pub fn stored(&mut self, fetch: ChunkFetch, now_ms: u64) {
        self.finish(fetch);
        self.have.insert(fetch.chunk);
        self.progress_ms = now_ms;
        if fetch.source == ChunkSource::Origin {
            self.origin_failures = 0;
        }
    }

    /// The peer lacks a chunk it was known to hold: another process answers there.
    pub fn replaced(&mut self, fetch: ChunkFetch, note: &PeerStatus, now_ms: u64) {
        self.deferred(fetch, now_ms);
        if let ChunkSource::Peer(peer) = fetch.source
            && note.have.chunk_count() == self.have.chunk_count()
        {
            self.neighbour_mut(peer).have = note.have.clone();
        }
    }

    /// The peer had no room for the read.
    pub fn deferred(&mut self, fetch: ChunkFetch, now_ms: u64) {
        self.finish(fetch);
        if let ChunkSource::Peer(peer) = fetch.source {
            let same = self.homes.region_of(peer) == self.homes.region_of(self.me);
            let pause_ms = if same { BUSY_BLOCK_MS } else { CROSSING_GAP_MS };
            self.neighbour_mut(peer).blocked_until_ms = now_ms + pause_ms;
        }
    }

    /// A read at a peer failed.
    pub fn peer_failed(&mut self, fetch: ChunkFetch, failure: PeerFailure, now_ms: u64) {
        self.finish(fetch);
        if let ChunkSource::Peer(peer) = fetch.source {
            self.penalise(peer, failure, now_ms);
        }
    }

    /// A read at the origin failed; it may have named a time to wait.
    pub fn origin_failed(&mut self, fetch: ChunkFetch, retry_after_ms: Option<u64>, now_ms: u64) {
        self.finish(fetch);
        self.origin_failures += 1;
        let own_ms = pause_ms(self.origin_failures);
        // The jitter keeps hosts that were refused together from returning together.
        let jitter_ms = mix64(self.seed ^ now_ms) % (own_ms / 2 + 1);
        let pause_ms = retry_after_ms.unwrap_or(0).max(own_ms) + jitter_ms;
        self.origin_blocked_until_ms = self.origin_blocked_until_ms.max(now_ms + pause_ms);
    }

    fn finish(&mut self, fetch: ChunkFetch) {
        self.in_flight.retain(|other| *other != fetch);
    }

    pub(super) fn neighbour_mut(&mut self, peer: PeerKey) -> &mut PeerState {
        let at = self
            .neighbours
            .binary_search_by_key(&peer, |neighbour| neighbour.key)
            .unwrap_or_else(|at| {
                let neighbour = PeerState {
                    key: peer,
                    have: ChunkBitmap::empty(self.have.chunk_count()),
                    queue: 0,
                    blocked_until_ms: 0,
                    lost: false,
                };
                self.neighbours.insert(at, neighbour);
                at
            });
        &mut self.neighbours[at]
    }

    fn penalise(&mut self, peer: PeerKey, failure: PeerFailure, now_ms: u64) {
        let health = &mut self.peer_health[peer.0 as usize];
        health.failures += 1;
        if failure == PeerFailure::Declined {
            health.declined_since_ms.get_or_insert(now_ms);
        }
        let pause_ms = pause_ms(health.failures);
        let blocked_ms = match failure {
            PeerFailure::WrongChunk => PENALTY_MS,
            PeerFailure::Broken if health.failures < BROKEN_LIMIT => BUSY_BLOCK_MS,
            PeerFailure::Declined if health.may_join(now_ms) => DECLINE_PAUSE_MS,
            _ => pause_ms.max(LOST_MS),
        };
        health.paused_until_ms = now_ms + blocked_ms;
        if failure == PeerFailure::WrongChunk {
            health.distrusted_until_ms = now_ms + blocked_ms;
        }
        if blocked_ms >= LOST_MS && failure != PeerFailure::WrongChunk {
            health.lost_until_ms = now_ms + blocked_ms;
        }
        self.neighbour_mut(peer).blocked_until_ms = now_ms + blocked_ms;
    }

    /// Brings the marks of lost hosts up to date.
    fn refresh(&mut self, now_ms: u64) {
        for neighbour in &mut self.neighbours {
            let index = neighbour.key.0 as usize;
            let health = &self.peer_health[index];
            let until_ms = health.lost_until_ms.max(health.distrusted_until_ms);
            neighbour.lost = !self.hosts[index].present || until_ms > now_ms;
        }
    }
}

fn pause_ms(failures: u32) -> u64 {
    FIRST_BLOCK_MS
        .saturating_mul(1 << failures.saturating_sub(1).min(16))
        .min(MAX_BLOCK_MS)
}

pub(super) fn key(index: usize) -> PeerKey {
    PeerKey(u32::try_from(index).unwrap_or(u32::MAX))
}
