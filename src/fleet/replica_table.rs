use std::collections::VecDeque;
use std::net::IpAddr;

use crate::fleet::Catalog;
use crate::fleet::ColdTimes;
use crate::fleet::EngineLoad;
use crate::fleet::ReplicaNotice;
use crate::fleet::ReplicaRecord;
use crate::fleet::ReplicaState;
use crate::fleet::incarnation::Incarnation;
use crate::fleet::kept_pauses::KeptPauses;
use crate::fleet::kept_pauses::ReplicaPause;

/// Time between the send of a request and the first load report that can include it, in
/// ms: two link delays between regions and the pause of one poll.
const LOAD_REPORT_DELAY_MS: u64 = 6;

/// Age from which a load report is ignored, in ms: several times the report interval.
const LOAD_STALE_MS: u64 = 700;

/// Time by which the record of a replica has to be newer than its last load report to show
/// that it runs without its endpoint process, in ms, and age up to which the record shows
/// that: about two intervals at which records are written, and their way.
const RECORD_NEWER_MS: u64 = 2_500;

/// First pause after a failed connection, in ms; each further failure doubles it.
const MIN_BACKOFF_MS: u64 = 250;

/// Longest pause after failed connections, in ms: about the time after which a failed
/// replica is removed from the list.
const MAX_BACKOFF_MS: u64 = 4_000;

/// Time for which the last send to a removed replica is kept, in ms: more than the period in
/// which the sends to a cold replica are limited.
const SENDS_KEPT_MS: u64 = 1_000;

/// Weight of the latest outcome in the failure ratio.
const FAILURE_WEIGHT: f64 = 0.15;

/// Half-life of the failure ratio of an unused replica, in ms.
const FAILURE_HALF_LIFE_MS: f64 = 3_000.0;

/// Weight of the latest answer in the mean latency.
const LATENCY_WEIGHT: f64 = 0.1;

/// Weight of the latest observation in the mean excess delay.
const DELAY_WEIGHT: f64 = 0.3;

/// Half-life of the mean excess delay of an unused replica, in ms.
const DELAY_HALF_LIFE_MS: f64 = 1_500.0;

/// Excess delay below which a late answer is not attributed to the replica, in ms:
/// about the error of a prediction.
const MIN_EXCESS_DELAY_MS: f64 = 150.0;

/// Most incarnations kept that have said that they are leaving; more than leave before
/// their records are gone.
const MAX_LEAVING: usize = 1_024;

/// A request that was sent to a replica and whose answer has not begun.
#[derive(Debug)]
struct PendingRequest {
    send_id: u64,
    sent_ms: u64,
    predicted_ms: f64,
}

/// Index of a replica in the table.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ReplicaKey(u32);

/// A replica, with the health and load that this process observed.
///
/// The excess delay is the time by which answers begin later than predicted.
#[derive(Debug)]
pub struct Replica {
    /// Its latest registration.
    pub record: ReplicaRecord,
    /// Whether it was removed from the list of replicas.
    pub is_removed: bool,
    /// Monotonic time at which its latest registration was received.
    pub last_heartbeat_ms: u64,
    /// Requests of this process that the replica is handling.
    pub in_flight: u32,
    /// When it is cold, and the last send to it.
    pub cold: ColdTimes,
    load: Option<EngineLoad>,
    // Times of the sends that the last load report does not include.
    sent_since_load_ms: Vec<u64>,
    // Requests of this process that have ended since the last load report.
    ended_since_load: u32,
    // Time at which an event or an answer last arrived from it.
    last_answer_ms: u64,
    // Whether it was silent when that was last checked.
    was_silent: bool,
    // Time until which it gets no requests.
    excluded_until_ms: u64,
    // Whether its answers have said that this incarnation is leaving.
    is_leaving: bool,
    // Time until which it wants nothing from this process, and when the request was sent
    // whose answer said so.
    paused_until_ms: u64,
    pause_sent_ms: u64,
    // Whether the first request after a pause has not been answered yet, and its send, if it
    // was sent.
    awaits_probe: bool,
    probe_send_id: Option<u64>,
    // Pause after the next failed connection.
    backoff_ms: u64,
    // Exponentially weighted, as of `failure_ratio_updated_ms`.
    failure_ratio: f64,
    failure_ratio_updated_ms: u64,
    mean_latency_ms: f64,
    pending: Vec<PendingRequest>,
    // Exponentially weighted, as of `mean_excess_delay_updated_ms`.
    mean_excess_delay_ms: f64,
    mean_excess_delay_updated_ms: u64,
}

