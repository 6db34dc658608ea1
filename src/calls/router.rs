use rand::Rng;
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;

use crate::calls::Candidate;
use crate::calls::candidate::mix_hashes;
use crate::calls::endpoint_stats::EndpointStats;
use crate::hosts::HostKey;
use crate::hosts::Load;

/// Number of endpoints that one entry uses for a model; of more it uses a fixed subset.
const SUBSET_SIZE: usize = 48;

/// Highest load that prefix affinity may cause on a replica, in percent of the mean.
///
/// The load has to stay within 125 %; the margin is for rounding up to whole requests.
const AFFINITY_BOUND_PERCENT: f64 = 120.0;

/// Replicas in rendezvous order that are considered for a prefix before load alone decides.
const AFFINITY_TRIES: usize = 3;

/// Multiple of the median token interval from which on an endpoint is slow.
const SLOW_FACTOR: u64 = 3;

/// Time between two probe requests to a slow endpoint, in milliseconds.
const PROBE_INTERVAL_MS: u64 = 1000;

/// Share of healthy candidates below which all candidates are used, in percent.
const MIN_HEALTHY_PERCENT: usize = 50;

/// Candidates and constraints for the choice of an endpoint.
#[derive(Debug, Clone, Copy)]
pub struct RouteRequest<'a> {
    /// Endpoints that serve the wanted version and accept requests.
    pub candidates: &'a [Candidate],
    /// Hash of the start of the prompt; `None` when the prompt is too short for caching to matter.
    pub prefix_hash: Option<u64>,
    /// Endpoints that were tried for this request and are left out.
    pub tried: &'a [HostKey],
}

/// How an attempt at an endpoint ended, as counted for the endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AttemptOutcome {
    /// The answer was complete.
    Complete,
    /// The endpoint refused the request or the caller disconnected; not counted.
    Neutral,
    /// The endpoint failed or stopped answering.
    Failed,
}

/// Chooses an endpoint for each request.
///
/// It takes the less loaded of two random endpoints, unless the rendezvous order of
/// the prompt's prefix yields an endpoint whose load is within the bound.
#[derive(Debug)]
pub struct Router {
    random: Pcg64Mcg,
    seed: u64,
    entry_count: u64,
    /// Sorted by key.
    endpoints: Vec<EndpointStats>,
}

impl Router {
    /// Router of one entry; `seed` has to differ between entries.
    pub fn new(seed: u64) -> Self {
        Self {
            random: Pcg64Mcg::seed_from_u64(seed),
            seed,
            entry_count: 1,
            endpoints: Vec::new(),
        }
    }

    /// Sets the number of entries that send requests to the same endpoints.
    pub fn set_entry_count(&mut self, entry_count: u32) {
        self.entry_count = u64::from(entry_count.max(1));
    }

    /// Endpoint to which a request is to be sent; `None` when all were tried.
    pub fn pick_endpoint(&mut self, request: &RouteRequest<'_>, now_ms: u64) -> Option<HostKey> {
        let subset = self.subset(request.candidates);
        let untried: Vec<Candidate> = subset
            .into_iter()
            .filter(|candidate| !request.tried.contains(&candidate.key))
            .collect();
        for candidate in &untried {
            self.ensure_stats(candidate.key);
        }
        let usable = self.usable_candidates(&untried, now_ms);
        if let Some(key) = self.due_probe(&untried, &usable, now_ms) {
            return Some(key);
        }
        let preferred = request
            .prefix_hash
            .and_then(|prefix| self.prefix_endpoint(&usable, prefix, now_ms));
        preferred.or_else(|| self.less_loaded_of_two(&usable, now_ms))
    }

    /// Whether an endpoint that was not tried is expected to have a free slot.
    pub fn has_free_slot(&self, request: &RouteRequest<'_>, now_ms: u64) -> bool {
        let subset = self.subset(request.candidates);
        subset.iter().any(|candidate| {
            let slots = u64::from(candidate.load.slots);
            !request.tried.contains(&candidate.key) && self.expected_load(candidate, now_ms) < slots
        })
    }

