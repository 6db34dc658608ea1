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
struct Trace {
    fingerprint: Digest,
    death: CrashId,
    seen_ms: u64,
    cleared: bool,
}

impl Trace {
    fn key(&self) -> (Digest, &CrashId) {
        (self.fingerprint, &self.death)
    }
}

/// Requests that ran when endpoints crashed, within a window of time.
///
/// Merging takes the union of the traces, and "cleared" wins, so the order and
/// repetition of merges do not matter.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SuspectTable {
    // Ascending by fingerprint and death.
    traces: Vec<Trace>,
    window_ms: u64,
    max_traces: usize,
}

impl SuspectTable {
    /// Empty table that remembers crashes for `window_ms`, at most `max_traces` of them.
    pub fn new(window_ms: u64, max_traces: usize) -> Self {
        Self {
            traces: Vec::new(),
            window_ms,
            max_traces: max_traces.max(1),
        }
    }

    /// Records a request that ran when an endpoint crashed.
    pub fn add_crash(&mut self, fingerprint: Digest, death: CrashId, now_ms: u64) {
        self.merge_one(Trace {
            fingerprint,
            death,
            seen_ms: now_ms,
            cleared: false,
        });
    }

    /// Clears a request that ran alone among suspects and crashed nothing.
    pub fn clear(&mut self, fingerprint: Digest) {
        let first = self
            .traces
            .partition_point(|trace| trace.fingerprint < fingerprint);
        for trace in &mut self.traces[first..] {
            if trace.fingerprint != fingerprint {
                break;
            }
            trace.cleared = true;
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
            .traces
            .partition_point(|trace| trace.fingerprint < fingerprint);
        self.traces[first..]
            .iter()
            .take_while(|trace| trace.fingerprint == fingerprint)
            .filter(|trace| !trace.cleared && !self.is_expired(trace, now_ms))
            .count()
    }

    /// Forgets crashes past the window.
    pub fn expire(&mut self, now_ms: u64) {
        let window_ms = self.window_ms;
        self.traces
            .retain(|trace| now_ms.saturating_sub(trace.seen_ms) < window_ms);
    }

    /// Everything known, to spread.
    pub fn export(&self, now_ms: u64) -> Vec<SuspectRecord> {
        self.traces
            .iter()
            .filter(|trace| !self.is_expired(trace, now_ms))
            .map(|trace| SuspectRecord {
                fingerprint: trace.fingerprint,
                death: trace.death.clone(),
                age_ms: now_ms.saturating_sub(trace.seen_ms),
                cleared: trace.cleared,
            })
            .collect()
    }

    /// Digest of the crashes within the window; equal on processes that know the same.
    pub fn digest(&self, now_ms: u64) -> Digest {
        let mut hasher = blake3::Hasher::new();
        for trace in &self.traces {
            if self.is_expired(trace, now_ms) {
                continue;
            }
            hasher.update(trace.fingerprint.as_bytes());
            hasher.update(trace.death.endpoint.as_bytes());
            hasher.update(&trace.death.incarnation.to_be_bytes());
            hasher.update(&trace.death.crash_no.to_be_bytes());
            hasher.update(&[u8::from(trace.cleared)]);
        }
        Digest::from(hasher.finalize())
    }

    /// Takes in what another process knows.
    pub fn merge(&mut self, records: impl IntoIterator<Item = SuspectRecord>, now_ms: u64) {
        for record in records {
            if record.age_ms >= self.window_ms {
                continue;
            }
            self.merge_one(Trace {
                fingerprint: record.fingerprint,
                death: record.death,
                seen_ms: now_ms.saturating_sub(record.age_ms),
                cleared: record.cleared,
            });
        }
    }

    /// Crashes remembered.
    pub fn len(&self) -> usize {
        self.traces.len()
    }

    /// Whether no death is remembered.
    pub fn is_empty(&self) -> bool {
        self.traces.is_empty()
    }

    fn is_expired(&self, trace: &Trace, now_ms: u64) -> bool {
        now_ms.saturating_sub(trace.seen_ms) >= self.window_ms
    }

    fn merge_one(&mut self, trace: Trace) {
        let found = self
            .traces
            .binary_search_by(|known| known.key().cmp(&trace.key()));
        match found {
            Ok(at) => {
                let known = &mut self.traces[at];
                known.cleared |= trace.cleared;
                known.seen_ms = known.seen_ms.min(trace.seen_ms);
            }
            Err(at) => {
                self.traces.insert(at, trace);
                self.drop_oldest();
            }
        }
    }

    fn drop_oldest(&mut self) {
        if self.traces.len() <= self.max_traces {
            return;
        }
        let oldest = (0..self.traces.len()).min_by_key(|&at| self.traces[at].seen_ms);
        if let Some(at) = oldest {
            self.traces.remove(at);
        }
    }
}
