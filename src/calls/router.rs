use rand::Rng;
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;

use crate::calls::Candidate;
use crate::calls::candidate::mix;
use crate::calls::endpoint_track::EndpointTrack;
use crate::hosts::HostKey;
use crate::hosts::Load;

/// Endpoints one entry uses for a model; more are cut down to a subset.
const SUBSET_SIZE: usize = 48;

/// Most load of a replica that affinity may cause, in percent of the mean; the
/// margin below 125 is for rounding up to whole requests.
const AFFINITY_BOUND_PERCENT: f64 = 120.0;

/// Replicas tried for a prefix before it goes by load alone.
const AFFINITY_TRIES: usize = 3;

/// Token interval, in multiples of the median, from which an endpoint is slow.
const SLOW_FACTOR: u64 = 3;

/// Time between requests that try a slow or failed endpoint.
const PROBE_INTERVAL_MS: u64 = 1000;

/// Endpoints that stay in use whatever was seen of them, in percent.
const MIN_USED_PERCENT: usize = 50;

/// What a request wants of the router.
#[derive(Debug, Clone, Copy)]
pub struct RouteRequest<'a> {
    /// Endpoints that serve the version and take work.
    pub candidates: &'a [Candidate],
    /// Hash of the prompt's head; `None` when it is too short to matter.
    pub prefix_hash: Option<u64>,
    /// Endpoints that have been tried.
    pub tried: &'a [HostKey],
}

/// How a request to an endpoint ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AttemptOutcome {
    /// The answer was whole.
    Complete,
    /// The endpoint refused it, or its caller went away.
    Neutral,
    /// The endpoint failed or fell silent.
    Failed,
}

/// Chooses an endpoint for each request.
///
/// The lesser loaded of two random endpoints is taken, unless the prompt's prefix
/// has a home whose load is within the bound.
#[derive(Debug)]
pub struct Router {
    random: Pcg64Mcg,
    seed: u64,
    entries: u64,
    /// Sorted by key.
    tracks: Vec<EndpointTrack>,
}

impl Router {
    /// Router of an entry; `seed` differs between entries.
    pub fn new(seed: u64) -> Self {
        Self {
            random: Pcg64Mcg::seed_from_u64(seed),
            seed,
            entries: 1,
            tracks: Vec::new(),
        }
    }

    /// Sets how many entries send requests to the same endpoints.
    pub fn set_entries(&mut self, entries: u32) {
        self.entries = u64::from(entries.max(1));
    }

    /// The endpoint to send a request to; `None` when all were tried.
    pub fn pick(&mut self, ask: &RouteRequest<'_>, now_ms: u64) -> Option<HostKey> {
        let subset = self.subset(ask.candidates);
        let untried: Vec<Candidate> = subset
            .into_iter()
            .filter(|candidate| !ask.tried.contains(&candidate.key))
            .collect();
        for candidate in &untried {
            self.ensure_track(candidate.key);
        }
        let usable = self.usable(&untried, now_ms);
        if let Some(key) = self.probe(&untried, &usable, now_ms) {
            return Some(key);
        }
        let home = ask
            .prefix_hash
            .and_then(|prefix| self.home(&usable, prefix, now_ms));
        home.or_else(|| self.lesser_of_two(&usable, now_ms))
    }

    /// Whether an endpoint that was not tried has a free slot.
    pub fn has_room(&self, ask: &RouteRequest<'_>, now_ms: u64) -> bool {
        let subset = self.subset(ask.candidates);
        subset.iter().any(|candidate| {
            let slots = u64::from(candidate.load.slots);
            !ask.tried.contains(&candidate.key) && self.load(candidate, now_ms) < slots
        })
    }

    /// Counts a request sent to `key`.
    pub fn started(&mut self, key: HostKey, now_ms: u64) {
        self.ensure_track(key).started(now_ms);
    }

    /// Learns how busy an endpoint is from one of its answers.
    pub fn answered(&mut self, key: HostKey, load: Load, now_ms: u64) {
        self.ensure_track(key).answered(load, now_ms);
    }

    /// Learns how far apart the tokens of an answer arrive.
    pub fn observed(&mut self, key: HostKey, token_interval_us: u64) {
        self.ensure_track(key).observed(token_interval_us);
    }

    /// Counts the end of a request that was sent at `started_ms`.
    pub fn ended(&mut self, key: HostKey, started_ms: u64, ending: AttemptOutcome, now_ms: u64) {
        let track = self.ensure_track(key);
        track.ended(started_ms);
        match ending {
            AttemptOutcome::Complete => track.succeeded(),
            AttemptOutcome::Neutral => {}
            AttemptOutcome::Failed => track.failed(now_ms),
        }
    }

    /// Drops what was seen of a host that is gone.
    pub fn forget(&mut self, key: HostKey) {
        self.tracks.retain(|track| track.key != key);
    }

    /// Requests in flight from here to `key`.
    pub fn in_flight(&self, key: HostKey) -> u64 {
        self.track(key).map_or(0, EndpointTrack::in_flight)
    }

