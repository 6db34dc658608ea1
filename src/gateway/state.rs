use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;

use rand::Rng;
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use tokio::sync::Notify;
use tokio::time::Instant;

use crate::calls::BrokenRuns;
use crate::calls::CompletedRuns;
use crate::calls::RunTimes;
use crate::calls::SuspectTable;
use crate::fleet::Catalog;
use crate::fleet::ClientLimits;
use crate::fleet::Declarations;
use crate::fleet::Evacuations;
use crate::fleet::PeerTable;
use crate::fleet::ReplicaTable;
use crate::fleet::SharedRetryBudget;
use crate::fleet::Topic;
use crate::fleet::TopicTable;
use crate::gateway::GatewaySettings;
use crate::gateway::LeavingReplica;
use crate::gateway::TopicSink;
use crate::gateway::answer_memory::AnswerMemory;
use crate::gateway::changed_suspects::ChangedSuspects;
use crate::gateway::leaving_notices::LeavingNotices;
use crate::gateway::overwritten_replicas::OverwrittenReplicas;
use crate::gateway::replicas_confirmation::ReplicasConfirmation;
use crate::gateway::request_rates::RequestRates;
use crate::gateway::required_versions::RequiredVersions;
use crate::gateway::retry_budgets::RetryBudgets;
use crate::gateway::standstill::Standstill;
use crate::gateway::store_status::StoreStatus;
use crate::gateway::usual_deadlines::UsualDeadlines;
use crate::http1::MemoryBudget;
use crate::observe::Event;
use crate::observe::LogLine;
use crate::weights::Digest;

/// Time for which a request remains suspected after a crash, in ms.
const SUSPECT_WINDOW_MS: u64 = 600_000;

/// Largest number of pairs of a suspected request, or part of a prompt, and a crash that are
/// kept: a crash adds some for each request that the replica held.
const MAX_SUSPECTS: usize = 8_192;

/// Age of the replicas' records from which they are fetched also from entries of
/// other failure domains, in ms.
const REPLICAS_OUTDATED_MS: u64 = 1_000;

/// Longest time after its start for which an entry waits for the ages of the
/// declarations before it is ready, in ms: two heartbeats of the other entries.
const DECLARATION_AGE_WAIT_MS: u64 = 600;

/// Longest time after its start for which an entry waits for the records of the entries, among
/// them those of refused causes, before it is ready, in ms.
const MEMBERS_WAIT_MS: u64 = 1_500;

