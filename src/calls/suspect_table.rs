use serde::Deserialize;
use serde::Serialize;

use crate::calls::CompletedRuns;
use crate::calls::RunCauses;
use crate::calls::suspicion::Suspicion;
use crate::calls::suspicion::age_ms;
use crate::calls::suspicion::signed_ms;
use crate::weights::Digest;

/// Number of crashes from which on a request is refused.
pub const REFUSED_AT_CRASHES: usize = 3;

/// Number of windows for which a crash is remembered.
const MEMORY_WINDOWS: u64 = 8;

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
pub(super) enum Merged {
    Added,
    Changed,
    Unchanged,
}

/// Parts that are refused in a prompt that has all of them: they ran at the same crashes, and
/// nothing tells them apart.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct RefusedParts {
    // Ascending; the first one stands for all.
    pub(super) parts: Vec<Digest>,
    pub(super) last_crash_ms: i64,
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
    pub(super) suspicions: Vec<Suspicion>,
    pub(super) refused_parts: Vec<RefusedParts>,
    // The crashes of which these are the causes, ascending.
    pub(super) explained_crashes: Vec<CrashId>,
    pub(super) window_ms: u64,
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
    pub(super) fn of_cause(&self, fingerprint: Digest) -> &[Suspicion] {
        let first = self
            .suspicions
            .partition_point(|suspicion| suspicion.fingerprint < fingerprint);
        let rest = &self.suspicions[first..];
        let end = rest.partition_point(|suspicion| suspicion.fingerprint == fingerprint);
        &rest[..end]
    }

    /// The suspicions that count: they are remembered, were not cleared, and no refused part has
    /// caused the crash in place of the request.
    pub(super) fn counted<'a>(
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

    /// Suspicions by request and part.
    pub(super) fn by_cause(&self) -> impl Iterator<Item = &[Suspicion]> {
        self.suspicions
            .chunk_by(|one, next| one.fingerprint == next.fingerprint)
    }

    /// Number of crashes that count among the suspicions of one request or part; none when the
    /// last is longer ago than the window.
    pub(super) fn count_crashes(&self, of_cause: &[Suspicion], now_ms: u64) -> usize {
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

    /// Number of suspicions remembered.
    pub fn len(&self) -> usize {
        self.suspicions.len()
    }

    /// Whether no suspicion is remembered.
    pub fn is_empty(&self) -> bool {
        self.suspicions.is_empty()
    }

    pub(super) fn is_expired(&self, suspicion: &Suspicion, now_ms: u64) -> bool {
        age_ms(now_ms, suspicion.observed_ms) >= self.memory_ms()
    }

    /// Time for which a crash is remembered. One that is older than the window counts only
    /// together with a later one, so that a request which is tried again and ends another
    /// replica is refused at once.
    pub(super) fn memory_ms(&self) -> u64 {
        self.window_ms.saturating_mul(MEMORY_WINDOWS)
    }

    /// Adds a suspicion or merges it with the one known.
    pub(super) fn merge_suspicion(&mut self, suspicion: Suspicion, now_ms: u64) -> Merged {
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
