//! For which requests and parts a run is refused.

use std::cmp::Reverse;

use crate::calls::CompletedRuns;
use crate::calls::CrashId;
use crate::calls::PART_REFUSED_AT_CRASHES;
use crate::calls::REFUSED_AT_CRASHES;
use crate::calls::RunCauses;
use crate::calls::SuspectStatus;
use crate::calls::SuspectTable;
use crate::calls::part_evidence::are_together;
use crate::calls::part_evidence::is_refusable;
use crate::calls::suspect_table::RefusedParts;
use crate::calls::suspicion::Suspicion;
use crate::calls::suspicion::age_ms;
use crate::calls::suspicion::signed_ms;
use crate::weights::Digest;

impl SuspectTable {
    /// Number of crashes of a request, at any service, of which the service of this run has not
    /// cleared it.
    pub(super) fn uncleared_crashes(&self, causes: &RunCauses, now_ms: u64) -> usize {
        let Some(identity) = causes.identity else {
            return 0;
        };
        let here = self.of_cause(causes.request);
        let is_cleared = |suspicion: &Suspicion| {
            let at = here.binary_search_by(|known| known.crash.cmp(&suspicion.crash));
            at.is_ok_and(|at| here[at].cleared)
        };
        let of_cause = self.of_cause(identity);
        match self.count_crashes(of_cause, now_ms) {
            0 => 0,
            _ => self
                .counted(of_cause, now_ms)
                .filter(|suspicion| !is_cleared(suspicion))
                .count(),
        }
    }

    /// Digest for which the request of a run is refused at its service: the one of all services,
    /// or else that of this one.
    fn refused_request_of(&self, causes: &RunCauses, now_ms: u64) -> Option<Digest> {
        if self.uncleared_crashes(causes, now_ms) >= REFUSED_AT_CRASHES {
            return causes.identity;
        }
        let status = self.request_status(causes.request, now_ms);
        (status == SuspectStatus::Refused).then_some(causes.request)
    }

    /// Parts for which a run is refused; the first one of those that are refused together. One
    /// that is refused at another service is refused here from its first crash on.
    fn refused_parts_of(&self, causes: &RunCauses, now_ms: u64) -> Vec<Digest> {
        let here = causes.parts();
        let refused = self.refused_indices(here, now_ms);
        let mut refused: Vec<Digest> = refused.map(|at| here[at]).collect();
        for elsewhere in causes.parts_elsewhere() {
            for at in self.refused_indices(elsewhere, now_ms) {
                let part = here[at];
                if !refused.contains(&part) && self.crash_count(part, now_ms) > 0 {
                    refused.push(part);
                }
            }
        }
        if !causes.parts_elsewhere().is_empty() {
            let split = here.iter().enumerate();
            let split = split.filter(|(at, _)| self.is_refusable_anywhere(causes, *at, now_ms));
            let split: Vec<Digest> = split.map(|(_, part)| *part).collect();
            refused.extend(split);
            refused.sort_unstable();
            refused.dedup();
        }
        refused
    }

    /// Whether the crashes of a part at the service of a run, and at those that may run it in its
    /// place, are enough to refuse it together.
    fn is_refusable_anywhere(&self, causes: &RunCauses, at: usize, now_ms: u64) -> bool {
        let part = causes.parts()[at];
        if self.crash_count(part, now_ms) == 0 {
            return false;
        }
        let elsewhere = causes.parts_elsewhere().iter().map(|parts| parts[at]);
        let all = std::iter::once(part).chain(elsewhere);
        let is_unexplained = |suspicion: &&Suspicion| {
            let explained = &self.explained_crashes;
            explained.binary_search(&suspicion.crash).is_err()
        };
        let counted = all.flat_map(|part| self.counted(self.of_cause(part), now_ms));
        let counted: Vec<&Suspicion> = counted.filter(is_unexplained).collect();
        is_refusable(&counted)
    }

    /// Indices of the refused ones among the parts of a prompt.
    fn refused_indices(&self, parts: &[Digest], now_ms: u64) -> impl Iterator<Item = usize> {
        let is_in_prompt = |part: &Digest| parts.contains(part);
        let groups = self.refused_groups(now_ms);
        let groups = groups.filter(move |refused| refused.parts.iter().all(is_in_prompt));
        groups.filter_map(|refused| parts.iter().position(|part| *part == refused.parts[0]))
    }