impl Replica {
    fn new(record: ReplicaRecord, now_ms: u64) -> Self {
        Self {
            cold: ColdTimes::new(record.cold_remaining_ms, now_ms),
            record,
            is_removed: false,
            last_heartbeat_ms: now_ms,
            in_flight: 0,
            load: None,
            sent_since_load_ms: Vec::new(),
            ended_since_load: 0,
            last_answer_ms: 0,
            was_silent: false,
            excluded_until_ms: 0,
            is_leaving: false,
            paused_until_ms: 0,
            pause_sent_ms: 0,
            awaits_probe: false,
            probe_send_id: None,
            backoff_ms: MIN_BACKOFF_MS,
            failure_ratio: 0.0,
            failure_ratio_updated_ms: now_ms,
            mean_latency_ms: 0.0,
            pending: Vec::new(),
            mean_excess_delay_ms: 0.0,
            mean_excess_delay_updated_ms: now_ms,
        }
    }

    /// Whether new requests may be sent to it.
    pub fn is_usable(&self, now_ms: u64) -> bool {
        !self.is_removed
            && self.record.state == ReplicaState::Ready
            && !self.is_leaving
            && now_ms >= self.excluded_until_ms
            && !self.is_paused(now_ms)
            && self.probe_send_id.is_none()
            && self
                .recent_load(now_ms)
                .is_none_or(|load| load.is_up && !load.is_loading)
    }

    /// Whether its host seems to stand still: its reports stay away, and no event or answer
    /// has come from it since.
    ///
    /// A record that is newer than the last report shows that only the endpoint process is
    /// away.
    pub fn is_silent(&self, now_ms: u64) -> bool {
        let Some(load) = &self.load else {
            return false;
        };
        let last_heard_ms = load.received_ms.max(self.last_answer_ms);
        let has_newer_record = self.last_heartbeat_ms >= load.received_ms + RECORD_NEWER_MS
            && now_ms.saturating_sub(self.last_heartbeat_ms) < RECORD_NEWER_MS;
        now_ms.saturating_sub(last_heard_ms) >= LOAD_STALE_MS && !has_newer_record
    }

    /// Whether an answer has said that this incarnation is leaving.
    pub fn is_leaving(&self) -> bool {
        self.is_leaving
    }

    /// Time since its last load report, in ms; None if there was none.
    pub fn report_age_ms(&self, now_ms: u64) -> Option<u64> {
        let load = self.load.as_ref()?;
        Some(now_ms.saturating_sub(load.received_ms))
    }

    /// Whether it wants nothing from this process now.
    pub fn is_paused(&self, now_ms: u64) -> bool {
        now_ms < self.paused_until_ms
    }

    /// Time until which it wants nothing from this process; 0 without a pause. None if it
    /// takes no requests after that either.
    pub fn pause_end_ms(&self) -> Option<u64> {
        let takes_requests =
            !self.is_removed && self.record.state == ReplicaState::Ready && !self.is_leaving;
        takes_requests.then_some(self.paused_until_ms)
    }

    /// Last load report, if it is recent enough to rely on.
    pub fn recent_load(&self, now_ms: u64) -> Option<&EngineLoad> {
        self.load
            .as_ref()
            .filter(|load| now_ms.saturating_sub(load.received_ms) < LOAD_STALE_MS)
    }

    /// Last load report, if it includes a request that was sent at `sent_ms`.
    pub fn load_after(&self, sent_ms: u64) -> Option<&EngineLoad> {
        self.load
            .as_ref()
            .filter(|load| load.received_ms > sent_ms.saturating_add(LOAD_REPORT_DELAY_MS))
    }

