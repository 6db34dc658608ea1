use std::cmp::Reverse;

use serde::Deserialize;
use serde::Serialize;

use crate::calls::CompletedRuns;
use crate::calls::RunCauses;
use crate::calls::part_evidence::PART_REFUSED_AT_CRASHES;
use crate::calls::part_evidence::are_together;
use crate::calls::part_evidence::is_refusable;
use crate::calls::part_evidence::successive_crashes;
use crate::calls::suspicion::Suspicion;
use crate::calls::suspicion::age_ms;
use crate::calls::suspicion::signed_ms;
use crate::weights::Digest;

/// Number of crashes from which on a request is refused.
pub const REFUSED_AT_CRASHES: usize = 3;

/// Largest number of crashes of a part of which an entry that has started is told.
const MAX_TOLD_CRASHES: usize = 8;

/// Number of windows for which a crash is remembered.
const MEMORY_WINDOWS: u64 = 8;

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

/// One part in so many of a full table is dropped at a time.
const DROPPED_SHARE: usize = 32;

/// Digest of the target and body of a request, which identifies it in the suspect table.
pub fn fingerprint(target: &str, body: &[u8]) -> Digest {
    let mut hasher = blake3::Hasher::new();
    hasher.update(&(target.len() as u64).to_be_bytes());
    hasher.update(target.as_bytes());
    hasher.update(body);
    Digest::from(hasher.finalize())
}

/// Identifies a crash; the same for all processes that report it.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct CrashId {
    /// Endpoint that crashed.
    pub endpoint: String,
    /// Incarnation of its process.
    pub incarnation: u64,
    /// Number of the crash of its engine or service within the incarnation, or
    /// `PROCESS_CRASH`.
    pub crash_no: u32,
}

impl CrashId {
    /// Number for a crash of the process itself, which ends the incarnation.
    pub const PROCESS_CRASH: u32 = u32::MAX;
}

/// A request that was running when an endpoint crashed, or a part of its prompt, as exchanged
/// between processes.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SuspectRecord {
    /// Fingerprint of the request, or digest of the part.
    pub fingerprint: Digest,
    /// Crash during which it was running.
    pub death: CrashId,
    /// Time since the crash was observed, in milliseconds.
    pub age_ms: u64,
    /// Whether a later run without a crash cleared the request.
    pub cleared: bool,
    /// For a part: a request with it that was running.
    #[serde(default)]
    pub part_of: Option<Digest>,
    /// For a part: time from when that run was sent until the crash, in milliseconds.
    #[serde(default)]
    pub run_ms: u64,
}

/// How a request is treated after the crashes during which it was running.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SuspectStatus {
    /// Runs like any other request.
    Clear,
    /// Runs with no other suspect on the endpoint.
    Suspect,
    /// Is refused.
    Refused,
}

/// What became of a suspicion that was merged.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Merged {
    Added,
    Changed,
    Unchanged,
}

/// Parts that are refused in a prompt that has all of them: they ran at the same crashes, and
/// nothing tells them apart.
#[derive(Debug, Clone, PartialEq, Eq)]
struct RefusedParts {
    // Ascending; the first one stands for all.
    parts: Vec<Digest>,
    last_crash_ms: i64,
}

/// Requests, and parts of their prompts, that were running when endpoints crashed.
///
/// A suspicion is a pair of request or part, and crash. Merging takes the union, in which
/// "cleared" wins, so the order and repetition of merges do not matter.
///
/// A crash ends all runs of its endpoint, so each crash has one cause and many companions. A
/// run that comes to an end clears the request and all of its parts. Of the parts that remain,
/// the one with the most crashes is taken for their cause, and they no longer count for any
/// other part or request. Parts that were together at all of these are refused together only:
/// the next run with one of them alone tells which it is.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SuspectTable {
    // Ascending by fingerprint and crash.
    suspicions: Vec<Suspicion>,
    refused_parts: Vec<RefusedParts>,
    // The crashes of which these are the causes, ascending.
    explained_crashes: Vec<CrashId>,
    window_ms: u64,
    max_suspicions: usize,
}

