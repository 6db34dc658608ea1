use std::net::IpAddr;

use crate::fleet::EngineLoad;
use crate::fleet::ReplicaRecord;
use crate::fleet::ReplicaState;

/// Time between a send and its first trace in a load report, in ms: two link
/// delays between regions and the pause of a poll.
const LOAD_REPORT_DELAY_MS: u64 = 6;

/// Age at which a load report tells nothing any more, in ms: several times the
/// interval of the reports.
const LOAD_STALE_MS: u64 = 700;

/// First pause after a failed connection, in ms; doubles up to the longest.
const MIN_BACKOFF_MS: u64 = 250;

/// Longest pause after failed connections, in ms: about the time after which a
/// dead replica drops out of the list.
const MAX_BACKOFF_MS: u64 = 4_000;

/// Weight of the newest outcome in the share of failures.
const FAILURE_WEIGHT: f64 = 0.15;

/// Time after which an unused replica's share of failures has halved, in ms.
const FAILURE_HALF_LIFE_MS: f64 = 3_000.0;

/// Weight of the newest answer in the mean service time.
const LATENCY_WEIGHT: f64 = 0.1;

/// Weight of the newest observation in the mean delay beyond the prediction.
const DELAY_WEIGHT: f64 = 0.3;

/// Time after which an unused replica's mean delay has halved, in ms.
const DELAY_HALF_LIFE_MS: f64 = 1_500.0;

/// Delay below which a late answer says nothing of the replica, in ms: about the
/// error of a prediction.
const MIN_EXCESS_DELAY_MS: f64 = 150.0;

/// A request at a replica that has not begun to answer.
#[derive(Debug)]
struct PendingRequest {
    send_id: u64,
    sent_ms: u64,
    predicted_ms: f64,
}

/// Index of a replica in the table.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ReplicaKey(u32);

/// A replica with what was observed of it.
#[derive(Debug)]
pub struct Replica {
    /// What it registered.
    pub record: ReplicaRecord,
    /// Whether it left the list.
    pub is_removed: bool,
    /// Steady time of the last heartbeat seen.
    pub last_heartbeat_ms: u64,
    /// Requests of this process that are at it.
    pub in_flight: u32,
    load: Option<EngineLoad>,
    sent_since_load_ms: Vec<u64>,
    ended_since_load: u32,
    excluded_until_ms: u64,
    backoff_ms: u64,
    failure_ratio: f64,
    failure_ratio_updated_ms: u64,
    mean_latency_ms: f64,
    pending: Vec<PendingRequest>,
    mean_excess_delay_ms: f64,
    mean_excess_delay_updated_ms: u64,
}

impl Replica {
    fn new(record: ReplicaRecord, now_ms: u64) -> Self {
        Self {
            record,
            is_removed: false,
            last_heartbeat_ms: now_ms,
            in_flight: 0,
            load: None,
            sent_since_load_ms: Vec::new(),
            ended_since_load: 0,
            excluded_until_ms: 0,
            backoff_ms: MIN_BACKOFF_MS,
            failure_ratio: 0.0,
            failure_ratio_updated_ms: now_ms,
            mean_latency_ms: 0.0,
            pending: Vec::new(),
            mean_excess_delay_ms: 0.0,
            mean_excess_delay_updated_ms: now_ms,
        }
    }

    /// Whether new work may be sent to it.
    pub fn is_usable(&self, now_ms: u64) -> bool {
        !self.is_removed
            && self.record.state == ReplicaState::Ready
            && now_ms >= self.excluded_until_ms
            && self
                .recent_load(now_ms)
                .is_none_or(|load| load.is_up && !load.is_loading)
    }

    /// Load report that is recent enough to decide on.
    pub fn recent_load(&self, now_ms: u64) -> Option<&EngineLoad> {
        self.load
            .as_ref()
            .filter(|load| now_ms.saturating_sub(load.received_ms) < LOAD_STALE_MS)
    }

    /// Requests at the replica by the last report, the own sends since then, and
    /// those of the other entries at `peer_requests_per_ms`.
    pub fn estimated_requests(&self, peer_requests_per_ms: f64, now_ms: u64) -> Option<u32> {
        let load = self.recent_load(now_ms)?;
        let sent = u32::try_from(self.sent_since_load_ms.len()).unwrap_or(u32::MAX);
        let others = peer_requests_per_ms * now_ms.saturating_sub(load.received_ms) as f64;
        let total = load.running + load.queued + sent + others as u32;
        Some(
            total
                .saturating_sub(self.ended_since_load)
                .max(self.in_flight),
        )
    }

