//! When a refused request or part is tried again.

use crate::calls::REFUSED_AT_CRASHES;
use crate::calls::RunCauses;
use crate::calls::SuspectTable;
use crate::calls::suspicion::age_ms;
use crate::calls::suspicion::signed_ms;
use crate::weights::Digest;

/// Longest time between crashes that count as one failure of several endpoints, in ms.
const SAME_MOMENT_MS: u64 = 25;

/// The same for a request that had run to an end shortly before, in ms: it is more likely that
/// no request has caused them.
const SAME_FAILURE_MS: u64 = 500;

/// Longest time between that end and the first crash, in ms.
const ENDED_BEFORE_MS: u64 = 10_000;

/// Time after such crashes until a refused request is tried again, in ms: within it, runs
/// elsewhere come to an end and clear it.
const SAME_FAILURE_TRIAL_MS: u64 = 300;

/// Time after the last crash until a refused request is tried again, in ms.
const FIRST_TRIAL_MS: u64 = 15_000;

/// The same for a part no run of which is known to have come to an end, in ms.
const FIRST_PART_TRIAL_MS: u64 = 60_000;

/// Factor by which that time grows with each crash after a trial.
const TRIAL_FACTOR: u64 = 4;

/// Largest number of services that are tried although others have crashed under the request.
const MAX_UNTRIED_SERVICES: usize = 2;

impl SuspectTable {
    /// Whether a request that is refused at all services may be tried at the service of this run,
    /// which has not crashed under it: another service may be at fault. That is tried twice at
    /// most, and not before the last crash is known at all entries.
    pub fn is_untried_service(
        &self,
        causes: &RunCauses,
        refused: Option<Digest>,
        now_ms: u64,
    ) -> bool {
        let Some(identity) = causes.identity.filter(|_| refused == causes.identity) else {
            return false;
        };
        let crashes = self.counted(self.of_cause(identity), now_ms);
        let last_ms = crashes.clone().map(|suspicion| suspicion.observed_ms).max();
        self.crash_count(causes.request, now_ms) == 0
            && crashes.count() < REFUSED_AT_CRASHES + MAX_UNTRIED_SERVICES
            && last_ms.is_some_and(|last_ms| age_ms(now_ms, last_ms) >= SAME_FAILURE_TRIAL_MS)
    }

    /// Whether a refused request or part, which last ran to an end at `last_end_ms`, may be
    /// tried once: a while after its last crash, or soon if the crashes of a request came
    /// together, as in a failure of several endpoints that no request has caused.
    pub fn is_trial_due(&self, fingerprint: Digest, last_end_ms: Option<u64>, now_ms: u64) -> bool {
        let of_cause = self.of_cause(fingerprint);
        let counted = self.counted(of_cause, now_ms);
        let mut times_ms: Vec<i64> = counted.map(|suspicion| suspicion.observed_ms).collect();
        times_ms.sort_unstable();
        let (Some(first_ms), Some(last_ms)) = (times_ms.first(), times_ms.last()) else {
            return true;
        };
        if of_cause[0].part_of.is_some() {
            // Many runs of a part may have begun before it was refused, so a trial is told from
            // them by the pause before it.
            let pauses = times_ms.windows(2);
            let trials = pauses.filter(|pair| pair[0].abs_diff(pair[1]) >= FIRST_TRIAL_MS);
            let first_trial_ms = match last_end_ms {
                Some(_) => FIRST_TRIAL_MS,
                None => FIRST_PART_TRIAL_MS,
            };
            return age_ms(now_ms, *last_ms) >= trial_pause_ms(first_trial_ms, trials.count());
        }
        let trials = times_ms.len().saturating_sub(REFUSED_AT_CRASHES);
        let has_ended_before =
            last_end_ms.is_some_and(|end_ms| signed_ms(end_ms + ENDED_BEFORE_MS) >= *first_ms);
        let same_failure_ms = if has_ended_before {
            SAME_FAILURE_MS
        } else {
            SAME_MOMENT_MS
        };
        let pause_ms = if first_ms.abs_diff(*last_ms) < same_failure_ms {
            SAME_FAILURE_TRIAL_MS
        } else {
            trial_pause_ms(FIRST_TRIAL_MS, trials)
        };
        age_ms(now_ms, *last_ms) >= pause_ms
    }
}

/// Time after the last crash until a refused cause is tried again after `trials` that failed,
/// in ms.
fn trial_pause_ms(first_ms: u64, trials: usize) -> u64 {
    let factor = TRIAL_FACTOR.saturating_pow(u32::try_from(trials).unwrap_or(u32::MAX));
    first_ms.saturating_mul(factor)
}