impl SuspectTable {
    /// Empty table that remembers at most `max_suspicions`, each for `window_ms`.
    pub fn new(window_ms: u64, max_suspicions: usize) -> Self {
        Self {
            suspicions: Vec::new(),
            refused_parts: Vec::new(),
            explained_crashes: Vec::new(),
            window_ms,
            max_suspicions: max_suspicions.max(1),
        }
    }

    /// Records a request that was running when an endpoint crashed.
    pub fn add_crash(&mut self, fingerprint: Digest, crash: CrashId, now_ms: u64) {
        self.merge_suspicion(
            Suspicion {
                fingerprint,
                crash,
                observed_ms: signed_ms(now_ms),
                cleared: false,
                part_of: None,
                run_ms: 0,
            },
            now_ms,
        );
    }

    /// Records a run that was sent `run_ms` before an endpoint crashed: the request, and those
    /// parts of its prompt that `may_be_cause` does not rule out. Returns what was recorded.
    pub fn add_crashed_run(
        &mut self,
        causes: &RunCauses,
        crash: &CrashId,
        run_ms: u64,
        now_ms: u64,
        may_be_cause: impl Fn(Digest) -> bool,
    ) -> Vec<Digest> {
        self.add_crash(causes.request, crash.clone(), now_ms);
        if let Some(identity) = causes.identity {
            self.add_crash(identity, crash.clone(), now_ms);
        }
        let crash_count = |part| self.crash_count(part, now_ms);
        let suspects = causes.suspects_of(crash, may_be_cause, crash_count);
        let parts = suspects.parts().to_vec();
        for part in &parts {
            let suspicion = Suspicion {
                fingerprint: *part,
                crash: crash.clone(),
                observed_ms: signed_ms(now_ms),
                cleared: false,
                part_of: Some(causes.request),
                run_ms,
            };
            self.merge_suspicion(suspicion, now_ms);
        }
        self.judge_parts(now_ms);
        let requests = std::iter::once(causes.request).chain(causes.identity);
        requests.chain(parts).collect()
    }

    /// Clears the request and the parts of a run that came to an end; returns those that were
    /// suspected.
    pub fn clear_run(&mut self, causes: &RunCauses, now_ms: u64) -> Vec<Digest> {
        let mut cleared = self.clear_run_request(causes, now_ms);
        let parts = causes.parts().iter().copied();
        cleared.extend(parts.filter(|part| self.clear_request(*part)));
        if !cleared.is_empty() {
            self.judge_parts(now_ms);
        }
        cleared
    }

    /// Clears the request of a run that came to an end at its service, of the crashes there and,
    /// at this service, of those at others; returns what was suspected.
    pub fn clear_run_request(&mut self, causes: &RunCauses, now_ms: u64) -> Vec<Digest> {
        let mut cleared = Vec::new();
        if let Some(identity) = causes.identity {
            let mut elsewhere: Vec<Suspicion> = self.of_cause(identity).to_vec();
            elsewhere.retain(|suspicion| !suspicion.cleared);
            for mut suspicion in elsewhere {
                let here = self.of_cause(causes.request);
                let at = here.binary_search_by(|known| known.crash.cmp(&suspicion.crash));
                let is_here = at.is_ok_and(|at| !here[at].cleared);
                suspicion.cleared = true;
                if !is_here {
                    suspicion.fingerprint = causes.request;
                }
                let fingerprint = suspicion.fingerprint;
                if self.merge_suspicion(suspicion, now_ms) != Merged::Unchanged {
                    cleared.push(fingerprint);
                }
            }
        }
        if self.clear_request(causes.request) {
            cleared.push(causes.request);
        }
        cleared.sort_unstable();
        cleared.dedup();
        cleared
    }

    /// Clears a request that ran to an end, or a part of its prompt, so that no crash before was
    /// its doing; returns whether it was suspected of one.
    pub fn clear_request(&mut self, fingerprint: Digest) -> bool {
        let first = self
            .suspicions
            .partition_point(|suspicion| suspicion.fingerprint < fingerprint);
        let mut was_suspected = false;
        for suspicion in &mut self.suspicions[first..] {
            if suspicion.fingerprint != fingerprint {
                break;
            }
            was_suspected |= !suspicion.cleared;
            suspicion.cleared = true;
        }
        was_suspected
    }