    /// Records that a request was sent to `key` at `now_ms`.
    pub fn record_start(&mut self, key: HostKey, now_ms: u64) {
        self.ensure_stats(key).record_start(now_ms);
    }

    /// Records the load that an endpoint reported with an answer.
    pub fn record_load(&mut self, key: HostKey, load: Load, now_ms: u64) {
        self.ensure_stats(key).record_load(load, now_ms);
    }

    /// Records the mean interval between the tokens of an answer, in microseconds.
    pub fn record_token_interval(&mut self, key: HostKey, token_interval_us: u64) {
        self.ensure_stats(key)
            .record_token_interval(token_interval_us);
    }

    /// Records the end of a request that was sent at `started_ms`.
    pub fn record_end(
        &mut self,
        key: HostKey,
        started_ms: u64,
        outcome: AttemptOutcome,
        now_ms: u64,
    ) {
        let stats = self.ensure_stats(key);
        stats.record_end(started_ms);
        match outcome {
            AttemptOutcome::Complete => stats.record_success(),
            AttemptOutcome::Neutral => {}
            AttemptOutcome::Failed => stats.record_failure(now_ms),
        }
    }

    /// Records a request that is silent or late, and goes on.
    pub fn record_failure(&mut self, key: HostKey, now_ms: u64) {
        self.ensure_stats(key).record_failure(now_ms);
    }

    /// Drops the statistics of a host that was removed.
    pub fn remove_host(&mut self, key: HostKey) {
        self.endpoints.retain(|stats| stats.key != key);
    }

    /// Requests in flight from this entry to `key`.
    pub fn in_flight(&self, key: HostKey) -> u64 {
        self.find_stats(key).map_or(0, EndpointStats::in_flight)
    }

    /// Candidates that this entry uses, the same for each request, in order of name hash.
    fn subset(&self, candidates: &[Candidate]) -> Vec<Candidate> {
        let mut subset = candidates.to_vec();
        if subset.len() > SUBSET_SIZE {
            let rank = |candidate: &Candidate| mix_hashes(self.seed, candidate.name_hash);
            subset.select_nth_unstable_by_key(SUBSET_SIZE, rank);
            subset.truncate(SUBSET_SIZE);
        }
        subset.sort_unstable_by_key(|candidate| candidate.name_hash);
        subset
    }

    /// Candidates without those that failed recently or are slow.
    fn usable_candidates(&self, candidates: &[Candidate], now_ms: u64) -> Vec<Candidate> {
        let slow_us = self.slow_interval_us(candidates);
        let is_healthy = |candidate: &&Candidate| {
            let stats = self.find_stats(candidate.key);
            stats.is_none_or(|stats| {
                stats.avoid_until_ms <= now_ms && stats.token_interval_us < slow_us
            })
        };
        let healthy: Vec<Candidate> = candidates.iter().filter(is_healthy).copied().collect();
        // If most look unhealthy, it is more likely that the criterion is wrong.
        if healthy.len() * 100 < candidates.len() * MIN_HEALTHY_PERCENT {
            return candidates.to_vec();
        }
        healthy
    }

    /// Token interval from which an endpoint is slow; `u64::MAX` if fewer than two are known.
    fn slow_interval_us(&self, candidates: &[Candidate]) -> u64 {
        let mut intervals_us: Vec<u64> = candidates
            .iter()
            .filter_map(|candidate| self.find_stats(candidate.key))
            .map(|stats| stats.token_interval_us)
            .filter(|&interval_us| interval_us > 0)
            .collect();
        if intervals_us.len() < 2 {
            return u64::MAX;
        }
        intervals_us.sort_unstable();
        intervals_us[(intervals_us.len() - 1) / 2] * SLOW_FACTOR
    }