    /// Estimated requests at the replica: those of the last load report, the sends of
    /// this process since then, and those of the other entries at
    /// `peer_requests_per_ms`. None without a recent report.
    pub fn estimated_requests(&self, peer_requests_per_ms: f64, now_ms: u64) -> Option<u32> {
        let load = self.recent_load(now_ms)?;
        let sent = u32::try_from(self.sent_since_load_ms.len()).unwrap_or(u32::MAX);
        let others = peer_requests_per_ms * now_ms.saturating_sub(load.received_ms) as f64;
        // An engine may report any numbers.
        let reported = load.running.saturating_add(load.queued);
        let total = reported.saturating_add(sent).saturating_add(others as u32);
        Some(
            total
                .saturating_sub(self.ended_since_load)
                .max(self.in_flight),
        )
    }

    /// Estimated requests at the replica whose first event is still to come: those of this
    /// process, or if that is more, those that waited by a recent load report and what this
    /// process has sent since.
    pub fn unstarted_requests(&self, now_ms: u64) -> u32 {
        let own = u32::try_from(self.pending.len()).unwrap_or(u32::MAX);
        let reported = self.recent_load(now_ms).map_or(0, |load| {
            let sent = u32::try_from(self.sent_since_load_ms.len()).unwrap_or(u32::MAX);
            load.queued.saturating_add(sent)
        });
        own.max(reported.saturating_sub(self.ended_since_load))
    }

    /// Whether less than half of the slots are in use, so that a request begins at once;
    /// false without a recent report.
    pub fn has_free_slots(&self, peer_requests_per_ms: f64, now_ms: u64) -> bool {
        self.estimated_requests(peer_requests_per_ms, now_ms)
            .is_some_and(|requests| requests.saturating_mul(2) < self.record.slots)
    }

    /// Version of the loaded weights of `model`, from a recent load report or else from
    /// the registration; 0 when none are loaded.
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

    /// Share of recent requests that failed, from 0 to 1; decays while the replica is
    /// unused.
    pub fn failure_ratio(&self, now_ms: u64) -> f64 {
        let idle_ms = now_ms.saturating_sub(self.failure_ratio_updated_ms) as f64;
        self.failure_ratio * 0.5f64.powf(idle_ms / FAILURE_HALF_LIFE_MS)
    }

    /// Time by which it answers later than predicted, in ms: the largest of the mean of
    /// past answers and the delays of the answers that are overdue now.
    pub fn excess_delay_ms(&self, now_ms: u64) -> f64 {
        let overdue_ms = self
            .pending
            .iter()
            .map(|pending| now_ms.saturating_sub(pending.sent_ms) as f64 - pending.predicted_ms);
        let worst_ms = overdue_ms.fold(self.mean_excess_delay_ms(now_ms), f64::max);
        if worst_ms < MIN_EXCESS_DELAY_MS {
            0.0
        } else {
            worst_ms
        }
    }

    /// Mean excess delay of past answers, decayed up to `now_ms`.
    fn mean_excess_delay_ms(&self, now_ms: u64) -> f64 {
        let idle_ms = now_ms.saturating_sub(self.mean_excess_delay_updated_ms) as f64;
        self.mean_excess_delay_ms * 0.5f64.powf(idle_ms / DELAY_HALF_LIFE_MS)
    }

    /// Adds the excess delay of a pending send to the mean, unless it was added before.
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

    /// Mean latency of its answers, in ms; 0 before the first.
    pub fn mean_latency_ms(&self) -> f64 {
        self.mean_latency_ms
    }

    /// Applies a load report; the sends that it includes are no longer counted in addition.
    fn record_load(&mut self, load: EngineLoad) {
        let covered_ms = load.received_ms.saturating_sub(LOAD_REPORT_DELAY_MS);
        self.sent_since_load_ms
            .retain(|sent_ms| *sent_ms > covered_ms);
        self.ended_since_load = 0;
        // An engine that was down may have started anew before its record says so.
        if load.is_up && self.load.as_ref().is_some_and(|known| !known.is_up) {
            self.cold.record_return(load.received_ms);
        }
        if load.is_up {
            self.backoff_ms = MIN_BACKOFF_MS;
        }
        self.load = Some(load);
    }

    /// Its pause, which outlasts its record.
    fn pause(&self) -> ReplicaPause {
        ReplicaPause {
            until_ms: self.paused_until_ms,
            sent_ms: self.pause_sent_ms,
            awaits_probe: self.awaits_probe,
        }
    }

    /// Continues a pause that was known before its record came back.
    fn set_pause(&mut self, pause: ReplicaPause) {
        self.paused_until_ms = pause.until_ms;
        self.pause_sent_ms = pause.sent_ms;
        self.awaits_probe = pause.awaits_probe;
    }

