use serde::Deserialize;
use serde::Serialize;

use crate::hosts::ConfigPosition;
use crate::hosts::Load;
use crate::weights::Digest;

/// Context string that separates the beat key from other uses of the shared key.
const KEY_CONTEXT: &str = "bergamotfork beat 1";

/// Bytes of the seal at the end of a datagram.
const SEAL_BYTES: usize = 16;

/// Key that seals datagrams, derived from the shared key.
#[derive(Debug, Clone)]
pub struct HeartbeatKey([u8; 32]);

impl HeartbeatKey {
    /// Derives the key from the `shared_key` of the processes.
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

/// Short form of a host's name in datagrams.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct NameTag(u64);

impl NameTag {
    /// Tag of `name`.
    pub fn of(name: &str) -> Self {
        Self(leading_number(&Digest::of(name.as_bytes())))
    }
}

/// Short form of what a host says of itself that changes seldom.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct StateTag(u64);

impl StateTag {
    /// Tag of an encoded state.
    pub fn of(encoded: &[u8]) -> Self {
        Self(leading_number(&Digest::of(encoded)))
    }
}

fn leading_number(digest: &Digest) -> u64 {
    let mut leading = [0; 8];
    leading.copy_from_slice(&digest.as_bytes()[..8]);
    u64::from_be_bytes(leading)
}

/// Sign of life of a process, sent every second as a datagram.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// Who sends it.
    pub name: NameTag,
    /// Incarnation of the sender.
    pub incarnation: u64,
    /// The sender's own clock when it sent this.
    pub sent_ms: u64,
    /// Tag of the sender's last full report.
    pub state: StateTag,
    /// Tag of what the sender knows of requests that crash endpoints.
    pub suspects: StateTag,
    /// Whether the sender finishes its work and goes.
    pub leaving: bool,
    /// Whether the sender wants an answer though nothing is new.
    pub wants_answer: bool,
    /// Configuration in force on the sender.
    pub config_offset: u64,
    /// How busy the sender is.
    pub load: Load,
    /// Epoch that new permits for the sender should name.
    pub permit_epoch: u64,
}

/// What an entry answers to a beat.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct HeartbeatAnswer {
    /// Who answers.
    pub name: NameTag,
    /// Incarnation that sent the beat; a later one must not draw on the answer.
    pub to: u64,
    /// The asking process's clock when it sent the beat that is answered.
    pub asked_ms: u64,
    /// Whether the entry wants a full report.
    pub wants_report: bool,
    /// Configuration in force on the entry.
    pub config: ConfigPosition,
    /// Whether the entry is past its own bootstrap.
    pub is_voter: bool,
    /// Time since its configuration was known to be the end of the log.
    pub confirmed_age_ms: Option<u64>,
}

/// One datagram between two processes.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Datagram {
    /// A sign of life.
    Beat(Heartbeat),
    /// An entry's answer.
    Answer(HeartbeatAnswer),
}

impl Datagram {
    /// The datagram as bytes, sealed with `key`.
    pub fn seal(&self, key: &HeartbeatKey) -> Vec<u8> {
        let mut bytes = rmp_serde::to_vec(self).expect("numbers and flags always encode");
        bytes.extend(key.seal(&bytes));
        bytes
    }

    /// The datagram in `bytes`; `None` unless it was sealed with `key`.
    pub fn open(bytes: &[u8], key: &HeartbeatKey) -> Option<Self> {
        let (body, seal) = bytes.split_at_checked(bytes.len().checked_sub(SEAL_BYTES)?)?;
        // Comparing digests takes the same time whatever the given seal is.
        if blake3::hash(seal) != blake3::hash(&key.seal(body)) {
            return None;
        }
        rmp_serde::from_slice(body).ok()
    }
}
