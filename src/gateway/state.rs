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
use crate::calls::SuspectTable;
use crate::fleet::Catalog;
use crate::fleet::ClientLimits;
use crate::fleet::Declarations;
use crate::fleet::PeerTable;
use crate::fleet::RateMeter;
use crate::fleet::ReplicaTable;
use crate::fleet::SharedRetryBudget;
use crate::fleet::Topic;
use crate::fleet::TopicTable;
use crate::gateway::GatewaySettings;
use crate::gateway::LeavingReplica;
use crate::gateway::TopicSink;
use crate::gateway::answer_memory::AnswerMemory;
use crate::gateway::changed_suspects::ChangedSuspects;
use crate::observe::Event;
use crate::observe::LogLine;
use crate::weights::Digest;

/// Time for which a request remains suspected after a crash, in ms.
const SUSPECT_WINDOW_MS: u64 = 600_000;

/// Largest number of pairs of a suspected request and a crash that are kept: a crash adds
/// one for each request that the replica held.
const MAX_SUSPECTS: usize = 1_024;

/// Share by which the deadlines of first requests may differ; a request with less
/// time left counts as a retry.
const DEADLINE_SPREAD: f64 = 0.17;

/// Time before the deadline of new weights, `weights_apply_ms` after their declaration,
/// from which a request names the version to a replica that has them, in ms: the replica
/// may come back with older ones.
const WEIGHTS_REQUIRED_MARGIN_MS: u64 = 1_300;

/// Time before that deadline at which a request that still waits at an engine with old
/// weights is cancelled, in ms. This process learns of a declaration late.
const WEIGHTS_CANCEL_MARGIN_MS: u64 = 400;

/// Age of the replicas' records from which they are fetched also from entries of
/// other failure domains, in ms.
const REPLICAS_OUTDATED_MS: u64 = 1_000;

/// Longest time after its start for which an entry waits for the ages of the
/// declarations before it is ready, in ms: two heartbeats of the other entries.
const DECLARATION_AGE_WAIT_MS: u64 = 600;

/// Age of the replicas' records that an entry reports before they were confirmed, in ms:
/// a day, so that it confirms nothing.
const UNCONFIRMED_AGE_MS: u64 = 24 * 3_600 * 1_000;

/// Number of times that the other processes are told that a replica is leaving.
const LEAVING_NOTICES: u32 = 3;

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
    // Ascending by name of the service.
    pub(super) retry_budgets: Vec<(String, SharedRetryBudget)>,
    // Ascending by name of the service.
    request_rates: Vec<(String, RateMeter)>,
    // Longest deadline that a client stated, ascending by name of the route.
    longest_deadlines_ms: Vec<(String, u64)>,
    /// For each topic, whether the last read from the store failed.
    pub(super) unavailable_topics: [bool; 3],
    /// Last time at which the store was found unavailable to this entry and to any
    /// that reads on its behalf.
    pub(super) store_unavailable_ms: Option<u64>,
    /// Ids of replicas that stay in use although their records expired.
    pub(super) expired_replicas: Vec<String>,
    /// Runs that ended without an answer, whose replicas may have crashed.
    pub(super) broken_runs: BrokenRuns,
    /// Requests that have run to an end.
    pub(super) completed_runs: CompletedRuns,
    /// Addresses to which a connection is being opened, to see whether a replica is there.
    // Ascending.
    pub(super) checked_addresses: Vec<SocketAddr>,
    /// Refused requests that this entry tries at present.
    pub(super) suspect_trials: Vec<Digest>,
    /// Requests whose suspicions the other entries are told.
    pub(super) changed_suspects: ChangedSuspects,
    /// Wakes the tasks that wait for a change of the suspects.
    pub(super) suspects_notice: Rc<Notify>,
    // Replicas that are leaving, each with the number of times that the other processes are
    // still told.
    leaving_notices: Vec<(LeavingReplica, u32)>,
    /// For each topic, whether it is being fetched from another process.
    fetching: [bool; 3],
    /// Time at which the store last confirmed the replicas' records; negative when that
    /// was before this process started.
    replicas_confirmed_ms: Option<i64>,
    rng: Pcg64Mcg,
    started: Instant,
}