    /// Records that the first request after a pause was answered or has ended; the others
    /// follow unless the replica wants another pause.
    fn record_probe_end(&mut self, send_id: u64, now_ms: u64) {
        if self.probe_send_id == Some(send_id) {
            self.probe_send_id = None;
            self.awaits_probe = self.is_paused(now_ms);
        }
    }

    /// Updates the failure ratio with the outcome of one request.
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
    // Incarnations whose answers have said that they are leaving, oldest first. Kept apart
    // from the replicas, as a record may be removed and come back.
    leaving: VecDeque<Incarnation>,
    kept_pauses: KeptPauses,
    last_send_id: u64,
}

impl ReplicaTable {
    /// Applies a replica's latest registration; returns its key and whether it is a new
    /// replica or a new incarnation. What was observed of an earlier incarnation is
    /// discarded.
    pub fn register(&mut self, record: ReplicaRecord, now_ms: u64) -> (ReplicaKey, bool) {
        let is_leaving = self.leaving.contains(&Incarnation::of(&record));
        let (key, is_new) = self.insert_or_update(record, now_ms);
        self.replicas[key.0 as usize].is_leaving = is_leaving;
        (key, is_new)
    }

    fn insert_or_update(&mut self, record: ReplicaRecord, now_ms: u64) -> (ReplicaKey, bool) {
        if let Some(key) = self.find(&record.id) {
            let replica = &mut self.replicas[key.0 as usize];
            let is_new_incarnation = replica.is_removed
                || replica.record.born_unix_ms != record.born_unix_ms
                || replica.record.address != record.address;
            if is_new_incarnation {
                let mut newer = Replica::new(record, now_ms);
                newer.in_flight = replica.in_flight;
                newer.cold.keep_last_send(&replica.cold);
                // A record that was removed and comes back ends no pause.
                if newer.record.born_unix_ms == replica.record.born_unix_ms {
                    newer.set_pause(replica.pause());
                }
                *replica = newer;
            } else {
                replica
                    .cold
                    .record_remaining(record.cold_remaining_ms, now_ms);
                replica.record = record;
                replica.last_heartbeat_ms = now_ms;
            }
            return (key, is_new_incarnation);
        }
        let mut replica = Replica::new(record, now_ms);
        if let Some(pause) = self.kept_pauses.take(&Incarnation::of(&replica.record)) {
            replica.set_pause(pause);
        }
        // The sends to a replica that is back within a second still count.
        let is_reusable = |replica: &Replica| {
            let sent_ms = replica.cold.last_sent_ms();
            replica.is_removed
                && replica.in_flight == 0
                && sent_ms.is_none_or(|sent_ms| now_ms.saturating_sub(sent_ms) > SENDS_KEPT_MS)
        };
        match self.replicas.iter().position(is_reusable) {
            Some(at) => {
                let removed = std::mem::replace(&mut self.replicas[at], replica);
                let incarnation = Incarnation::of(&removed.record);
                self.kept_pauses.keep(incarnation, removed.pause(), now_ms);
                (replica_key(at), true)
            }
            None => {
                self.replicas.push(replica);
                (replica_key(self.replicas.len() - 1), true)
            }
        }
    }

    /// Marks the replica `id` as removed; returns whether it was listed.
    pub fn remove(&mut self, id: &str) -> bool {
        match self.find(id) {
            Some(key) if !self.replicas[key.0 as usize].is_removed => {
                self.replicas[key.0 as usize].is_removed = true;
                true
            }
            _ => false,
        }
    }

    /// Records that the replicas of `failure_domain` come into use again, and may be cold.
    pub fn record_return(&mut self, failure_domain: &str, now_ms: u64) {
        let of_domain = |replica: &&mut Replica| replica.record.failure_domain == failure_domain;
        for replica in self.replicas.iter_mut().filter(of_domain) {
            replica.cold.record_return(now_ms);
        }
    }

    /// Records that a replica was in use before this process knew it.
    pub fn record_earlier_use(&mut self, key: ReplicaKey) {
        self.replicas[key.0 as usize].cold.record_earlier_use();
    }

