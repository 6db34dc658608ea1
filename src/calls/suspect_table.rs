use serde::Deserialize;
use serde::Serialize;

use crate::weights::Digest;

/// Number of crashes from which on a request is refused.
pub const REFUSED_AT_CRASHES: usize = 3;

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

/// Factor by which that time grows with each crash after a trial.
const TRIAL_FACTOR: u64 = 4;

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

/// A request that was running when an endpoint crashed, as exchanged between processes.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SuspectRecord {
    /// Fingerprint of the request.
    pub fingerprint: Digest,
    /// Crash during which it was running.
    pub death: CrashId,
    /// Time since the crash was observed, in milliseconds.
    pub age_ms: u64,
    /// Whether a later run without a crash cleared the request.
    pub cleared: bool,
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

/// A request that was running during a crash.
#[derive(Debug, Clone, PartialEq, Eq)]
struct Suspicion {
    // The key of a suspicion is the pair of request and crash.
    fingerprint: Digest,
    crash: CrashId,
    observed_ms: u64,
    cleared: bool,
}

impl Suspicion {
    fn key(&self) -> (Digest, &CrashId) {
        (self.fingerprint, &self.crash)
    }

    fn to_record(&self, now_ms: u64) -> SuspectRecord {
        SuspectRecord {
            fingerprint: self.fingerprint,
            death: self.crash.clone(),
            age_ms: now_ms.saturating_sub(self.observed_ms),
            cleared: self.cleared,
        }
    }
}

/// Requests that were running when endpoints crashed.
///
/// A suspicion is a pair of request and crash. Merging takes the union, in which
/// "cleared" wins, so the order and repetition of merges do not matter.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SuspectTable {
    // Ascending by fingerprint and crash.
    suspicions: Vec<Suspicion>,
    window_ms: u64,
    max_suspicions: usize,
}