impl GatewayState {
    /// State at the start of a process.
    pub fn new(settings: GatewaySettings) -> Rc<RefCell<Self>> {
        let mut rng = Pcg64Mcg::from_os_rng();
        Rc::new(RefCell::new(Self {
            settings,
            catalog: None,
            catalog_adopted_ms: 0,
            weights: Declarations::default(),
            replicas: ReplicaTable::default(),
            answer_memory: AnswerMemory::default(),
            peers: PeerTable::default(),
            suspects: SuspectTable::new(SUSPECT_WINDOW_MS, MAX_SUSPECTS),
            incarnation: rng.random(),
            stopping_since: None,
            active_requests: 0,
            is_ending: false,
            end_notice: Rc::new(Notify::new()),
            stop_notice: Rc::new(Notify::new()),
            weights_notice: Rc::new(Notify::new()),
            update_notice: Rc::new(Notify::new()),
            topic_tables: Default::default(),
            retry_budgets: Vec::new(),
            request_rates: Vec::new(),
            longest_deadlines_ms: Vec::new(),
            unavailable_topics: [false; 3],
            store_unavailable_ms: None,
            expired_replicas: Vec::new(),
            broken_runs: BrokenRuns::default(),
            completed_runs: CompletedRuns::default(),
            checked_addresses: Vec::new(),
            suspect_trials: Vec::new(),
            changed_suspects: ChangedSuspects::default(),
            suspects_notice: Rc::new(Notify::new()),
            leaving_notices: Vec::new(),
            fetching: [false; 3],
            replicas_confirmed_ms: None,
            rng,
            started: Instant::now(),
        }))
    }

    /// Monotonic time since the start of the process, in ms.
    pub fn now_ms(&self) -> u64 {
        u64::try_from(self.started.elapsed().as_millis()).unwrap_or(u64::MAX)
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
        !self.unavailable_topics.contains(&true)
    }

    /// Time since the store confirmed the replicas' records, to this entry or to one
    /// that reported it in a heartbeat, in ms; time since the start if it has not yet.
    pub fn replicas_age_ms(&self) -> u64 {
        self.age_ms(self.replicas_confirmed_ms.unwrap_or(0))
    }

    /// The same time as other entries are told; without a confirmation, a time that
    /// confirms nothing.
    pub fn reported_replicas_age_ms(&self) -> u64 {
        self.replicas_confirmed_ms
            .map_or(UNCONFIRMED_AGE_MS, |at_ms| self.age_ms(at_ms))
    }

    /// Time since `at_ms`, in ms.
    fn age_ms(&self, at_ms: i64) -> u64 {
        u64::try_from(self.now_ms() as i64 - at_ms).unwrap_or(0)
    }

    /// Records that the store confirmed the replicas' records `age_ms` ago.
    pub fn confirm_replicas(&mut self, age_ms: u64) {
        let age_ms = i64::try_from(age_ms).unwrap_or(i64::MAX);
        let confirmed_ms = (self.now_ms() as i64).saturating_sub(age_ms);
        self.replicas_confirmed_ms = self.replicas_confirmed_ms.max(Some(confirmed_ms));
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
        let is_unavailable = &mut self.unavailable_topics[topic as usize];
        match error {
            Some(error) if !*is_unavailable => {
                *is_unavailable = true;
                LogLine::new(Event::DependencyLost)
                    .text("dependency", "store")
                    .text("topic", topic.label())
                    .text("error", error.to_string())
                    .enqueue();
            }
            None if *is_unavailable => {
                *is_unavailable = false;
                LogLine::new(Event::DependencyRegained)
                    .text("dependency", "store")
                    .text("topic", topic.label())
                    .enqueue();
            }
            _ => {}
        }
    }

    /// Whether the last read of `topic` from the store failed.
    pub fn is_topic_unavailable(&self, topic: Topic) -> bool {
        self.unavailable_topics[topic as usize]
    }

    /// Retry budget of `service`.
    pub fn retry_budget(&mut self, service: &str) -> &mut SharedRetryBudget {
        let at = match self
            .retry_budgets
            .binary_search_by(|budget| budget.0.as_str().cmp(service))
        {
            Ok(at) => at,
            Err(at) => {
                let settings = &self.settings;
                let budget = SharedRetryBudget::new(
                    settings.retry_ratio,
                    settings.extra_retries,
                    settings.retry_window_ms,
                );
                self.retry_budgets.insert(at, (service.to_owned(), budget));
                at
            }
        };
        &mut self.retry_budgets[at].1
    }

    /// Counts a request for `service`, whether it is then sent or refused.
    pub fn count_request(&mut self, service: &str) {
        let now_ms = self.now_ms();
        let request_rates = &mut self.request_rates;
        let at = match request_rates.binary_search_by(|rate| rate.0.as_str().cmp(service)) {
            Ok(at) => at,
            Err(at) => {
                request_rates.insert(at, (service.to_owned(), RateMeter::default()));
                at
            }
        };
        request_rates[at].1.record_event(now_ms);
    }