    /// Record of the replica `id`, unless it was removed.
    pub fn record(&self, id: &str) -> Option<&ReplicaRecord> {
        let replica = self.get(self.find(id)?);
        (!replica.is_removed).then_some(&replica.record)
    }

    /// Key of the replica `id`, removed or not.
    fn find(&self, id: &str) -> Option<ReplicaKey> {
        self.replicas
            .iter()
            .position(|replica| replica.record.id == id)
            .map(replica_key)
    }

    /// Replica with that key, also one that was removed.
    pub fn get(&self, key: ReplicaKey) -> &Replica {
        &self.replicas[key.0 as usize]
    }

    /// Records of the listed replicas that are in use by `catalog`, the configuration in force.
    pub fn in_use(&self, catalog: Option<&Catalog>) -> impl Iterator<Item = &ReplicaRecord> {
        let listed = self.listed().map(|(_, replica)| &replica.record);
        listed.filter(move |record| record.is_in_use(catalog))
    }

    /// Replicas that were not removed, those of services that no configuration names included:
    /// whoever looks for one by its address or id has to ask [`ReplicaRecord::is_in_use`] too.
    pub fn listed(&self) -> impl Iterator<Item = (ReplicaKey, &Replica)> {
        self.replicas
            .iter()
            .enumerate()
            .filter(|(_, replica)| !replica.is_removed)
            .map(|(at, replica)| (replica_key(at), replica))
    }

    /// Requests of this process that replicas of a failure domain are handling, those included
    /// that are no longer listed.
    pub fn in_flight_in(&self, failure_domain: &str) -> u32 {
        let replicas = self.replicas.iter();
        replicas
            .filter(|replica| replica.record.failure_domain == failure_domain)
            .fold(0, |sum, replica| sum.saturating_add(replica.in_flight))
    }

    /// Whether most replicas of `service` that ever reported their load still do. Otherwise
    /// the link of this process fails, or the process itself stood still, and the silence of
    /// a replica says nothing of it.
    pub fn has_reports(&self, service: &str, now_ms: u64) -> bool {
        let of_service = self.listed().filter(|(_, r)| r.record.service == service);
        let (mut known, mut recent) = (0u32, 0u32);
        for (_, replica) in of_service {
            known += u32::from(replica.load.is_some());
            recent += u32::from(replica.recent_load(now_ms).is_some());
        }
        recent * 2 >= known
    }

    /// Replicas that have become silent, or are no longer, since the last call.
    pub fn silence_changes(&mut self, now_ms: u64) -> Vec<ReplicaKey> {
        let mut changed = Vec::new();
        for (at, replica) in self.replicas.iter_mut().enumerate() {
            let is_silent = !replica.is_removed && replica.is_silent(now_ms);
            if std::mem::replace(&mut replica.was_silent, is_silent) != is_silent {
                changed.push(replica_key(at));
            }
        }
        changed
    }

    /// Records a load report of the endpoint process at `ip` for the replica at `port`.
    pub fn record_load(&mut self, ip: IpAddr, port: u16, load: EngineLoad) {
        for replica in &mut self.replicas {
            let address = replica.record.address;
            if !replica.is_removed && address.ip() == ip && address.port() == port {
                replica.record_load(load);
            }
        }
    }

    /// Records a request sent to a replica; returns the id of the send.
    pub fn record_send(&mut self, key: ReplicaKey, predicted_ms: f64, now_ms: u64) -> u64 {
        self.last_send_id += 1;
        let replica = &mut self.replicas[key.0 as usize];
        replica.in_flight += 1;
        if replica.awaits_probe {
            replica.probe_send_id = Some(self.last_send_id);
        }
        replica.cold.record_send(now_ms);
        replica.sent_since_load_ms.push(now_ms);
        replica.pending.push(PendingRequest {
            send_id: self.last_send_id,
            sent_ms: now_ms,
            predicted_ms,
        });
        self.last_send_id
    }

    /// Records that the answer to a send has begun.
    pub fn record_answer_start(&mut self, key: ReplicaKey, send_id: u64, now_ms: u64) {
        let replica = &mut self.replicas[key.0 as usize];
        replica.record_delay(send_id, now_ms);
        replica.record_probe_end(send_id, now_ms);
        replica.last_answer_ms = now_ms;
    }