    /// The refused parts whose last crash is not longer ago than the window.
    pub(super) fn refused_groups(&self, now_ms: u64) -> impl Iterator<Item = &RefusedParts> {
        self.refused_parts
            .iter()
            .filter(move |refused| age_ms(now_ms, refused.last_crash_ms) < self.window_ms)
    }

    /// The request and the parts for which a run is refused, given the parts and services of
    /// which runs have come to an end.
    pub fn refused_causes_of(
        &self,
        causes: &RunCauses,
        completed_parts: &CompletedRuns,
        now_ms: u64,
    ) -> Vec<Digest> {
        let request = self.refused_request_of(causes, now_ms);
        let parts = self.refused_parts_of(causes, now_ms).into_iter();
        let parts = parts.filter(|part| {
            // While nothing at all runs to an end at the service, its failure is no fault of a
            // part whose runs did before.
            let last_end_ms = completed_parts.last_end_ms(causes.service).unwrap_or(0);
            completed_parts.last_end_ms(*part).is_none()
                || self.crashes_until(*part, last_end_ms, now_ms) >= PART_REFUSED_AT_CRASHES
        });
        request.into_iter().chain(parts).collect()
    }

    /// Number of crashes at or before `until_ms` of which a part has not been cleared.
    fn crashes_until(&self, part: Digest, until_ms: u64, now_ms: u64) -> usize {
        self.counted(self.of_cause(part), now_ms)
            .filter(|suspicion| suspicion.observed_ms <= signed_ms(until_ms))
            .count()
    }

    /// Whether one more crash may leave a run refused.
    pub fn is_near_refusal(&self, causes: &RunCauses, now_ms: u64) -> bool {
        let mut parts = causes.parts().iter();
        self.crash_count(causes.request, now_ms) + 1 >= REFUSED_AT_CRASHES
            || self.uncleared_crashes(causes, now_ms) + 1 >= REFUSED_AT_CRASHES
            || parts.any(|part| self.crash_count(*part, now_ms) + 1 >= PART_REFUSED_AT_CRASHES)
    }

    /// Decides anew which parts are refused.
    ///
    /// The part with the most crashes is taken for their cause; they do not count for the next.
    pub(super) fn judge_parts(&mut self, now_ms: u64) {
        let mut refused = Vec::new();
        let mut explained: Vec<CrashId> = Vec::new();
        let mut candidates: Vec<Vec<&Suspicion>> = self
            .by_cause()
            .filter(|of_part| of_part[0].part_of.is_some())
            .filter(|of_part| of_part.len() >= PART_REFUSED_AT_CRASHES)
            .map(|of_part| self.counted(of_part, now_ms).collect())
            .collect();
        loop {
            for counted in &mut candidates {
                counted.retain(|suspicion| explained.binary_search(&suspicion.crash).is_err());
            }
            candidates.retain(|counted| is_refusable(counted));
            // Of two with as many crashes, the one whose runs had begun shortly before.
            let rank = |counted: &&Vec<&Suspicion>| {
                let run_ms: u64 = counted.iter().map(|suspicion| suspicion.run_ms).sum();
                let part = counted[0].fingerprint;
                (counted.len(), Reverse(run_ms), Reverse(part))
            };
            let Some(cause) = candidates.iter().max_by_key(rank) else {
                break;
            };
            let is_together = |other: &&Vec<&Suspicion>| are_together(cause, other);
            let together = candidates.iter().filter(is_together);
            let last_crash_ms = cause.iter().map(|suspicion| suspicion.observed_ms).max();
            refused.push(RefusedParts {
                parts: together.map(|counted| counted[0].fingerprint).collect(),
                last_crash_ms: last_crash_ms.unwrap_or(signed_ms(now_ms)),
            });
            explained.extend(cause.iter().map(|suspicion| suspicion.crash.clone()));
            explained.sort_unstable();
        }
        self.refused_parts = refused;
        self.explained_crashes = explained;
    }

    /// Requests and parts that are refused; the first one of those that are refused together.
    pub fn refused_causes(&self, now_ms: u64) -> Vec<Digest> {
        let parts = self.refused_groups(now_ms);
        let parts = parts.map(|refused| refused.parts[0]);
        let requests = self
            .by_cause()
            .filter(|of_cause| of_cause[0].part_of.is_none())
            .filter(|of_cause| self.count_crashes(of_cause, now_ms) >= REFUSED_AT_CRASHES);
        let requests = requests.map(|of_cause| of_cause[0].fingerprint);
        parts.chain(requests).collect()
    }
}
