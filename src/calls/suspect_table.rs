use serde::Deserialize;
use serde::Serialize;

use crate::weights::Digest;

/// Crashes after which a request is refused.
pub const REFUSED_AT_CRASHES: usize = 3;

/// Digest that names a request: what it is for, and its body.
pub fn fingerprint(target: &str, body: &[u8]) -> Digest {
    let mut hasher = blake3::Hasher::new();
    hasher.update(&(target.len() as u64).to_be_bytes());
    hasher.update(target.as_bytes());
    hasher.update(body);
    Digest::from(hasher.finalize())
}

/// Names one crash, whoever reports it.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct CrashId {
    /// Endpoint that crashed.
    pub endpoint: String,
    /// Incarnation of its process.
    pub incarnation: u64,
    /// Crash of its engine or service within the incarnation, or `PROCESS_CRASH`.
    pub crash_no: u32,
}

impl CrashId {
    /// Crash number of the process itself, which happens once per incarnation.
    pub const PROCESS_CRASH: u32 = u32::MAX;
}

/// One request that ran when an endpoint crashed, as spread between processes.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SuspectRecord {
    /// The request.
    pub fingerprint: Digest,
    /// The crash it was near.
    pub death: CrashId,
    /// Time since the crash was seen.
    pub age_ms: u64,
    /// Whether a later run cleared the request of it.
    pub cleared: bool,
}

/// How a request is to be treated.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SuspectStatus {
    /// Run it as any other.
    Clear,
    /// Run it with no other suspect on the endpoint.
    Suspect,
    /// Refuse it.
    Refused,
}

#[derive(Debug, Clone, PartialEq, Eq)]
struct Suspicion {
    fingerprint: Digest,
    crash: CrashId,
    observed_ms: u64,
    cleared: bool,
}

impl Suspicion {
    fn key(&self) -> (Digest, &CrashId) {
        (self.fingerprint, &self.crash)
    }
}

/// Requests that ran when endpoints crashed, within a window of time.
///
/// Merging takes the union of the suspicions, and "cleared" wins, so the order and
/// repetition of merges do not matter.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SuspectTable {
    // Ascending by fingerprint and death.
    suspicions: Vec<Suspicion>,
    window_ms: u64,
    max_suspicions: usize,
}

impl SuspectTable {
    /// Empty table that remembers crashes for `window_ms`, at most `max_suspicions` of them.
    pub fn new(window_ms: u64, max_suspicions: usize) -> Self {
        Self {
            suspicions: Vec::new(),
            window_ms,
            max_suspicions: max_suspicions.max(1),
        }
    }

    /// Records a request that ran when an endpoint crashed.
    pub fn add_crash(&mut self, fingerprint: Digest, crash: CrashId, now_ms: u64) {
        self.merge_suspicion(Suspicion {
            fingerprint,
            crash,
            observed_ms: now_ms,
            cleared: false,
        });
    }

    /// Clears a request that ran alone among suspects and crashed nothing.
    pub fn clear_request(&mut self, fingerprint: Digest) {
        let first = self
            .suspicions
            .partition_point(|suspicion| suspicion.fingerprint < fingerprint);
        for suspicion in &mut self.suspicions[first..] {
            if suspicion.fingerprint != fingerprint {
                break;
            }
            suspicion.cleared = true;
        }
    }

    /// How to treat a request.
    pub fn request_status(&self, fingerprint: Digest, now_ms: u64) -> SuspectStatus {
        match self.crash_count(fingerprint, now_ms) {
            0 => SuspectStatus::Clear,
            count if count < REFUSED_AT_CRASHES => SuspectStatus::Suspect,
            _ => SuspectStatus::Refused,
        }
    }

    /// Crashes within the window that a request was not cleared of.
    pub fn crash_count(&self, fingerprint: Digest, now_ms: u64) -> usize {
        let first = self
            .suspicions
            .partition_point(|suspicion| suspicion.fingerprint < fingerprint);
        self.suspicions[first..]
            .iter()
            .take_while(|suspicion| suspicion.fingerprint == fingerprint)
            .filter(|suspicion| !suspicion.cleared && !self.is_expired(suspicion, now_ms))
            .count()
    }

    /// Forgets crashes past the window.
    pub fn drop_expired(&mut self, now_ms: u64) {
        let window_ms = self.window_ms;
        self.suspicions
            .retain(|suspicion| now_ms.saturating_sub(suspicion.observed_ms) < window_ms);
    }

    /// Everything known, to spread.
    pub fn export_records(&self, now_ms: u64) -> Vec<SuspectRecord> {
        self.suspicions
            .iter()
            .filter(|suspicion| !self.is_expired(suspicion, now_ms))
            .map(|suspicion| SuspectRecord {
                fingerprint: suspicion.fingerprint,
                death: suspicion.crash.clone(),
                age_ms: now_ms.saturating_sub(suspicion.observed_ms),
                cleared: suspicion.cleared,
            })
            .collect()
    }

    /// Digest of the crashes within the window; equal on processes that know the same.
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

    /// Takes in what another process knows.
    pub fn merge_records(&mut self, records: impl IntoIterator<Item = SuspectRecord>, now_ms: u64) {
        for record in records {
            if record.age_ms >= self.window_ms {
                continue;
            }
            self.merge_suspicion(Suspicion {
                fingerprint: record.fingerprint,
                crash: record.death,
                observed_ms: now_ms.saturating_sub(record.age_ms),
                cleared: record.cleared,
            });
        }
    }

    /// Crashes remembered.
    pub fn len(&self) -> usize {
        self.suspicions.len()
    }

    /// Whether no death is remembered.
    pub fn is_empty(&self) -> bool {
        self.suspicions.is_empty()
    }

    fn is_expired(&self, suspicion: &Suspicion, now_ms: u64) -> bool {
        now_ms.saturating_sub(suspicion.observed_ms) >= self.window_ms
    }

    fn merge_suspicion(&mut self, suspicion: Suspicion) {
        let found = self
            .suspicions
            .binary_search_by(|known| known.key().cmp(&suspicion.key()));
        match found {
            Ok(at) => {
                let known = &mut self.suspicions[at];
                known.cleared |= suspicion.cleared;
                known.observed_ms = known.observed_ms.min(suspicion.observed_ms);
            }
            Err(at) => {
                self.suspicions.insert(at, suspicion);
                self.drop_oldest();
            }
        }
    }

    fn drop_oldest(&mut self) {
        if self.suspicions.len() <= self.max_suspicions {
            return;
        }
        let oldest = (0..self.suspicions.len()).min_by_key(|&at| self.suspicions[at].observed_ms);
        if let Some(at) = oldest {
            self.suspicions.remove(at);
        }
    }
}