    /// Whether a request would begin at once, by the latest report.
    pub fn has_free_slots(&self, peer_requests_per_ms: f64, now_ms: u64) -> bool {
        self.estimated_requests(peer_requests_per_ms, now_ms)
            .is_some_and(|requests| requests * 2 < self.record.slots)
    }

    /// Version of the weights of `model`, by the latest report.
    pub fn weights_version(&self, model: &str, now_ms: u64) -> u64 {
        if let Some(load) = self.recent_load(now_ms) {
            return load.version;
        }
        self.record
            .weights
            .iter()
            .find(|weights| weights.0 == model)
            .map_or(0, |weights| weights.1)
    }

    /// Share of recent requests that failed, fading while it is unused.
    pub fn failure_ratio(&self, now_ms: u64) -> f64 {
        let idle_ms = now_ms.saturating_sub(self.failure_ratio_updated_ms) as f64;
        self.failure_ratio * 0.5f64.powf(idle_ms / FAILURE_HALF_LIFE_MS)
    }

    /// Time by which it answers later than predicted, by past answers and by
    /// those that are overdue now.
    pub fn excess_delay_ms(&self, now_ms: u64) -> f64 {
        let overdue = self
            .pending
            .iter()
            .map(|pending| now_ms.saturating_sub(pending.sent_ms) as f64 - pending.predicted_ms);
        let worst = overdue.fold(self.mean_excess_delay_ms(now_ms), f64::max);
        if worst < MIN_EXCESS_DELAY_MS {
            0.0
        } else {
            worst
        }
    }

    fn mean_excess_delay_ms(&self, now_ms: u64) -> f64 {
        let idle_ms = now_ms.saturating_sub(self.mean_excess_delay_updated_ms) as f64;
        self.mean_excess_delay_ms * 0.5f64.powf(idle_ms / DELAY_HALF_LIFE_MS)
    }

    fn record_delay(&mut self, send_id: u64, now_ms: u64) {
        let Some(at) = self.pending.iter().position(|p| p.send_id == send_id) else {
            return;
        };
        let pending = self.pending.swap_remove(at);
        let took_ms = now_ms.saturating_sub(pending.sent_ms) as f64;
        let newest_ms = (took_ms - pending.predicted_ms).max(0.0);
        let past_ms = self.mean_excess_delay_ms(now_ms);
        self.mean_excess_delay_ms = past_ms + DELAY_WEIGHT * (newest_ms - past_ms);
        self.mean_excess_delay_updated_ms = now_ms;
    }

    /// Mean time of its answers; 0 before the first.
    pub fn mean_latency_ms(&self) -> f64 {
        self.mean_latency_ms
    }

    fn record_load(&mut self, load: EngineLoad) {
        let covered_ms = load.received_ms.saturating_sub(LOAD_REPORT_DELAY_MS);
        self.sent_since_load_ms
            .retain(|sent_ms| *sent_ms > covered_ms);
        self.ended_since_load = 0;
        if load.is_up {
            self.backoff_ms = MIN_BACKOFF_MS;
        }
        self.load = Some(load);
    }

    fn record_outcome(&mut self, failed: bool, now_ms: u64) {
        let past = self.failure_ratio(now_ms);
        let newest = if failed { 1.0 } else { 0.0 };
        self.failure_ratio = past + FAILURE_WEIGHT * (newest - past);
        self.failure_ratio_updated_ms = now_ms;
    }
}

/// The replicas of all services.
#[derive(Debug, Default)]
pub struct ReplicaTable {
    replicas: Vec<Replica>,
    last_send_id: u64,
}

impl ReplicaTable {
    /// Takes a replica's newest record; returns its key and whether it is a new
    /// incarnation.
    pub fn register(&mut self, record: ReplicaRecord, now_ms: u64) -> (ReplicaKey, bool) {
        if let Some(key) = self.find(&record.id) {
            let replica = &mut self.replicas[key.0 as usize];
            let is_new_incarnation = replica.is_removed
                || replica.record.born_unix_ms != record.born_unix_ms
                || replica.record.address != record.address;
            if is_new_incarnation {
                let in_flight = replica.in_flight;
                *replica = Replica::new(record, now_ms);
                replica.in_flight = in_flight;
            } else {
                replica.record = record;
                replica.last_heartbeat_ms = now_ms;
            }
            return (key, is_new_incarnation);
        }
        let free = |replica: &Replica| replica.is_removed && replica.in_flight == 0;
        match self.replicas.iter().position(free) {
            Some(at) => {
                self.replicas[at] = Replica::new(record, now_ms);
                (replica_key(at), true)
            }
            None => {
                self.replicas.push(Replica::new(record, now_ms));
                (replica_key(self.replicas.len() - 1), true)
            }
        }
    }

