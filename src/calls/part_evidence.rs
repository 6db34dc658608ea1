//! What the crashes under a part of a prompt say of it.
//!
//! A crash ends all runs of its replica, so most parts that were there are companions of the cause.
//! The load patterns that are told apart: replicas that fail together end many runs of a part at
//! once; a single request that crashes replicas comes again; parts come together.

use crate::calls::suspicion::Suspicion;
use crate::weights::Digest;

/// Number of crashes from which on a part of a prompt is refused.
pub const PART_REFUSED_AT_CRASHES: usize = 4;

/// Number of these that must have come one after the other, each under a run that was sent
/// after the one before: replicas that fail together end many runs of a part at once.
const PART_SUCCESSIVE_CRASHES: usize = 3;

/// Number of these that must have come under other requests than the one with the most: what a
/// single request causes is no reason to refuse the others that share a part with it.
const PART_OTHER_CRASHES: usize = 2;

/// Whether the crashes that count for a part are enough to refuse it.
pub(super) fn is_refusable(counted: &[&Suspicion]) -> bool {
    if counted.len() < PART_REFUSED_AT_CRASHES {
        return false;
    }
    let mut requests: Vec<Option<Digest>> =
        counted.iter().map(|suspicion| suspicion.part_of).collect();
    requests.sort_unstable();
    let of_one_request = requests.chunk_by(|one, next| one == next).map(<[_]>::len);
    let most_of_one = of_one_request.max().unwrap_or(0);
    counted.len() - most_of_one >= PART_OTHER_CRASHES
        && successive_crashes(counted).len() >= PART_SUCCESSIVE_CRASHES
}

/// Whether two parts ran at the same crashes, and in one request at one of them at least: of
/// several requests with a part at a crash, one is known.
pub(super) fn are_together(one: &[&Suspicion], other: &[&Suspicion]) -> bool {
    let pairs = || one.iter().zip(other);
    one.len() == other.len()
        && pairs().all(|(one, other)| one.crash == other.crash)
        && pairs().any(|(one, other)| one.part_of == other.part_of)
}

/// The most crashes of which each came under a run that was sent after the one before.
pub(super) fn successive_crashes<'a>(counted: &[&'a Suspicion]) -> Vec<&'a Suspicion> {
    let mut by_time = counted.to_vec();
    by_time.sort_by_key(|suspicion| suspicion.observed_ms);
    let mut successive: Vec<&Suspicion> = Vec::new();
    for suspicion in by_time {
        let last = successive.last();
        if last.is_none_or(|last| suspicion.sent_ms() >= last.observed_ms) {
            successive.push(suspicion);
        }
    }
    successive
}
