use crate::calls::Candidate;
use crate::hosts::HostKey;
use crate::hosts::Load;

/// Time in which the count of recent requests halves, in milliseconds.
const RECENT_HALF_LIFE_MS: f64 = 2000.0;

/// Divisor of the moving average: the latest token interval has a weight of one part in
/// this many.
const INTERVAL_SMOOTHING: u64 = 4;

/// Time for which an endpoint is avoided after its first failure, in milliseconds.
const FIRST_AVOID_MS: u64 = 500;

/// Largest number of doublings of `FIRST_AVOID_MS`.
const MAX_BACKOFF_DOUBLINGS: u32 = 5;

/// Consecutive successes after which the next failure has one doubling fewer.
const SUCCESSES_PER_HALVING: u32 = 16;

/// Age up to which a load report is used, in milliseconds.
const MAX_LOAD_AGE_MS: u64 = 2500;

/// Statistics of one endpoint from the requests of this entry.
#[derive(Debug, Clone)]
pub(super) struct EndpointStats {
    pub(super) key: HostKey,
    /// Start times of the requests in flight.
    started_ms: Vec<u64>,
    // Decayed count of requests, as of `recent_updated_ms`.
    recent_requests: f64,
    recent_updated_ms: u64,
    /// Moving average of the token interval, in microseconds; 0 before the first answer.
    pub(super) token_interval_us: u64,
    /// Time until which the endpoint is avoided after a failure.
    pub(super) avoid_until_ms: u64,
    /// Time of the last probe request, sent because the endpoint was slow.
    pub(super) last_probe_ms: u64,
    // Doublings of `FIRST_AVOID_MS` that the next failure causes.
    backoff_doublings: u32,
    consecutive_successes: u32,
    /// Load reported with the latest answer, and the time at which it was received.
    answer_load: Option<(Load, u64)>,
}

impl EndpointStats {
    pub(super) fn new(key: HostKey) -> Self {
        Self {
            key,
            started_ms: Vec::new(),
            recent_requests: 0.0,
            recent_updated_ms: 0,
            token_interval_us: 0,
            avoid_until_ms: 0,
            last_probe_ms: 0,
            backoff_doublings: 0,
            consecutive_successes: 0,
            answer_load: None,
        }
    }

    pub(super) fn in_flight(&self) -> u64 {
        self.started_ms.len() as u64
    }

    /// Requests started recently, decayed with `RECENT_HALF_LIFE_MS`.
    pub(super) fn recent_requests(&self, now_ms: u64) -> f64 {
        let age_ms = now_ms.saturating_sub(self.recent_updated_ms) as f64;
        self.recent_requests * 0.5f64.powf(age_ms / RECENT_HALF_LIFE_MS)
    }

    pub(super) fn record_start(&mut self, now_ms: u64) {
        self.recent_requests = self.recent_requests(now_ms) + 1.0;
        self.recent_updated_ms = now_ms;
        self.started_ms.push(now_ms);
    }

    pub(super) fn record_end(&mut self, started_ms: u64) {
        if let Some(at) = self.started_ms.iter().position(|&it| it == started_ms) {
            self.started_ms.swap_remove(at);
        }
    }

    pub(super) fn record_token_interval(&mut self, token_interval_us: u64) {
        self.token_interval_us = match self.token_interval_us {
            0 => token_interval_us,
            average_us => {
                (average_us * (INTERVAL_SMOOTHING - 1) + token_interval_us) / INTERVAL_SMOOTHING
            }
        };
    }

    pub(super) fn record_load(&mut self, load: Load, now_ms: u64) {
        self.answer_load = Some((load, now_ms));
    }

    pub(super) fn record_success(&mut self) {
        self.consecutive_successes += 1;
        if self.consecutive_successes >= SUCCESSES_PER_HALVING {
            self.consecutive_successes = 0;
            self.backoff_doublings = self.backoff_doublings.saturating_sub(1);
        }
    }

    pub(super) fn record_failure(&mut self, now_ms: u64) {
        self.consecutive_successes = 0;
        self.avoid_until_ms = now_ms + (FIRST_AVOID_MS << self.backoff_doublings);
        self.backoff_doublings = (self.backoff_doublings + 1).min(MAX_BACKOFF_DOUBLINGS);
    }

    /// Requests expected on the endpoint now, of all entries.
    ///
    /// This is the latest reported load and the requests that this entry sent since;
    /// without a recent report it is extrapolated from the requests of this entry.
    pub(super) fn expected_load(
        &self,
        candidate: &Candidate,
        entry_count: u64,
        now_ms: u64,
    ) -> u64 {
        let (load, last_received_ms) = match self.answer_load {
            Some((load, at_ms)) if at_ms > candidate.last_received_ms => (load, at_ms),
            _ => (candidate.load, candidate.last_received_ms),
        };
        if now_ms.saturating_sub(last_received_ms) > MAX_LOAD_AGE_MS {
            return self.in_flight() * entry_count;
        }
        let unreported = self
            .started_ms
            .iter()
            .filter(|&&started_ms| started_ms >= last_received_ms)
            .count();
        let reported = u64::from(load.running) + u64::from(load.queued);
        (reported + unreported as u64).max(self.in_flight())
    }
}