impl SuspectTable {
    /// Empty table that remembers at most `max_suspicions`, each for `window_ms`.
    pub fn new(window_ms: u64, max_suspicions: usize) -> Self {
        Self {
            suspicions: Vec::new(),
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
                observed_ms: now_ms,
                cleared: false,
            },
            now_ms,
        );
    }

    /// Clears a request that ran to an end, so that no crash before was its doing; returns
    /// whether it was suspected of one.
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

    /// How a request is to be treated.
    pub fn request_status(&self, fingerprint: Digest, now_ms: u64) -> SuspectStatus {
        match self.crash_count(fingerprint, now_ms) {
            0 => SuspectStatus::Clear,
            count if count < REFUSED_AT_CRASHES => SuspectStatus::Suspect,
            _ => SuspectStatus::Refused,
        }
    }

    /// Number of crashes of which a request has not been cleared; 0 once the last of them is
    /// longer ago than the window.
    pub fn crash_count(&self, fingerprint: Digest, now_ms: u64) -> usize {
        let first = self
            .suspicions
            .partition_point(|suspicion| suspicion.fingerprint < fingerprint);
        let of_request = self.suspicions[first..]
            .chunk_by(|one, next| one.fingerprint == next.fingerprint)
            .next()
            .filter(|of_request| of_request[0].fingerprint == fingerprint);
        of_request.map_or(0, |of_request| self.count_crashes(of_request, now_ms))
    }

    /// Whether a refused request, which last ran to an end at `last_end_ms`, may be tried once:
    /// a while after its last crash, or soon if its crashes came together, as in a failure of
    /// several endpoints that no request has caused.
    pub fn is_trial_due(&self, fingerprint: Digest, last_end_ms: Option<u64>, now_ms: u64) -> bool {
        let counted = self.requests().flatten().filter(|suspicion| {
            suspicion.fingerprint == fingerprint
                && !suspicion.cleared
                && !self.is_expired(suspicion, now_ms)
        });
        let times_ms: Vec<u64> = counted.map(|suspicion| suspicion.observed_ms).collect();
        let (Some(first_ms), Some(last_ms)) = (times_ms.iter().min(), times_ms.iter().max()) else {
            return true;
        };
        let trials = times_ms.len().saturating_sub(REFUSED_AT_CRASHES);
        let has_ended_before =
            last_end_ms.is_some_and(|end_ms| end_ms + ENDED_BEFORE_MS >= *first_ms);
        let same_failure_ms = if has_ended_before {
            SAME_FAILURE_MS
        } else {
            SAME_MOMENT_MS
        };
        let pause_ms = if last_ms - first_ms < same_failure_ms {
            SAME_FAILURE_TRIAL_MS
        } else {
            let factor = TRIAL_FACTOR.saturating_pow(u32::try_from(trials).unwrap_or(u32::MAX));
            FIRST_TRIAL_MS.saturating_mul(factor)
        };
        now_ms.saturating_sub(*last_ms) >= pause_ms
    }

    /// Suspicions by request.
    fn requests(&self) -> impl Iterator<Item = &[Suspicion]> {
        self.suspicions
            .chunk_by(|one, next| one.fingerprint == next.fingerprint)
    }

    /// Number of crashes that count among the suspicions of one request; none when the last is
    /// longer ago than the window.
    fn count_crashes(&self, of_request: &[Suspicion], now_ms: u64) -> usize {
        let age_ms = |suspicion: &Suspicion| now_ms.saturating_sub(suspicion.observed_ms);
        let counted = of_request
            .iter()
            .filter(|suspicion| !suspicion.cleared && !self.is_expired(suspicion, now_ms));
        if counted
            .clone()
            .all(|suspicion| age_ms(suspicion) >= self.window_ms)
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
        self.suspicions
            .retain(|suspicion| now_ms.saturating_sub(suspicion.observed_ms) < memory_ms);
    }

    /// Suspicions that are remembered, for other processes.
    pub fn export_records(&self, now_ms: u64) -> Vec<SuspectRecord> {
        self.suspicions
            .iter()
            .filter(|suspicion| !self.is_expired(suspicion, now_ms))
            .map(|suspicion| suspicion.to_record(now_ms))
            .collect()
    }

    /// Suspicions of a request that are remembered, for other processes.
    pub fn request_records(&self, fingerprint: Digest, now_ms: u64) -> Vec<SuspectRecord> {
        let of_request = self.suspicions.iter();
        of_request
            .skip_while(|suspicion| suspicion.fingerprint < fingerprint)
            .take_while(|suspicion| suspicion.fingerprint == fingerprint)
            .filter(|suspicion| !self.is_expired(suspicion, now_ms))
            .map(|suspicion| suspicion.to_record(now_ms))
            .collect()
    }

    /// At most `max` suspicions of requests that one more crash leaves refused or that are
    /// refused already, those with the most crashes first.
    pub fn most_suspected(&self, max: usize, now_ms: u64) -> Vec<SuspectRecord> {
        let mut requests: Vec<(usize, &[Suspicion])> = self
            .requests()
            .map(|of_request| (self.count_crashes(of_request, now_ms), of_request))
            .filter(|request| request.0 + 1 >= REFUSED_AT_CRASHES)
            .collect();
        requests.sort_by_key(|request| std::cmp::Reverse(request.0));
        let suspicions = requests.into_iter().flat_map(|request| request.1);
        suspicions
            .filter(|suspicion| !self.is_expired(suspicion, now_ms))
            .take(max)
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
        for record in records {
            if record.age_ms >= self.memory_ms() {
                continue;
            }
            let is_new = self.merge_suspicion(
                Suspicion {
                    fingerprint: record.fingerprint,
                    crash: record.death,
                    observed_ms: now_ms.saturating_sub(record.age_ms),
                    cleared: record.cleared,
                },
                now_ms,
            );
            if is_new && !record.cleared {
                learned.push(record.fingerprint);
            }
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
        now_ms.saturating_sub(suspicion.observed_ms) >= self.memory_ms()
    }

    /// Time for which a crash is remembered. One that is older than the window counts only
    /// together with a later one, so that a request which is tried again and ends another
    /// replica is refused at once.
    fn memory_ms(&self) -> u64 {
        self.window_ms.saturating_mul(MEMORY_WINDOWS)
    }

    /// Adds a suspicion or merges it with the one known; returns whether it is new.
    fn merge_suspicion(&mut self, suspicion: Suspicion, now_ms: u64) -> bool {
        let found = self
            .suspicions
            .binary_search_by(|known| known.key().cmp(&suspicion.key()));
        match found {
            Ok(at) => {
                let known = &mut self.suspicions[at];
                known.cleared |= suspicion.cleared;
                known.observed_ms = known.observed_ms.min(suspicion.observed_ms);
                false
            }
            Err(at) => {
                self.suspicions.insert(at, suspicion);
                self.drop_least(now_ms);
                true
            }
        }
    }

    /// Drops a suspicion if there are too many: one that was cleared, or else one of a request
    /// with the fewest crashes; the oldest of these.
    fn drop_least(&mut self, now_ms: u64) {
        if self.suspicions.len() <= self.max_suspicions {
            return;
        }
        let ranks = self.requests().flat_map(|of_request| {
            let crashes = self.count_crashes(of_request, now_ms);
            let rank = move |suspicion: &Suspicion| match suspicion.cleared {
                true => (0, suspicion.observed_ms),
                false => (crashes, suspicion.observed_ms),
            };
            of_request.iter().map(rank)
        });
        let least = ranks.enumerate().min_by_key(|rank| rank.1);
        if let Some((at, _)) = least {
            self.suspicions.remove(at);
        }
    }
}