    /// Estimated rate of requests for `service` at all other entries, per ms: each is
    /// assumed to get as many as this one.
    pub fn peer_requests_per_ms(&self, service: &str) -> f64 {
        let others = f64::from(self.entry_count() - 1);
        match self
            .request_rates
            .binary_search_by(|rate| rate.0.as_str().cmp(service))
        {
            Ok(at) => self.request_rates[at].1.events_per_ms(self.now_ms()) * others,
            Err(_) => 0.0,
        }
    }

    /// Number of entries that are up, this one included.
    pub fn entry_count(&self) -> u32 {
        let peers = self.peers.live_entries(self.now_ms()).count();
        u32::try_from(peers).unwrap_or(u32::MAX - 1) + 1
    }

    /// Least time that a client with `deadline_ms` left has already waited, in ms.
    ///
    /// A client that retries after a refusal has less time left than any client of the
    /// route that sends its first request.
    pub fn waited_before_ms(&mut self, route: &str, deadline_ms: u64) -> u64 {
        let longest = &mut self.longest_deadlines_ms;
        let longest_ms = match longest.binary_search_by(|known| known.0.as_str().cmp(route)) {
            Ok(at) => {
                longest[at].1 = longest[at].1.max(deadline_ms);
                longest[at].1
            }
            Err(at) => {
                longest.insert(at, (route.to_owned(), deadline_ms));
                deadline_ms
            }
        };
        let first_request_ms = longest_ms - (longest_ms as f64 * DEADLINE_SPREAD) as u64;
        first_request_ms.saturating_sub(deadline_ms)
    }

    /// Has the other processes told that a replica is leaving, at once and again with the
    /// next heartbeats, as a datagram may be lost.
    pub fn tell_leaving(&mut self, id: &str, born_unix_ms: Option<u64>) {
        let leaving = LeavingReplica {
            id: id.to_owned(),
            born_unix_ms,
        };
        self.leaving_notices.push((leaving, LEAVING_NOTICES));
        self.update_notice.notify_one();
    }

    /// Returns the replicas of whose leaving the other processes are told now, each with the
    /// endpoint process on its host.
    pub fn take_leaving_notices(&mut self) -> Vec<(LeavingReplica, Option<SocketAddr>)> {
        let port = self.settings.internal.port();
        let host_of = |leaving: &LeavingReplica| {
            let mut replicas = self.replicas.listed();
            let replica = replicas.find(|(_, known)| known.record.id == leaving.id)?;
            Some(SocketAddr::new(replica.1.record.address.ip(), port))
        };
        let notices = self.leaving_notices.iter();
        let notices = notices.map(|(leaving, _)| (leaving.clone(), host_of(leaving)));
        let notices: Vec<_> = notices.collect();
        self.leaving_notices.retain_mut(|notice| {
            notice.1 -= 1;
            notice.1 > 0
        });
        notices
    }

    /// Logs which replicas have fallen silent, and which are heard again.
    pub fn log_silence_changes(&mut self) {
        let now_ms = self.now_ms();
        for key in self.replicas.silence_changes(now_ms) {
            let replica = self.replicas.get(key);
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
        self.version_due_in(model, WEIGHTS_REQUIRED_MARGIN_MS)
    }

    /// Time within which an engine with `version` of `model` must begin a request, in
    /// ms; None while no later version is declared.
    pub fn begin_within_ms(&self, model: &str, version: u64) -> Option<u64> {
        let now_ms = self.now_ms() as i64;
        let apply_ms = self
            .settings
            .weights_apply_ms
            .saturating_sub(WEIGHTS_CANCEL_MARGIN_MS) as i64;
        self.weights
            .for_model(model)
            .filter(|declaration| declaration.version > version)
            .map(|declaration| declaration.learned_ms + apply_ms - now_ms)
            .min()
            .map(|left_ms| u64::try_from(left_ms).unwrap_or(0))
    }

    /// Newest version of `model` whose deadline is within `ahead_ms`, or has passed.
    fn version_due_in(&self, model: &str, ahead_ms: u64) -> Option<u64> {
        let now_ms = self.now_ms() as i64;
        let due_ms = self.settings.weights_apply_ms.saturating_sub(ahead_ms) as i64;
        self.weights
            .for_model(model)
            .filter(|declaration| now_ms - declaration.learned_ms >= due_ms)
            .map(|declaration| declaration.version)
            .max()
    }
}
