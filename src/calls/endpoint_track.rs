use crate::calls::Candidate;
use crate::hosts::HostKey;
use crate::hosts::Load;

/// Time in which the count of recent requests halves.
const RECENT_HALF_LIFE_MS: f64 = 2000.0;

/// Weight of the latest token interval in the average, as a divisor.
const PACE_SMOOTHING: u64 = 4;

/// Time an endpoint is avoided after its first failure.
const MIN_AVOID_MS: u64 = 500;

/// Doublings of that time at most.
const MAX_STRIKES: u32 = 5;

/// Successes in a row that take back a strike.
const FORGIVE_AFTER: u32 = 16;

/// Age from which a load report counts for nothing.
const STALE_MS: u64 = 2500;

/// What an entry has seen of one endpoint by its own requests.
#[derive(Debug, Clone)]
pub(super) struct EndpointTrack {
    pub(super) key: HostKey,
    /// Start times of the requests in flight.
    started_ms: Vec<u64>,
    recent: f64,
    recent_at_ms: u64,
    /// Average token interval; 0 before the first.
    pub(super) token_interval_us: u64,
    pub(super) avoid_until_ms: u64,
    pub(super) probed_ms: u64,
    strikes: u32,
    successes: u32,
    /// Load that came with an answer, and when.
    answered: Option<(Load, u64)>,
}

impl EndpointTrack {
    pub(super) fn new(key: HostKey) -> Self {
        Self {
            key,
            started_ms: Vec::new(),
            recent: 0.0,
            recent_at_ms: 0,
            token_interval_us: 0,
            avoid_until_ms: 0,
            probed_ms: 0,
            strikes: 0,
            successes: 0,
            answered: None,
        }
    }

    pub(super) fn in_flight(&self) -> u64 {
        self.started_ms.len() as u64
    }

    /// Requests of the last seconds, decayed.
    pub(super) fn recent(&self, now_ms: u64) -> f64 {
        let age_ms = now_ms.saturating_sub(self.recent_at_ms) as f64;
        self.recent * 0.5f64.powf(age_ms / RECENT_HALF_LIFE_MS)
    }

    pub(super) fn started(&mut self, now_ms: u64) {
        self.recent = self.recent(now_ms) + 1.0;
        self.recent_at_ms = now_ms;
        self.started_ms.push(now_ms);
    }

    pub(super) fn ended(&mut self, started_ms: u64) {
        if let Some(at) = self.started_ms.iter().position(|&it| it == started_ms) {
            self.started_ms.swap_remove(at);
        }
    }

    pub(super) fn observed(&mut self, token_interval_us: u64) {
        self.token_interval_us = match self.token_interval_us {
            0 => token_interval_us,
            known_us => (known_us * (PACE_SMOOTHING - 1) + token_interval_us) / PACE_SMOOTHING,
        };
    }

    pub(super) fn answered(&mut self, load: Load, now_ms: u64) {
        self.answered = Some((load, now_ms));
    }

    pub(super) fn succeeded(&mut self) {
        self.successes += 1;
        if self.successes >= FORGIVE_AFTER {
            self.successes = 0;
            self.strikes = self.strikes.saturating_sub(1);
        }
    }

    pub(super) fn failed(&mut self, now_ms: u64) {
        self.successes = 0;
        self.avoid_until_ms = now_ms + (MIN_AVOID_MS << self.strikes);
        self.strikes = (self.strikes + 1).min(MAX_STRIKES);
    }

    /// Requests expected on the endpoint now, of all `entries`.
    pub(super) fn load(&self, candidate: &Candidate, entries: u64, now_ms: u64) -> u64 {
        let (load, heard_ms) = match self.answered {
            Some((load, at_ms)) if at_ms > candidate.heard_ms => (load, at_ms),
            _ => (candidate.load, candidate.heard_ms),
        };
        if now_ms.saturating_sub(heard_ms) > STALE_MS {
            return self.in_flight() * entries;
        }
        let unseen = self
            .started_ms
            .iter()
            .filter(|&&started_ms| started_ms >= heard_ms)
            .count();
        let reported = u64::from(load.running) + u64::from(load.queued);
        (reported + unseen as u64).max(self.in_flight())
    }
}
