use serde::Deserialize;
use serde::Serialize;

use crate::hosts::ConfigPosition;
use crate::hosts::Load;
use crate::weights::Digest;

/// Context string that separates heartbeat keys from other uses of the shared key.
const KEY_CONTEXT: &str = "bergamotfork beat 1";

/// Length of the seal at the end of a datagram, in bytes.
const SEAL_BYTES: usize = 16;

/// Key that authenticates datagrams, derived from the shared key.
#[derive(Debug, Clone)]
pub struct HeartbeatKey([u8; 32]);

impl HeartbeatKey {
    /// Derives the key from the setting `shared_key` of the cluster.
    pub fn derive(shared_key: &str) -> Self {
        Self(blake3::derive_key(KEY_CONTEXT, shared_key.as_bytes()))
    }

    fn seal(&self, body: &[u8]) -> [u8; SEAL_BYTES] {
        let hash = blake3::keyed_hash(&self.0, body);
        let mut seal = [0; SEAL_BYTES];
        seal.copy_from_slice(&hash.as_bytes()[..SEAL_BYTES]);
        seal
    }
}

/// First 64 bits of the digest of a host's name, which stand for the name in datagrams.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct NameTag(u64);

impl NameTag {
    /// Computes the tag of `name`.
    pub fn of_name(name: &str) -> Self {
        Self(first_64_bits(&Digest::of_bytes(name.as_bytes())))
    }
}

/// First 64 bits of the digest of a state, to detect that the state changed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct StateTag(u64);

impl StateTag {
    /// Computes the tag of an encoded state.
    pub fn of_bytes(encoded: &[u8]) -> Self {
        Self(first_64_bits(&Digest::of_bytes(encoded)))
    }
}

fn first_64_bits(digest: &Digest) -> u64 {
    let mut bytes = [0; 8];
    bytes.copy_from_slice(&digest.as_bytes()[..8]);
    u64::from_be_bytes(bytes)
}

/// Heartbeat of a process, sent as a datagram at the gossip interval.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// Tag of the sender's name.
    pub name: NameTag,
    /// Incarnation of the sender.
    pub incarnation: u64,
    /// Time of sending on the sender's monotonic clock, in ms.
    pub sent_ms: u64,
    /// Tag of the sender's current report; see `Report::state_tag`.
    pub state: StateTag,
    /// Tag of the sender's records of requests suspected of crashing endpoints.
    pub suspects: StateTag,
    /// Whether the sender is draining and will stop.
    pub leaving: bool,
    /// Whether the sender wants an answer even if it is not behind and need not report.
    pub wants_answer: bool,
    /// Offset up to which the sender has applied the configuration log.
    pub config_offset: u64,
    /// Load of the sender.
    pub load: Load,
    /// Epoch to put into new permits for the sender.
    pub permit_epoch: u64,
}

/// Answer of an entry to a heartbeat.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct HeartbeatAnswer {
    /// Tag of the name of the answering entry.
    pub name: NameTag,
    /// Incarnation that sent the heartbeat; a later incarnation ignores the answer.
    pub to: u64,
    /// `sent_ms` of the heartbeat that is answered.
    pub asked_ms: u64,
    /// Whether the entry requests a full report.
    pub wants_report: bool,
    /// Position up to which the entry has applied the configuration log.
    pub config: ConfigPosition,
    /// Whether the entry counts towards the majority that confirms a configuration.
    pub is_voter: bool,
    /// Time since the entry's position was known to be the end of the log, in ms.
    pub confirmed_age_ms: Option<u64>,
}

/// Datagram between two processes.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Datagram {
    /// A heartbeat.
    Beat(Heartbeat),
    /// An entry's answer to a heartbeat.
    Answer(HeartbeatAnswer),
}

impl Datagram {
    /// Encodes the datagram and appends its seal under `key`.
    pub fn seal(&self, key: &HeartbeatKey) -> Vec<u8> {
        let mut bytes = rmp_serde::to_vec(self).expect("numbers and flags always encode");
        bytes.extend(key.seal(&bytes));
        bytes
    }

    /// Decodes a datagram; `None` if its seal under `key` is wrong or it is malformed.
    pub fn open(bytes: &[u8], key: &HeartbeatKey) -> Option<Self> {
        let (body, seal) = bytes.split_at_checked(bytes.len().checked_sub(SEAL_BYTES)?)?;
        // Comparing digests keeps the time independent of how much of the seal is right.
        if blake3::hash(seal) != blake3::hash(&key.seal(body)) {
            return None;
        }
        rmp_serde::from_slice(body).ok()
    }
}