    /// How a run is to be treated, given the parts and services of which runs have come to an
    /// end: as its request, and refused also for a part of its prompt.
    pub fn run_status(
        &self,
        causes: &RunCauses,
        completed_parts: &CompletedRuns,
        now_ms: u64,
    ) -> SuspectStatus {
        let refused = self.refused_causes_of(causes, completed_parts, now_ms);
        match refused.is_empty() {
            true if self.uncleared_crashes(causes, now_ms) > 0 => SuspectStatus::Suspect,
            true => self.request_status(causes.request, now_ms),
            false => SuspectStatus::Refused,
        }
    }

    /// Number of crashes of a request, at any service, of which the service of this run has not
    /// cleared it.
    fn uncleared_crashes(&self, causes: &RunCauses, now_ms: u64) -> usize {
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
    fn refused_groups(&self, now_ms: u64) -> impl Iterator<Item = &RefusedParts> {
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

    /// How a request is to be treated.
    pub fn request_status(&self, fingerprint: Digest, now_ms: u64) -> SuspectStatus {
        match self.crash_count(fingerprint, now_ms) {
            0 => SuspectStatus::Clear,
            count if count < REFUSED_AT_CRASHES => SuspectStatus::Suspect,
            _ => SuspectStatus::Refused,
        }
    }

    /// Number of crashes of which a request or part has not been cleared; 0 once the last of
    /// them is longer ago than the window.
    pub fn crash_count(&self, fingerprint: Digest, now_ms: u64) -> usize {
        self.count_crashes(self.of_cause(fingerprint), now_ms)
    }

    /// Suspicions of a request or part.
    fn of_cause(&self, fingerprint: Digest) -> &[Suspicion] {
        let first = self
            .suspicions
            .partition_point(|suspicion| suspicion.fingerprint < fingerprint);
        let rest = &self.suspicions[first..];
        let end = rest.partition_point(|suspicion| suspicion.fingerprint == fingerprint);
        &rest[..end]
    }

    /// The suspicions that count: they are remembered, were not cleared, and no refused part has
    /// caused the crash in place of the request.
    fn counted<'a>(
        &self,
        of_cause: &'a [Suspicion],
        now_ms: u64,
    ) -> impl Iterator<Item = &'a Suspicion> + Clone {
        of_cause.iter().filter(move |suspicion| {
            let explained = &self.explained_crashes;
            let is_explained =
                suspicion.part_of.is_none() && explained.binary_search(&suspicion.crash).is_ok();
            !suspicion.cleared && !self.is_expired(suspicion, now_ms) && !is_explained
        })
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

    /// Suspicions by request and part.
    fn by_cause(&self) -> impl Iterator<Item = &[Suspicion]> {
        self.suspicions
            .chunk_by(|one, next| one.fingerprint == next.fingerprint)
    }

    /// Number of crashes that count among the suspicions of one request or part; none when the
    /// last is longer ago than the window.
    fn count_crashes(&self, of_cause: &[Suspicion], now_ms: u64) -> usize {
        let counted = self.counted(of_cause, now_ms);
        if counted
            .clone()
            .all(|suspicion| age_ms(now_ms, suspicion.observed_ms) >= self.window_ms)
        {
            return 0;
        }
        counted.count()
    }

    /// Whether a request is suspected of this crash.
    pub fn has_crash(&self, crash: &CrashId) -> bool {
        let mut suspicions = self.suspicions.iter();
        suspicions.any(|suspicion| suspicion.crash == *crash)
    }

    /// Drops the crashes that are no longer remembered.
    pub fn drop_expired(&mut self, now_ms: u64) {
        let memory_ms = self.memory_ms();
        let remembered = self.suspicions.len();
        self.suspicions
            .retain(|suspicion| age_ms(now_ms, suspicion.observed_ms) < memory_ms);
        if self.suspicions.len() < remembered {
            self.judge_parts(now_ms);
        }
    }

    /// Suspicions that are remembered, for other processes.
    pub fn export_records(&self, now_ms: u64) -> Vec<SuspectRecord> {
        self.suspicions
            .iter()
            .filter(|suspicion| !self.is_expired(suspicion, now_ms))
            .map(|suspicion| suspicion.to_record(now_ms))
            .collect()
    }

    /// Suspicions of a request or part that are remembered, for other processes.
    pub fn request_records(&self, fingerprint: Digest, now_ms: u64) -> Vec<SuspectRecord> {
        self.of_cause(fingerprint)
            .iter()
            .filter(|suspicion| !self.is_expired(suspicion, now_ms))
            .map(|suspicion| suspicion.to_record(now_ms))
            .collect()
    }

    /// At most `max` suspicions: those of refused parts first, then of requests and parts that
    /// one more crash leaves refused or that are refused already, those with the most crashes
    /// first.
    pub fn most_suspected(&self, max: usize, now_ms: u64) -> Vec<SuspectRecord> {
        let refused = self.refused_parts.iter();
        let refused: Vec<Digest> = refused.flat_map(|group| group.parts.clone()).collect();
        let mut others: Vec<(usize, &[Suspicion])> = self
            .by_cause()
            .map(|of_cause| (self.count_crashes(of_cause, now_ms), of_cause))
            .filter(|(count, of_cause)| match of_cause[0].part_of {
                None => count + 1 >= REFUSED_AT_CRASHES,
                Some(_) => {
                    count + 1 >= PART_REFUSED_AT_CRASHES
                        && !refused.contains(&of_cause[0].fingerprint)
                }
            })
            .collect();
        others.sort_by_key(|request| Reverse(request.0));
        let others = others.into_iter().flat_map(|request| request.1);
        let refused = refused.iter();
        refused
            .flat_map(|part| self.witnesses(*part, now_ms))
            .chain(others)
            .filter(|suspicion| !self.is_expired(suspicion, now_ms))
            .take(max)
            .map(|suspicion| suspicion.to_record(now_ms))
            .collect()
    }

    /// Some crashes of a part that are enough to refuse it.
    fn witnesses(&self, part: Digest, now_ms: u64) -> Vec<&Suspicion> {
        let counted: Vec<&Suspicion> = self.counted(self.of_cause(part), now_ms).collect();
        let mut witnesses = successive_crashes(&counted);
        let surplus = witnesses.len().saturating_sub(MAX_TOLD_CRASHES);
        witnesses.drain(..surplus);
        for suspicion in counted {
            if !witnesses.iter().any(|known| known.crash == suspicion.crash) {
                witnesses.push(suspicion);
            }
        }
        witnesses.truncate(MAX_TOLD_CRASHES);
        witnesses
    }

    /// Decides anew which parts are refused.
    ///
    /// The part with the most crashes is taken for their cause; they do not count for the next.
    fn judge_parts(&mut self, now_ms: u64) {
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

    /// Crashes under a refused request or part, and the parts that are refused together with
    /// it, that are enough to refuse it elsewhere; all that are remembered if it is not refused.
    pub fn cause_records(&self, cause: Digest, now_ms: u64) -> Vec<SuspectRecord> {
        let mut groups = self.refused_groups(now_ms);
        let Some(refused) = groups.find(|refused| refused.parts[0] == cause) else {
            return self.request_records(cause, now_ms);
        };
        let parts = refused.parts.iter();
        let witnesses = parts.flat_map(|part| self.witnesses(*part, now_ms));
        witnesses
            .map(|suspicion| suspicion.to_record(now_ms))
            .collect()
    }

    /// Digest of the suspicions that are remembered; equal in processes that hold the same ones.
    pub fn digest(&self, now_ms: u64) -> Digest {
        let mut hasher = blake3::Hasher::new();
        for suspicion in &self.suspicions {
            if self.is_expired(suspicion, now_ms) {
                continue;
            }
            hasher.update(suspicion.fingerprint.as_bytes());
            hasher.update(suspicion.crash.endpoint.as_bytes());
            hasher.update(&suspicion.crash.incarnation.to_be_bytes());
            hasher.update(&suspicion.crash.crash_no.to_be_bytes());
            hasher.update(&[u8::from(suspicion.cleared)]);
            if let Some(request) = suspicion.part_of {
                hasher.update(request.as_bytes());
            }
        }
        Digest::from(hasher.finalize())
    }

    /// Merges the suspicions that another process exported; returns the requests of those
    /// that were not known and not cleared.
    pub fn merge_records(
        &mut self,
        records: impl IntoIterator<Item = SuspectRecord>,
        now_ms: u64,
    ) -> Vec<Digest> {
        let mut learned = Vec::new();
        // Heartbeats tell again and again what is known.
        let mut has_changed = false;
        for record in records {
            if record.age_ms >= self.memory_ms() {
                continue;
            }
            let merged = self.merge_suspicion(
                Suspicion {
                    fingerprint: record.fingerprint,
                    crash: record.death,
                    observed_ms: signed_ms(now_ms).saturating_sub_unsigned(record.age_ms),
                    cleared: record.cleared,
                    part_of: record.part_of,
                    run_ms: record.run_ms,
                },
                now_ms,
            );
            has_changed |= merged != Merged::Unchanged;
            if merged == Merged::Added && !record.cleared {
                learned.push(record.fingerprint);
            }
        }
        if has_changed {
            self.judge_parts(now_ms);
        }
        learned
    }

    /// Number of suspicions remembered.
    pub fn len(&self) -> usize {
        self.suspicions.len()
    }

    /// Whether no suspicion is remembered.
    pub fn is_empty(&self) -> bool {
        self.suspicions.is_empty()
    }

    fn is_expired(&self, suspicion: &Suspicion, now_ms: u64) -> bool {
        age_ms(now_ms, suspicion.observed_ms) >= self.memory_ms()
    }

    /// Time for which a crash is remembered. One that is older than the window counts only
    /// together with a later one, so that a request which is tried again and ends another
    /// replica is refused at once.
    fn memory_ms(&self) -> u64 {
        self.window_ms.saturating_mul(MEMORY_WINDOWS)
    }

    /// Adds a suspicion or merges it with the one known.
    fn merge_suspicion(&mut self, suspicion: Suspicion, now_ms: u64) -> Merged {
        let found = self
            .suspicions
            .binary_search_by(|known| known.key().cmp(&suspicion.key()));
        match found {
            Ok(at) => {
                let known = &mut self.suspicions[at];
                let before = known.clone();
                known.cleared |= suspicion.cleared;
                known.observed_ms = known.observed_ms.min(suspicion.observed_ms);
                // The run that was sent last, and the same request in all processes.
                known.run_ms = known.run_ms.min(suspicion.run_ms);
                known.part_of = match (known.part_of, suspicion.part_of) {
                    (Some(known), Some(other)) => Some(known.min(other)),
                    (known, other) => known.or(other),
                };
                match *known == before {
                    true => Merged::Unchanged,
                    false => Merged::Changed,
                }
            }
            Err(at) => {
                self.suspicions.insert(at, suspicion);
                self.drop_least(now_ms);
                Merged::Added
            }
        }
    }

    /// Drops some suspicions if there are too many: those that were cleared, or else those of
    /// requests with the fewest crashes; the oldest of these.
    fn drop_least(&mut self, now_ms: u64) {
        if self.suspicions.len() <= self.max_suspicions {
            return;
        }
        let ranks = self.by_cause().flat_map(|of_cause| {
            let crashes = self.count_crashes(of_cause, now_ms);
            let rank = move |suspicion: &Suspicion| match suspicion.cleared {
                true => (0, suspicion.observed_ms),
                false => (crashes, suspicion.observed_ms),
            };
            of_cause.iter().map(rank)
        });
        let mut ranks: Vec<((usize, i64), usize)> =
            ranks.enumerate().map(|(at, rank)| (rank, at)).collect();
        // Several at a time, as each search looks at all of them.
        let count = (self.max_suspicions / DROPPED_SHARE).max(1);
        ranks.select_nth_unstable(count - 1);
        let mut dropped: Vec<usize> = ranks[..count].iter().map(|(_, at)| *at).collect();
        dropped.sort_unstable();
        for at in dropped.into_iter().rev() {
            self.suspicions.remove(at);
        }
    }
}

/// Time after the last crash until a refused cause is tried again after `trials` that failed,
/// in ms.
fn trial_pause_ms(first_ms: u64, trials: usize) -> u64 {
    let factor = TRIAL_FACTOR.saturating_pow(u32::try_from(trials).unwrap_or(u32::MAX));
    first_ms.saturating_mul(factor)
}
