use std::net::SocketAddr;

use serde::Deserialize;
use serde::Serialize;

use crate::calls::SuspectRecord;
use crate::fleet::HeartbeatGaps;
use crate::fleet::LogPosition;
use crate::fleet::Topic;
use crate::fleet::rendezvous_rank;

/// Shortest time without a heartbeat after which an entry counts as failed, in ms: several
/// heartbeat intervals.
const ENTRY_TIMEOUT_MS: u64 = 900;

/// Longest gap between two heartbeats of an entry that runs, in ms: several intervals, as
/// heartbeats to other regions are sent less often.
const MAX_ENTRY_GAP_MS: u64 = 1_000;

/// Gap that is assumed of an entry that was just heard of, in ms: one heartbeat interval.
const FIRST_ENTRY_GAP_MS: u64 = 250;

/// Longest gaps for which an entry has to be silent to count as failed.
const ENTRY_MISSED_GAPS: f64 = 3.6;

/// Seed of the rendezvous rank by which entries of a failure domain read the store.
const READER_RANK_SEED: u64 = 1;

/// Age of the replicas' records at which the entry of the second rank reads the store
/// as well, in ms, since the first may be cut off: more than the read interval and
/// one heartbeat interval.
const READER_FALLBACK_MS: u64 = 1_100;

/// Additional age for each further rank, in ms: the time in which the entry ranked
/// before reads the store and notifies the others. Entries that all read at once would
/// saturate the link whose delay made them read.
const READER_STAGGER_MS: u64 = 300;

/// Registration of an entry in the store, by which the other entries find it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EntryRegistration {
    /// Name of the host.
    pub name: String,
    /// Address for heartbeats and internal calls.
    pub internal: SocketAddr,
}

/// Age of a declaration of weights, as one process reports it to another.
///
/// A process that starts after the declaration can't learn the age from the store.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct DeclarationAge {
    /// Name of the model.
    pub model: String,
    /// Version of the weights.
    pub version: u64,
    /// Time since the declaration was learned, in ms, as the sender knows it.
    pub age_ms: u64,
}

/// Heartbeat of an entry to the other entries and the endpoint processes.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct EntryHeartbeat {
    /// Name of the host.
    pub name: String,
    /// Incarnation of the process.
    pub incarnation: u64,
    /// Address for internal calls.
    pub internal: SocketAddr,
    /// Address at which clients connect.
    pub front: SocketAddr,
    /// Failure domain of the host.
    pub failure_domain: String,
    /// Bandwidth of the host's link, in Mbit/s.
    pub link_mbps: f64,
    /// Whether it accepts new clients.
    pub is_ready: bool,
    /// Whether the platform's store answers this entry.
    pub has_store: bool,
    /// End offsets of its topic tables, in the order of `Topic::ALL`.
    pub ends: [u64; 3],
    /// Time since the store last confirmed the sender's records of the replicas, in ms.
    pub replicas_age_ms: u64,
    /// Latest declarations of weights whose age is known.
    pub declared: Vec<DeclarationAge>,
    /// Requests suspected of crashing replicas, with the recent crashes.
    pub suspects: Vec<SuspectRecord>,
}

impl EntryHeartbeat {
    /// Packed position up to which the sender has every record of `topic`; None if it states
    /// one that no store reaches.
    pub fn end_offset(&self, topic: Topic) -> Option<u64> {
        let end_offset = self.ends[topic as usize];
        let position = LogPosition::unpack(end_offset);
        position.is_plausible().then_some(end_offset)
    }
}

/// Load of an engine, as its endpoint process reports it to the entries.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct LoadReport {
    /// Port of the replica on the sender's host.
    pub port: u16,
    /// Whether the engine answered the endpoint process.
    pub is_up: bool,
    /// Whether the engine is loading weights or is about to be ordered to.
    pub is_loading: bool,
    /// Requests that hold a slot.
    pub running: u32,
    /// Requests that wait for a slot.
    pub queued: u32,
    /// Part of the engine's memory that is in use, from 0 to 1.
    pub memory_used: f32,
    /// Version of the loaded weights; 0 when none are loaded.
    pub version: u64,
    /// Slowdown factor: 1 at the usual speed, above 1 when slower.
    pub pace: f32,
    /// Latest declarations of weights whose age is known.
    pub declared: Vec<DeclarationAge>,
}