    /// The candidates this entry uses, alike from request to request.
    fn subset(&self, candidates: &[Candidate]) -> Vec<Candidate> {
        let mut subset = candidates.to_vec();
        if subset.len() > SUBSET_SIZE {
            let rank = |candidate: &Candidate| mix(self.seed, candidate.name_hash);
            subset.select_nth_unstable_by_key(SUBSET_SIZE, rank);
            subset.truncate(SUBSET_SIZE);
        }
        subset.sort_unstable_by_key(|candidate| candidate.name_hash);
        subset
    }

    /// The candidates without those that failed lately or are slow.
    fn usable(&self, candidates: &[Candidate], now_ms: u64) -> Vec<Candidate> {
        let slow_us = self.slow_interval_us(candidates);
        let is_good = |candidate: &&Candidate| {
            let track = self.track(candidate.key);
            track.is_none_or(|it| it.avoid_until_ms <= now_ms && it.token_interval_us < slow_us)
        };
        let good: Vec<Candidate> = candidates.iter().filter(is_good).copied().collect();
        // Where most look bad the measure is at fault, and all are used.
        if good.len() * 100 < candidates.len() * MIN_USED_PERCENT {
            return candidates.to_vec();
        }
        good
    }

    fn slow_interval_us(&self, candidates: &[Candidate]) -> u64 {
        let mut intervals_us: Vec<u64> = candidates
            .iter()
            .filter_map(|candidate| self.track(candidate.key))
            .map(|track| track.token_interval_us)
            .filter(|&interval_us| interval_us > 0)
            .collect();
        if intervals_us.len() < 2 {
            return u64::MAX;
        }
        intervals_us.sort_unstable();
        intervals_us[(intervals_us.len() - 1) / 2] * SLOW_FACTOR
    }

    /// An avoided endpoint whose time for another try has come.
    fn probe(&mut self, all: &[Candidate], used: &[Candidate], now_ms: u64) -> Option<HostKey> {
        let is_used = |key| used.iter().any(|candidate| candidate.key == key);
        for candidate in all.iter().filter(|candidate| !is_used(candidate.key)) {
            let track = self.ensure_track(candidate.key);
            let is_due = now_ms >= track.probed_ms + PROBE_INTERVAL_MS;
            if is_due && track.avoid_until_ms <= now_ms && track.in_flight() == 0 {
                track.probed_ms = now_ms;
                return Some(candidate.key);
            }
        }
        None
    }

    /// The replica that likely caches `prefix`, if its load is within the bound.
    fn home(&self, candidates: &[Candidate], prefix: u64, now_ms: u64) -> Option<HostKey> {
        let mut ranked = candidates.to_vec();
        ranked.sort_unstable_by_key(|candidate| mix(prefix, candidate.name_hash));
        let tracks = candidates.iter().filter_map(|it| self.track(it.key));
        let (recent, in_flight) = tracks.fold((0.0, 0), |(recent, in_flight), track| {
            (recent + track.recent(now_ms), in_flight + track.in_flight())
        });
        let count = candidates.len() as f64;
        let bound = |total: f64| ((total + 1.0) / count * AFFINITY_BOUND_PERCENT / 100.0).ceil();
        let (max_recent, max_in_flight) = (bound(recent), bound(in_flight as f64));
        let within = |candidate: &&Candidate| {
            let Some(track) = self.track(candidate.key) else {
                return true;
            };
            let load = track.load(candidate, self.entries, now_ms);
            track.recent(now_ms) + 1.0 <= max_recent
                && track.in_flight() as f64 + 1.0 <= max_in_flight
                && load < u64::from(candidate.load.slots.max(1))
        };
        let home = ranked.iter().take(AFFINITY_TRIES).find(within);
        home.map(|candidate| candidate.key)
    }

    fn lesser_of_two(&mut self, candidates: &[Candidate], now_ms: u64) -> Option<HostKey> {
        if candidates.is_empty() {
            return None;
        }
        let first = self.random.random_range(0..candidates.len());
        if candidates.len() == 1 {
            return Some(candidates[0].key);
        }
        let step = self.random.random_range(1..candidates.len());
        let second = (first + step) % candidates.len();
        let (a, b) = (&candidates[first], &candidates[second]);
        let both_paced = self.interval_us(a) > 0 && self.interval_us(b) > 0;
        let cost = |it: &Candidate| {
            let pace_us = if both_paced { self.interval_us(it) } else { 1 };
            let slots = u64::from(it.load.slots.max(1));
            (self.load(it, now_ms) + 1) * pace_us * 1000 / slots
        };
        let chosen = if cost(a) <= cost(b) { a } else { b };
        Some(chosen.key)
    }

    fn load(&self, candidate: &Candidate, now_ms: u64) -> u64 {
        let track = self.track(candidate.key);
        track.map_or(0, |it| it.load(candidate, self.entries, now_ms))
    }

    fn interval_us(&self, candidate: &Candidate) -> u64 {
        self.track(candidate.key)
            .map_or(0, |track| track.token_interval_us)
    }

    fn track(&self, key: HostKey) -> Option<&EndpointTrack> {
        let found = self.tracks.binary_search_by_key(&key, |track| track.key);
        found.ok().map(|at| &self.tracks[at])
    }

    fn ensure_track(&mut self, key: HostKey) -> &mut EndpointTrack {
        let found = self.tracks.binary_search_by_key(&key, |track| track.key);
        let at = found.unwrap_or_else(|at| {
            self.tracks.insert(at, EndpointTrack::new(key));
            at
        });
        &mut self.tracks[at]
    }
}