    /// A slow endpoint that is due for a probe request, which measures its token interval again.
    ///
    /// An endpoint that failed needs none: it becomes usable when `avoid_until_ms` has passed.
    fn due_probe(
        &mut self,
        candidates: &[Candidate],
        usable: &[Candidate],
        now_ms: u64,
    ) -> Option<HostKey> {
        let is_usable = |key| usable.iter().any(|candidate| candidate.key == key);
        for candidate in candidates
            .iter()
            .filter(|candidate| !is_usable(candidate.key))
        {
            let stats = self.ensure_stats(candidate.key);
            let is_due = now_ms >= stats.last_probe_ms + PROBE_INTERVAL_MS;
            if is_due && stats.avoid_until_ms <= now_ms && stats.in_flight() == 0 {
                stats.last_probe_ms = now_ms;
                return Some(candidate.key);
            }
        }
        None
    }

    /// The endpoint that most likely caches `prefix`, among those with load within the bound.
    fn prefix_endpoint(
        &self,
        candidates: &[Candidate],
        prefix: u64,
        now_ms: u64,
    ) -> Option<HostKey> {
        let mut ranked = candidates.to_vec();
        ranked.sort_unstable_by_key(|candidate| mix_hashes(prefix, candidate.name_hash));
        let known_stats = candidates.iter().filter_map(|it| self.find_stats(it.key));
        let (total_recent, total_in_flight) =
            known_stats.fold((0.0, 0), |(recent, in_flight), stats| {
                (
                    recent + stats.recent_requests(now_ms),
                    in_flight + stats.in_flight(),
                )
            });
        let count = candidates.len() as f64;
        let bound = |total: f64| ((total + 1.0) / count * AFFINITY_BOUND_PERCENT / 100.0).ceil();
        let (max_recent_requests, max_in_flight) =
            (bound(total_recent), bound(total_in_flight as f64));
        let is_within_bound = |candidate: &&Candidate| {
            let Some(stats) = self.find_stats(candidate.key) else {
                return true;
            };
            let load = stats.expected_load(candidate, self.entry_count, now_ms);
            stats.recent_requests(now_ms) + 1.0 <= max_recent_requests
                && stats.in_flight() as f64 + 1.0 <= max_in_flight
                && load < u64::from(candidate.load.slots.max(1))
        };
        let preferred = ranked.iter().take(AFFINITY_TRIES).find(is_within_bound);
        preferred.map(|candidate| candidate.key)
    }

    /// The less loaded of two random endpoints.
    ///
    /// Load is counted per slot, and weighted with the token interval if that is known
    /// for both.
    fn less_loaded_of_two(&mut self, candidates: &[Candidate], now_ms: u64) -> Option<HostKey> {
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
        let both_measured = self.token_interval_us(a) > 0 && self.token_interval_us(b) > 0;
        let cost = |it: &Candidate| {
            let per_token_us = if both_measured {
                self.token_interval_us(it)
            } else {
                1
            };
            let slots = u64::from(it.load.slots.max(1));
            let expected = self.expected_load(it, now_ms).saturating_add(1);
            expected.saturating_mul(per_token_us).saturating_mul(1000) / slots
        };
        let chosen = if cost(a) <= cost(b) { a } else { b };
        Some(chosen.key)
    }

    /// Requests expected on a candidate now, of all entries.
    fn expected_load(&self, candidate: &Candidate, now_ms: u64) -> u64 {
        let stats = self.find_stats(candidate.key);
        stats.map_or(0, |it| {
            it.expected_load(candidate, self.entry_count, now_ms)
        })
    }

    /// Average token interval of a candidate; 0 if not known.
    fn token_interval_us(&self, candidate: &Candidate) -> u64 {
        self.find_stats(candidate.key)
            .map_or(0, |stats| stats.token_interval_us)
    }

    fn find_stats(&self, key: HostKey) -> Option<&EndpointStats> {
        let found = self.endpoints.binary_search_by_key(&key, |stats| stats.key);
        found.ok().map(|at| &self.endpoints[at])
    }

    fn ensure_stats(&mut self, key: HostKey) -> &mut EndpointStats {
        let found = self.endpoints.binary_search_by_key(&key, |stats| stats.key);
        let at = found.unwrap_or_else(|at| {
            self.endpoints.insert(at, EndpointStats::new(key));
            at
        });
        &mut self.endpoints[at]
    }
}