/// State of an entry process, shared by its tasks.
#[derive(Debug)]
pub struct GatewayState {
    /// Settings of the process.
    pub settings: GatewaySettings,
    /// Configuration in force; None until one was read.
    pub catalog: Option<Rc<Catalog>>,
    /// Time at which it came into force on this process, in ms.
    pub catalog_adopted_ms: u64,
    /// Declared versions of weights.
    pub weights: Declarations,
    /// Failure domains that the operator has evacuated.
    pub evacuations: Evacuations,
    /// Replicas of all services.
    pub replicas: ReplicaTable,
    /// Memory for answers that are not passed on yet.
    pub answer_memory: AnswerMemory,
    /// The other entries.
    pub peers: PeerTable,
    /// Requests that are suspected of crashing replicas.
    pub suspects: SuspectTable,
    /// Random number that identifies this run of the process.
    pub incarnation: u64,
    /// Time of the stop signal.
    pub stopping_since: Option<Instant>,
    /// Time at which the stop ends what is still under way.
    pub ends_at: Option<Instant>,
    /// Number of requests of which a part has arrived and that have not ended.
    pub active_requests: usize,
    /// Whether the grace period of the stop is over, and what is under way is ended.
    pub is_ending: bool,
    /// Wakes the tasks that wait for the end of the grace period.
    pub end_notice: Rc<Notify>,
    /// Wakes the tasks that wait for a stop signal.
    pub stop_notice: Rc<Notify>,
    /// Wakes the task that reads new weights ahead.
    pub weights_notice: Rc<Notify>,
    /// Wakes the task that sends heartbeats.
    pub update_notice: Rc<Notify>,
    /// Newest records of each topic, in the order of `Topic::ALL`.
    pub(super) topic_tables: [TopicTable; 3],
    /// Retry budgets of the services.
    pub(super) retry_budgets: RetryBudgets,
    request_rates: RequestRates,
    usual_deadlines: UsualDeadlines,
    store_status: StoreStatus,
    /// Last time at which the store was found unavailable to this entry and to any
    /// that reads on its behalf.
    pub(super) store_unavailable_ms: Option<u64>,
    /// Ids of replicas that stay in use although their records expired.
    pub(super) expired_replicas: Vec<String>,
    /// Replicas whose newest records come from another writer.
    pub(super) overwritten_replicas: OverwrittenReplicas,
    /// Runs that ended without an answer, whose replicas may have crashed.
    pub(super) broken_runs: BrokenRuns,
    /// Requests that have run to an end.
    pub(super) completed_runs: CompletedRuns,
    /// Parts of prompts that were in requests which ran to an end, and the services.
    pub(super) completed_parts: CompletedRuns,
    /// Times that the requests of each route took.
    pub(super) run_times: RunTimes,
    /// Addresses to which a connection is being opened, to see whether a replica is there.
    // Ascending.
    pub(super) checked_addresses: Vec<SocketAddr>,
    /// Refused requests that this entry tries at present.
    pub(super) suspect_trials: Vec<Digest>,
    /// Requests whose suspicions the other entries are told.
    pub(super) changed_suspects: ChangedSuspects,
    /// Wakes the tasks that wait for a change of the suspects.
    pub(super) suspects_notice: Rc<Notify>,
    leaving_notices: LeavingNotices,
    /// When the process last went on after it had stood still.
    pub(super) standstill: Standstill,
    /// For each topic, whether it is being fetched from another process.
    fetching: [bool; 3],
    replicas_confirmation: ReplicasConfirmation,
    rng: Pcg64Mcg,
    started: Instant,
}

impl GatewayState {
    /// State at the start of a process.
    pub fn new(settings: GatewaySettings) -> Rc<RefCell<Self>> {
        let mut rng = Pcg64Mcg::from_os_rng();
        let budget = MemoryBudget::of_process(settings.memory_bytes, &settings.listener_loads());
        Rc::new(RefCell::new(Self {
            settings,
            catalog: None,
            catalog_adopted_ms: 0,
            weights: Declarations::default(),
            evacuations: Evacuations::default(),
            replicas: ReplicaTable::default(),
            answer_memory: AnswerMemory::new(budget),
            peers: PeerTable::default(),
            suspects: SuspectTable::new(SUSPECT_WINDOW_MS, MAX_SUSPECTS),
            incarnation: rng.random(),
            stopping_since: None,
            ends_at: None,
            active_requests: 0,
            is_ending: false,
            end_notice: Rc::new(Notify::new()),
            stop_notice: Rc::new(Notify::new()),
            weights_notice: Rc::new(Notify::new()),
            update_notice: Rc::new(Notify::new()),
            topic_tables: Default::default(),
            retry_budgets: RetryBudgets::default(),
            request_rates: RequestRates::default(),
            usual_deadlines: UsualDeadlines::default(),
            store_status: StoreStatus::default(),
            store_unavailable_ms: None,
            expired_replicas: Vec::new(),
            overwritten_replicas: OverwrittenReplicas::default(),
            broken_runs: BrokenRuns::default(),
            completed_runs: CompletedRuns::default(),
            completed_parts: CompletedRuns::default(),
            run_times: RunTimes::default(),
            checked_addresses: Vec::new(),
            suspect_trials: Vec::new(),
            changed_suspects: ChangedSuspects::default(),
            suspects_notice: Rc::new(Notify::new()),
            leaving_notices: LeavingNotices::default(),
            standstill: Standstill::default(),
            fetching: [false; 3],
            replicas_confirmation: ReplicasConfirmation::default(),
            rng,
            started: Instant::now(),
        }))
    }

    /// Monotonic time since the start of the process, in ms.
    pub fn now_ms(&self) -> u64 {
        u64::try_from(self.started.elapsed().as_millis()).unwrap_or(u64::MAX)
    }

