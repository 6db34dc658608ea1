//! How many requests this entry may send to a replica that has just started.
//!
//! Load pattern: a failure domain comes back, or a replica restarts, while every entry has
//! more requests than the other replicas can take. To all of them the cold replica looks
//! idle. It crashes when all entries together send it too much, and they don't confer.
//!
//! A few entries own each cold replica, by rendezvous rank among the registered ones, and
//! only these send to it, each at its own pace. The share of a view of the membership is
//! less than half of the bound, so that entries with two different views stay within it.

use crate::fleet::ColdTimes;
use crate::fleet::rendezvous_rank;
use crate::weights::mix64;

/// Largest number of entries that own a replica. More would divide the share into parts of
/// less than two requests per second; with fewer, the loss of one leaves more unused.
const MAX_OWNERS: u32 = 7;

/// Views of the membership that may be in use at once: before and after a change.
const VIEWS: u32 = 2;

/// Part of the bound, as a divisor, that is left for an entry that knows no other one.
const LONE_DIVISOR: u32 = 8;

/// Time after its start during which an entry sends nothing to cold replicas, in ms: the
/// others learn of it, and the sends of an earlier run are over a second old.
const JOIN_WAIT_MS: u64 = 1_500;

/// Period of the bound, in ms.
const PERIOD_MS: u64 = 1_000;

/// Silence after which an entry no longer counts as an owner, in ms: three heartbeats to other
/// regions at their longest interval, so that a paused process keeps its rank.
const SILENT_OWNER_MS: u64 = 3_000;

/// Bound on the requests that all entries together send to a cold replica.
#[derive(Debug, Clone, Copy)]
pub struct ColdShare {
    per_second: u32,
}

impl ColdShare {
    /// Bound of a service whose cold replicas bear `cold_per_s`; None without a limit.
    pub fn new(cold_per_s: f64, overage: f64, slack: f64) -> Option<Self> {
        if cold_per_s <= 0.0 {
            return None;
        }
        let per_second = (cold_per_s * overage.max(0.0) + slack.max(0.0)) as u32;
        Some(Self { per_second })
    }

    /// Requests that all entries together may send to one replica within any second.
    pub fn per_second(self) -> u32 {
        self.per_second
    }

    /// Whether the entry `own` may send a request to the cold replica `replica_id` now.
    ///
    /// `owners` are the entries that count, as [`cold_owners`] returns them. An entry that is
    /// not among them sends nothing, since the others do not count it.
    pub fn may_send(
        self,
        own: &str,
        owners: &[String],
        replica_id: &str,
        times: &ColdTimes,
        now_ms: u64,
    ) -> bool {
        if now_ms < JOIN_WAIT_MS || !owners.iter().any(|name| name == own) {
            return false;
        }
        let (owner_count, sends) = self.sends_of_owner(owners.len());
        let names = owners.iter().map(String::as_str);
        let rank = rendezvous_rank(own, names, replica_seed(replica_id)) as u64;
        if sends == 0 || rank >= u64::from(owner_count) {
            return false;
        }
        // No more than `sends` fit into a second that includes both of its ends.
        let interval_ms = PERIOD_MS / u64::from(sends) + 1;
        // The owners learn of the replica at the same time, and take turns.
        let first_ms = times.since_ms() + interval_ms * rank / u64::from(owner_count);
        let next_ms = times
            .last_sent_ms()
            .map_or(0, |sent_ms| sent_ms + interval_ms);
        now_ms >= first_ms.max(next_ms)
    }

    /// Number of owners among `entry_count` entries, and requests of each per second.
    fn sends_of_owner(self, entry_count: usize) -> (u32, u32) {
        let lone = self.per_second / LONE_DIVISOR;
        if entry_count <= 1 {
            return (1, lone);
        }
        let of_view = (self.per_second - lone) / VIEWS;
        let most = u32::try_from(entry_count).map_or(MAX_OWNERS, |count| count.min(MAX_OWNERS));
        let owner_counts = (1..=most).map(|owners| (owners, of_view / owners));
        owner_counts
            .max_by_key(|(owners, sends)| (owners * sends, *owners))
            .unwrap_or((1, of_view))
    }
}

/// The entries that count as owners of cold replicas: those that are registered, without those
/// that have been silent for long. `silent_ms` is the time since an entry was last heard of.
///
/// Silent entries may be cut off and still send. They are left out only where most of the
/// registered entries are heard; elsewhere all keep their ranks, so that the parts of a split
/// network do not each give out the whole share.
pub fn cold_owners(
    own: &str,
    registered: &[String],
    silent_ms: impl Fn(&str) -> u64,
) -> Vec<String> {
    let is_heard = |name: &&String| *name == own || silent_ms(name) < SILENT_OWNER_MS;
    let heard: Vec<String> = registered.iter().filter(is_heard).cloned().collect();
    if heard.len() * 2 > registered.len() {
        heard
    } else {
        registered.to_vec()
    }
}

/// Seed of the ranks of a replica's owners.
fn replica_seed(replica_id: &str) -> u64 {
    let bytes = replica_id.bytes();
    bytes.fold(0, |hash, byte| mix64(hash ^ u64::from(byte)))
}
