use std::net::SocketAddr;

use serde::Deserialize;
use serde::Serialize;

use crate::calls::SuspectRecord;
use crate::fleet::rendezvous_rank;

/// Silence after which an entry is taken for dead, in ms: several beats.
const ENTRY_SILENT_MS: u64 = 900;

/// Seed of the rank by which entries read the store.
const READER_SEED: u64 = 1;

/// Age of what is known at which the next entry by rank reads the store as well,
/// in ms: more than a reader's interval and a beat; its reader may be cut off.
const READER_SILENT_MS: u64 = 1_100;

/// Further time for each further entry, in ms: the time in which the one before
/// reads the store and tells the others. All at once, they would fill the link
/// whose delay made them read.
const READER_STAGGER_MS: u64 = 300;

/// An entry, as it registers itself for the others to find.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EntryRegistration {
    /// Name of the host.
    pub name: String,
    /// Address for beats and internal calls.
    pub internal: SocketAddr,
}

/// A declaration of weights, as processes tell it to each other.
///
/// Its age is what a process that starts late can't learn from the store.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct DeclarationAge {
    /// Model.
    pub model: String,
    /// Version.
    pub version: u64,
    /// Time since the sender learned of it.
    pub age_ms: u64,
}

/// What an entry tells the others, several times a second.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct EntryHeartbeat {
    /// Name of the host.
    pub name: String,
    /// Incarnation of the process.
    pub incarnation: u64,
    /// Address for internal calls.
    pub internal: SocketAddr,
    /// Address for clients.
    pub front: SocketAddr,
    /// Failure domain it stands in.
    pub failure_domain: String,
    /// Bandwidth of its link.
    pub link_mbps: f64,
    /// Whether it takes new clients.
    pub is_ready: bool,
    /// Whether the platform's store answers it.
    pub has_store: bool,
    /// Ends of the topics that it holds, in the order of `Topic::ALL`.
    pub ends: [u64; 3],
    /// Age of its replicas' records, since the store confirmed them.
    pub replicas_age_ms: u64,
    /// Latest declarations of weights whose age is known.
    pub declared: Vec<DeclarationAge>,
    /// Requests that crashed replicas lately, and on how many.
    pub suspects: Vec<SuspectRecord>,
}

/// What an endpoint process tells the entries of its engine.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct LoadReport {
    /// Port of the replica.
    pub port: u16,
    /// Whether the engine answers.
    pub is_up: bool,
    /// Whether it is loading weights, or about to.
    pub is_loading: bool,
    /// Requests that run.
    pub running: u32,
    /// Requests that wait for a slot.
    pub queued: u32,
    /// Memory in use, as a share of the whole.
    pub memory_used: f32,
    /// Version of the weights; 0 when none are held.
    pub version: u64,
    /// Slowness; 1 is the usual speed.
    pub pace: f32,
    /// Latest declarations of weights whose age is known.
    pub declared: Vec<DeclarationAge>,
}

/// One other entry.
#[derive(Debug, Clone)]
struct Peer {
    beat: EntryHeartbeat,
    heard_ms: u64,
}

/// The other entries, by their beats.
#[derive(Debug, Default)]
pub struct PeerTable {
    // Ascending by name.
    peers: Vec<Peer>,
}

impl PeerTable {
    /// Takes a beat; returns whether the entry is new or was silent.
    pub fn record_heartbeat(&mut self, beat: EntryHeartbeat, now_ms: u64) -> bool {
        match self.peers.binary_search_by(|p| p.beat.name.cmp(&beat.name)) {
            Ok(at) => {
                let peer = &mut self.peers[at];
                let is_news = now_ms.saturating_sub(peer.heard_ms) >= ENTRY_SILENT_MS
                    || peer.beat.incarnation != beat.incarnation;
                peer.beat = beat;
                peer.heard_ms = now_ms;
                is_news
            }
            Err(at) => {
                self.peers.insert(
                    at,
                    Peer {
                        beat,
                        heard_ms: now_ms,
                    },
                );
                true
            }
        }
    }

    /// Entries heard from lately.
    pub fn live_entries(&self, now_ms: u64) -> impl Iterator<Item = &EntryHeartbeat> {
        self.peers
            .iter()
            .filter(move |peer| now_ms.saturating_sub(peer.heard_ms) < ENTRY_SILENT_MS)
            .map(|peer| &peer.beat)
    }

    /// Whether another entry of `failure_domain` reads the store for `own` as well,
    /// while what is known is `age_ms` old.
    ///
    /// One entry a failure domain reads, by a rank that all agree on; who loses
    /// the store or falls silent is passed over.
    pub fn has_other_reader(
        &self,
        own: &str,
        failure_domain: &str,
        now_ms: u64,
        age_ms: u64,
    ) -> bool {
        let readers = self
            .live_entries(now_ms)
            .filter(|peer| peer.has_store && peer.failure_domain == failure_domain)
            .map(|peer| peer.name.as_str());
        let rank = rendezvous_rank(own, readers, READER_SEED) as u64;
        let patience_ms = READER_SILENT_MS + READER_STAGGER_MS * rank.saturating_sub(1);
        rank > 0 && age_ms < patience_ms
    }

    /// Every entry ever heard from, for beats to those that may be back.
    pub fn all_entries(&self) -> impl Iterator<Item = &EntryHeartbeat> {
        self.peers.iter().map(|peer| &peer.beat)
    }
}