    /// Records that the process runs, so that a standstill is noticed.
    pub(super) fn record_run(&mut self) {
        let now_ms = self.now_ms();
        self.standstill.record_run(now_ms);
    }

    /// Time from `at` until the stop ends what is under way, in ms; None without a stop.
    pub fn stop_left_ms(&self, at: Instant) -> Option<u64> {
        let left = self.ends_at?.saturating_duration_since(at);
        Some(u64::try_from(left.as_millis()).unwrap_or(u64::MAX))
    }

    /// A random number of 64 bits.
    pub fn random_bits(&mut self) -> u64 {
        self.rng.random()
    }

    /// Limits of clients' requests; the defaults until a configuration is known.
    pub fn limits(&self) -> ClientLimits {
        self.catalog
            .as_ref()
            .map_or_else(ClientLimits::default, |catalog| catalog.limits)
    }

    /// Whether the entry accepts new clients.
    pub fn is_ready(&self) -> bool {
        self.stopping_since.is_none()
            && self.catalog.is_some()
            && self.topic_tables[Topic::Replicas as usize].has_listing()
            && (self.topic_tables[Topic::Members as usize].has_listing()
                || self.now_ms() >= MEMBERS_WAIT_MS)
            && (self.weights.are_times_exact() || self.now_ms() >= DECLARATION_AGE_WAIT_MS)
    }

    /// Offsets after the last record of each topic, in the order of `Topic::ALL`.
    pub fn end_offsets(&self) -> [u64; 3] {
        Topic::ALL.map(|topic| self.topic_table(topic).end_offset())
    }

    /// Marks `topic` as being fetched from another process; false if it already is.
    pub fn try_begin_fetch(&mut self, topic: Topic) -> bool {
        !std::mem::replace(&mut self.fetching[topic as usize], true)
    }

    /// Marks the fetch of `topic` as ended.
    pub fn end_fetch(&mut self, topic: Topic) {
        self.fetching[topic as usize] = false;
    }

    /// Whether the store answered the last read of each topic by this process.
    pub fn has_store(&self) -> bool {
        self.store_status.is_available()
    }

    /// Time since the store confirmed the replicas' records, to this entry or to one
    /// that reported it in a heartbeat, in ms; time since the start if it has not yet.
    pub fn replicas_age_ms(&self) -> u64 {
        self.replicas_confirmation.age_ms(self.now_ms())
    }

    /// The same time as other entries are told; without a confirmation, a time that
    /// confirms nothing.
    pub fn reported_replicas_age_ms(&self) -> u64 {
        self.replicas_confirmation.reported_age_ms(self.now_ms())
    }

    /// Records that the store confirmed the replicas' records `age_ms` ago.
    pub fn confirm_replicas(&mut self, age_ms: u64) {
        let now_ms = self.now_ms();
        self.replicas_confirmation.confirm(age_ms, now_ms);
    }

    /// Whether another entry of the failure domain reads the store on behalf of this
    /// one, and the heartbeats keep the replicas' records recent.
    pub fn has_other_reader(&self) -> bool {
        let settings = &self.settings;
        let now_ms = self.now_ms();
        self.peers.has_other_reader(
            &settings.name,
            &settings.failure_domain,
            now_ms,
            self.replicas_age_ms(),
        )
    }

    /// Rank of this entry among those of its failure domain that may read a listing.
    pub fn listing_rank(&self) -> usize {
        let settings = &self.settings;
        let now_ms = self.now_ms();
        self.peers.listing_rank(
            &settings.name,
            self.has_store(),
            &settings.failure_domain,
            now_ms,
        )
    }

    /// Whether `topic` is also fetched from entries of other failure domains: the
    /// replicas' records once they are old, the other topics always.
    pub fn fetches_across_domains(&self, topic: Topic) -> bool {
        topic != Topic::Replicas || self.replicas_age_ms() >= REPLICAS_OUTDATED_MS
    }

    /// Records whether the store answered a read of `topic`, and logs a change.
    pub fn record_store_result(&mut self, topic: Topic, error: Option<&dyn std::error::Error>) {
        self.store_status.record_result(topic, error);
    }

    /// Whether the last read of `topic` from the store failed.
    pub fn is_topic_unavailable(&self, topic: Topic) -> bool {
        self.store_status.is_topic_unavailable(topic)
    }