    /// Marks the replica `id` as gone; returns whether it was known.
    pub fn remove(&mut self, id: &str) -> bool {
        match self.find(id) {
            Some(key) if !self.replicas[key.0 as usize].is_removed => {
                self.replicas[key.0 as usize].is_removed = true;
                true
            }
            _ => false,
        }
    }

    fn find(&self, id: &str) -> Option<ReplicaKey> {
        self.replicas
            .iter()
            .position(|replica| replica.record.id == id)
            .map(replica_key)
    }

    /// Replica under `key`.
    pub fn get(&self, key: ReplicaKey) -> &Replica {
        &self.replicas[key.0 as usize]
    }

    /// Replicas that are still listed.
    pub fn listed(&self) -> impl Iterator<Item = (ReplicaKey, &Replica)> {
        self.replicas
            .iter()
            .enumerate()
            .filter(|(_, replica)| !replica.is_removed)
            .map(|(at, replica)| (replica_key(at), replica))
    }

    /// Takes a load report from the endpoint process at `ip`.
    pub fn record_load(&mut self, ip: IpAddr, port: u16, load: EngineLoad) {
        for replica in &mut self.replicas {
            let address = replica.record.address;
            if !replica.is_removed && address.ip() == ip && address.port() == port {
                replica.record_load(load);
            }
        }
    }

    /// Counts a request sent to a replica; returns the id of the send.
    pub fn record_send(&mut self, key: ReplicaKey, predicted_ms: f64, now_ms: u64) -> u64 {
        self.last_send_id += 1;
        let replica = &mut self.replicas[key.0 as usize];
        replica.in_flight += 1;
        replica.sent_since_load_ms.push(now_ms);
        replica.pending.push(PendingRequest {
            send_id: self.last_send_id,
            sent_ms: now_ms,
            predicted_ms,
        });
        self.last_send_id
    }

    /// Notes that the replica began to answer a send.
    pub fn record_answer_start(&mut self, key: ReplicaKey, send_id: u64, now_ms: u64) {
        self.replicas[key.0 as usize].record_delay(send_id, now_ms);
    }

    /// Counts a request that is no longer at a replica.
    pub fn record_end(&mut self, key: ReplicaKey, send_id: u64, now_ms: u64) {
        let replica = &mut self.replicas[key.0 as usize];
        replica.record_delay(send_id, now_ms);
        replica.in_flight = replica.in_flight.saturating_sub(1);
        replica.ended_since_load += 1;
    }

    /// Counts an answer that took `latency_ms`.
    pub fn record_answer(&mut self, key: ReplicaKey, latency_ms: f64, failed: bool, now_ms: u64) {
        let replica = &mut self.replicas[key.0 as usize];
        replica.record_outcome(failed, now_ms);
        replica.backoff_ms = MIN_BACKOFF_MS;
        if failed {
            return;
        }
        replica.mean_latency_ms = if replica.mean_latency_ms == 0.0 {
            latency_ms
        } else {
            replica.mean_latency_ms + LATENCY_WEIGHT * (latency_ms - replica.mean_latency_ms)
        };
    }

    /// Counts a request that was sent and got no whole answer.
    pub fn record_incomplete_answer(&mut self, key: ReplicaKey, now_ms: u64) {
        self.replicas[key.0 as usize].record_outcome(true, now_ms);
    }

    /// Counts a connection that could not be opened: no work for a while.
    pub fn record_connect_failure(&mut self, key: ReplicaKey, now_ms: u64) {
        let replica = &mut self.replicas[key.0 as usize];
        if now_ms >= replica.excluded_until_ms {
            replica.excluded_until_ms = now_ms + replica.backoff_ms;
            replica.backoff_ms = (replica.backoff_ms * 2).min(MAX_BACKOFF_MS);
        }
    }

    /// Counts an answer by another replica at this address: no work until the
    /// list says more.
    pub fn record_wrong_replica(&mut self, key: ReplicaKey, now_ms: u64) {
        self.replicas[key.0 as usize].excluded_until_ms = now_ms + MAX_BACKOFF_MS;
    }

    /// Counts a refusal for lack of room.
    pub fn record_refusal(&mut self, key: ReplicaKey, now_ms: u64) {
        let replica = &mut self.replicas[key.0 as usize];
        replica.excluded_until_ms = replica.excluded_until_ms.max(now_ms + MIN_BACKOFF_MS / 2);
    }
}

fn replica_key(index: usize) -> ReplicaKey {
    ReplicaKey(u32::try_from(index).unwrap_or(u32::MAX))
}
