//! By how much answers of a service begin later than predicted.
//!
//! Load pattern: dozens of entries place requests by load reports that are some hundred ms
//! old, at engines that are nearly full. Each entry sends too few requests to one engine to
//! learn how far it is behind, but enough to the service as a whole. A request that would
//! wait for a slot is admitted only if it begins in time also with this delay, so that what
//! is admitted beyond the fleet's capacity does not make the others late.

/// Chance with which a request that waits for a slot has to begin in time to be admitted: a
/// late answer is worth a part of one in time to its caller, and takes the same capacity.
const IN_TIME_CHANCE: f64 = 0.75;

/// Change of the estimate with one answer, in ms: it follows a change of the load within
/// about twenty answers.
const STEP_MS: f64 = 25.0;

/// Largest delay, in ms. A larger one would say that nothing can wait at all.
const MAX_DELAY_MS: f64 = 1_000.0;

/// Time without answers after which the delay is forgotten gradually, in ms, and its half-life
/// from then on.
const IDLE_MS: u64 = 500;
const HALF_LIFE_MS: f64 = 1_000.0;

/// Delay that all but a quarter of a service's answers stay under.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct StartDelay {
    // As of `updated_ms`.
    delay_ms: f64,
    updated_ms: u64,
}

impl StartDelay {
    /// Records by how much an answer began later than predicted, in ms; negative if earlier.
    pub fn record(&mut self, error_ms: f64, now_ms: u64) {
        let past_ms = self.delay_ms(now_ms);
        let change = if error_ms > past_ms {
            IN_TIME_CHANCE
        } else {
            IN_TIME_CHANCE - 1.0
        };
        self.delay_ms = (past_ms + STEP_MS * change).clamp(0.0, MAX_DELAY_MS);
        self.updated_ms = now_ms;
    }

    /// The delay to expect, in ms.
    pub fn delay_ms(&self, now_ms: u64) -> f64 {
        let idle_ms = now_ms.saturating_sub(self.updated_ms + IDLE_MS) as f64;
        self.delay_ms * 0.5f64.powf(idle_ms / HALF_LIFE_MS)
    }
}

/// Start delays of all services.
#[derive(Debug, Default)]
pub struct StartDelays {
    // Ascending by name of the service.
    services: Vec<(String, StartDelay)>,
}

impl StartDelays {
    /// Records an answer of `service`, as [`StartDelay::record`].
    pub fn record(&mut self, service: &str, error_ms: f64, now_ms: u64) {
        let at = match self.position(service) {
            Ok(at) => at,
            Err(at) => {
                let added = (service.to_owned(), StartDelay::default());
                self.services.insert(at, added);
                at
            }
        };
        self.services[at].1.record(error_ms, now_ms);
    }

    /// The delay to expect of `service`, in ms.
    pub fn delay_ms(&self, service: &str, now_ms: u64) -> f64 {
        self.position(service)
            .map_or(0.0, |at| self.services[at].1.delay_ms(now_ms))
    }

    fn position(&self, service: &str) -> Result<usize, usize> {
        self.services
            .binary_search_by(|known| known.0.as_str().cmp(service))
    }
}