    /// Records that a send has ended, with an answer or without.
    pub fn record_end(&mut self, key: ReplicaKey, send_id: u64, now_ms: u64) {
        let replica = &mut self.replicas[key.0 as usize];
        replica.record_delay(send_id, now_ms);
        replica.record_probe_end(send_id, now_ms);
        replica.in_flight = replica.in_flight.saturating_sub(1);
        replica.ended_since_load += 1;
    }

    /// Records an answer that took `latency_ms`; `failed` answers don't count in the mean
    /// latency.
    pub fn record_answer(&mut self, key: ReplicaKey, latency_ms: f64, failed: bool, now_ms: u64) {
        let replica = &mut self.replicas[key.0 as usize];
        replica.last_answer_ms = now_ms;
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

    /// Records a request that was sent and got no complete answer.
    pub fn record_incomplete_answer(&mut self, key: ReplicaKey, now_ms: u64) {
        self.replicas[key.0 as usize].record_outcome(true, now_ms);
    }

    /// Records a connection that could not be opened. The replica gets no requests for a
    /// pause that doubles with each failure.
    pub fn record_connect_failure(&mut self, key: ReplicaKey, now_ms: u64) {
        let replica = &mut self.replicas[key.0 as usize];
        if now_ms >= replica.excluded_until_ms {
            replica.excluded_until_ms = now_ms + replica.backoff_ms;
            replica.backoff_ms = (replica.backoff_ms * 2).min(MAX_BACKOFF_MS);
        }
    }

    /// Records that another replica answered at this address. The replica gets no requests
    /// for the longest pause, by the end of which the list should be up to date.
    pub fn record_wrong_replica(&mut self, key: ReplicaKey, now_ms: u64) {
        self.replicas[key.0 as usize].excluded_until_ms = now_ms + MAX_BACKOFF_MS;
    }

    /// Records what an answer to the incarnation `born_unix_ms` said of the replica; the
    /// request was sent at `sent_ms`. Returns whether it is the first answer that says that
    /// the incarnation is leaving.
    ///
    /// An answer sets the pause anew, unless one to a later request has set it: then it may
    /// only extend it.
    pub fn record_notice(
        &mut self,
        key: ReplicaKey,
        born_unix_ms: Option<u64>,
        notice: ReplicaNotice,
        sent_ms: u64,
        now_ms: u64,
    ) -> bool {
        let replica = &mut self.replicas[key.0 as usize];
        if replica.record.born_unix_ms != born_unix_ms {
            return false;
        }
        if let Some(pause_ms) = notice.pause_ms {
            let until_ms = now_ms + pause_ms;
            replica.awaits_probe |= pause_ms > 0;
            if sent_ms >= replica.pause_sent_ms {
                replica.pause_sent_ms = sent_ms;
                replica.paused_until_ms = until_ms;
            } else {
                replica.paused_until_ms = replica.paused_until_ms.max(until_ms);
            }
        }
        if !notice.is_leaving || replica.is_leaving {
            return false;
        }
        let leaving = Incarnation::of(&replica.record);
        self.record_leaving(&leaving.id, leaving.born_unix_ms)
    }

    /// Records that an incarnation is leaving, as one of its answers said to this process or
    /// to another; returns whether that is new.
    pub fn record_leaving(&mut self, id: &str, born_unix_ms: Option<u64>) -> bool {
        let incarnation = Incarnation {
            id: id.to_owned(),
            born_unix_ms,
        };
        if self.leaving.contains(&incarnation) {
            return false;
        }
        let mut replicas = self.replicas.iter_mut();
        if let Some(known) = replicas.find(|r| Incarnation::of(&r.record) == incarnation) {
            known.is_leaving = true;
        }
        if self.leaving.len() >= MAX_LEAVING {
            self.leaving.pop_front();
        }
        self.leaving.push_back(incarnation);
        true
    }

    /// Records that the replica refused to run a request. It gets no requests for a short
    /// pause.
    pub fn record_refusal(&mut self, key: ReplicaKey, now_ms: u64) {
        let replica = &mut self.replicas[key.0 as usize];
        replica.excluded_until_ms = replica.excluded_until_ms.max(now_ms + MIN_BACKOFF_MS / 2);
    }
}

fn replica_key(index: usize) -> ReplicaKey {
    ReplicaKey(u32::try_from(index).unwrap_or(u32::MAX))
}