/// The last heartbeat of another entry.
#[derive(Debug, Clone)]
struct Peer {
    heartbeat: EntryHeartbeat,
    gaps: HeartbeatGaps,
}

impl Peer {
    fn is_live(&self, now_ms: u64) -> bool {
        self.gaps
            .is_live(now_ms, ENTRY_MISSED_GAPS, ENTRY_TIMEOUT_MS)
    }
}

/// The other entries, known by their heartbeats.
#[derive(Debug, Default)]
pub struct PeerTable {
    // Sorted by name.
    peers: Vec<Peer>,
}

impl PeerTable {
    /// Records a heartbeat; returns whether the entry is new, restarted or had timed out.
    pub fn record_heartbeat(&mut self, heartbeat: EntryHeartbeat, now_ms: u64) -> bool {
        match self
            .peers
            .binary_search_by(|p| p.heartbeat.name.cmp(&heartbeat.name))
        {
            Ok(at) => {
                let peer = &mut self.peers[at];
                let has_reappeared =
                    !peer.is_live(now_ms) || peer.heartbeat.incarnation != heartbeat.incarnation;
                peer.heartbeat = heartbeat;
                peer.gaps.record(now_ms, MAX_ENTRY_GAP_MS);
                has_reappeared
            }
            Err(at) => {
                self.peers.insert(
                    at,
                    Peer {
                        heartbeat,
                        gaps: HeartbeatGaps::new(now_ms, FIRST_ENTRY_GAP_MS),
                    },
                );
                true
            }
        }
    }

    /// Last heartbeats of the entries that have not timed out.
    pub fn live_entries(&self, now_ms: u64) -> impl Iterator<Item = &EntryHeartbeat> {
        self.peers
            .iter()
            .filter(move |peer| peer.is_live(now_ms))
            .map(|peer| &peer.heartbeat)
    }

    /// Last heartbeats of the entries that have not timed out, if received at `since_ms` or
    /// later.
    pub fn live_entries_since(
        &self,
        since_ms: u64,
        now_ms: u64,
    ) -> impl Iterator<Item = &EntryHeartbeat> {
        let live = self.peers.iter().filter(move |peer| peer.is_live(now_ms));
        live.filter(move |peer| peer.gaps.last_received_ms() >= since_ms)
            .map(|peer| &peer.heartbeat)
    }

    /// Time since the last heartbeat of the entry `name`, in ms; None if there was none.
    pub fn silent_ms(&self, name: &str, now_ms: u64) -> Option<u64> {
        let at = self
            .peers
            .binary_search_by(|peer| peer.heartbeat.name.as_str().cmp(name))
            .ok()?;
        Some(self.peers[at].gaps.silent_ms(now_ms))
    }

    /// Whether another entry of `failure_domain` reads the store on behalf of the entry
    /// `own`, whose records of the replicas are `age_ms` old.
    ///
    /// Normally one entry of each failure domain reads: the first by rendezvous rank,
    /// which every entry computes alike. Entries that can't reach the store or have
    /// timed out are left out of the ranking.
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
        let rank = rendezvous_rank(own, readers, READER_RANK_SEED) as u64;
        let fallback_age_ms = READER_FALLBACK_MS + READER_STAGGER_MS * rank.saturating_sub(1);
        rank > 0 && age_ms < fallback_age_ms
    }

    /// Rank of the entry `own` among the live entries of `failure_domain` that may read
    /// the listing of a topic; those that can't reach the store come last.
    pub fn listing_rank(
        &self,
        own: &str,
        own_has_store: bool,
        failure_domain: &str,
        now_ms: u64,
    ) -> usize {
        let in_domain = || {
            self.live_entries(now_ms)
                .filter(|peer| peer.failure_domain == failure_domain)
        };
        let equals = in_domain()
            .filter(|peer| peer.has_store == own_has_store)
            .map(|peer| peer.name.as_str());
        let preferred = in_domain().filter(|peer| peer.has_store && !own_has_store);
        preferred.count() + rendezvous_rank(own, equals, READER_RANK_SEED)
    }

    /// Last heartbeats of all entries ever received, timed out or not, so that an entry
    /// that recovers is sent heartbeats again.
    pub fn all_entries(&self) -> impl Iterator<Item = &EntryHeartbeat> {
        self.peers.iter().map(|peer| &peer.heartbeat)
    }
}