    /// Retry budget of `service`.
    pub fn retry_budget(&mut self, service: &str) -> &mut SharedRetryBudget {
        self.retry_budgets.find_or_add(service, &self.settings)
    }

    /// Counts a request for `service`, whether it is then sent or refused.
    pub fn count_request(&mut self, service: &str) {
        let now_ms = self.now_ms();
        self.request_rates.record_request(service, now_ms);
    }

    /// Estimated rate of requests for `service` at all other entries, per ms: each is
    /// assumed to get as many as this one.
    pub fn peer_requests_per_ms(&self, service: &str) -> f64 {
        let others = f64::from(self.entry_count() - 1);
        self.request_rates
            .requests_per_ms(service, self.now_ms())
            .map_or(0.0, |requests_per_ms| requests_per_ms * others)
    }

    /// Number of entries that are up, this one included.
    pub fn entry_count(&self) -> u32 {
        let peers = self.peers.live_entries(self.now_ms()).count();
        u32::try_from(peers).unwrap_or(u32::MAX - 1) + 1
    }

    /// Least time that a client with `deadline_ms` left has already waited, in ms.
    pub fn waited_before_ms(&mut self, route: &str, deadline_ms: u64) -> u64 {
        self.usual_deadlines.waited_before_ms(route, deadline_ms)
    }

    /// Has the other processes told that a replica is leaving, at once and again with the
    /// next heartbeats, as a datagram may be lost.
    pub fn tell_leaving(&mut self, id: &str, born_unix_ms: Option<u64>) {
        let leaving = LeavingReplica {
            id: id.to_owned(),
            born_unix_ms,
        };
        self.leaving_notices.add(leaving);
        self.update_notice.notify_one();
    }

    /// Returns the replicas of whose leaving the other processes are told now, each with the
    /// endpoint process on its host.
    pub fn take_leaving_notices(&mut self) -> Vec<(LeavingReplica, Option<SocketAddr>)> {
        let port = self.settings.internal.port();
        let host_of = |leaving: &LeavingReplica| {
            let mut in_use = self.replicas.in_use(self.catalog.as_deref());
            let replica = in_use.find(|known| known.id == leaving.id)?;
            Some(SocketAddr::new(replica.address.ip(), port))
        };
        let notices = self.leaving_notices.take_due().into_iter();
        let notices = notices.map(|leaving| {
            let host = host_of(&leaving);
            (leaving, host)
        });
        notices.collect()
    }

    /// Logs which replicas have fallen silent, and which are heard again.
    pub fn log_silence_changes(&mut self) {
        let now_ms = self.now_ms();
        for key in self.replicas.silence_changes(now_ms) {
            let replica = self.replicas.get(key);
            if !replica.record.is_in_use(self.catalog.as_deref()) {
                continue;
            }
            let event = if replica.is_silent(now_ms) {
                Event::ReplicaSilent
            } else {
                Event::ReplicaHeard
            };
            LogLine::new(event)
                .text("replica", &replica.record.id)
                .number("report_age_ms", replica.report_age_ms(now_ms).unwrap_or(0))
                .number(
                    "record_age_ms",
                    now_ms.saturating_sub(replica.last_heartbeat_ms),
                )
                .number("in_flight", replica.in_flight)
                .flag(
                    "others_report",
                    self.replicas.has_reports(&replica.record.service, now_ms),
                )
                .enqueue();
        }
    }

    /// Oldest version of `model` that will soon be required; None for any.
    pub fn required_version(&self, model: &str) -> Option<u64> {
        self.required_versions().required_version(model)
    }

    /// Time within which an engine with `version` of `model` must begin a request, in
    /// ms; None while no later version is declared.
    pub fn begin_within_ms(&self, model: &str, version: u64) -> Option<u64> {
        self.required_versions().begin_within_ms(model, version)
    }

    /// Versions of weights that requests must be served with now.
    fn required_versions(&self) -> RequiredVersions<'_> {
        RequiredVersions {
            weights: &self.weights,
            weights_apply_ms: self.settings.weights_apply_ms,
            now_ms: self.now_ms(),
        }
    }
}
