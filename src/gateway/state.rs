use std::cell::RefCell;
use std::rc::Rc;

use rand::Rng;
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use tokio::sync::Notify;
use tokio::time::Instant;

use crate::calls::CrashId;
use crate::calls::SuspectTable;
use crate::fleet::Catalog;
use crate::fleet::Declarations;
use crate::fleet::Ledger;
use crate::fleet::Limits;
use crate::fleet::PeerTable;
use crate::fleet::RateMeter;
use crate::fleet::ReplicaTable;
use crate::fleet::RetryWindow;
use crate::fleet::Topic;
use crate::gateway::GatewaySettings;
use crate::gateway::TopicSink;
use crate::observe::Event;
use crate::observe::LogLine;
use crate::weights::Digest;

/// Time that a crash keeps its suspects, in ms.
const SUSPECT_WINDOW_MS: u64 = 120_000;

/// Crashes remembered.
const MAX_SUSPECTS: usize = 64;

/// Time between a broken connection and the sign that its replica crashed, in ms.
const BREAK_WINDOW_MS: u64 = 2_500;

/// Part by which the deadlines of clients that ask for the first time differ.
const DEADLINE_SPREAD: f64 = 0.17;

/// Time before the bound on new weights from which a request must get them, in
/// ms: it may wait at a replica, and this process learned of them late.
const WEIGHTS_MARGIN_MS: u64 = 1_300;

/// Time before the bound at which a request that waits at an engine with old
/// weights is taken back, in ms: this process learned of them late.
const WEIGHTS_CANCEL_MS: u64 = 400;

/// Time before the bound from which engines without new weights get only what
/// can begin at once, in ms: the longest wait at an engine more than the margin.
const WEIGHTS_NOTICE_MS: u64 = 3_000;

/// Age of the replicas' records at which a far entry is asked for them, in ms.
const OUTDATED_MS: u64 = 1_000;

/// Time after its start in which an entry waits for the ages of declarations, in
/// ms: two beats of the others.
const AGES_AWAITED_MS: u64 = 600;

/// Broken connections remembered.
const MAX_BREAKS: usize = 256;

/// A request whose connection to a replica broke.
#[derive(Debug)]
struct Break {
    fingerprint: Digest,
    replica: String,
    incarnation: u64,
    at_ms: u64,
}

/// What an entry process knows, shared by its tasks.
#[derive(Debug)]
pub struct GatewayState {
    /// Settings of the process.
    pub settings: GatewaySettings,
    /// Configuration in force.
    pub catalog: Option<Rc<Catalog>>,
    /// Versions of weights that were declared.
    pub weights: Declarations,
    /// Replicas of all services.
    pub replicas: ReplicaTable,
    /// The other entries.
    pub peers: PeerTable,
    /// Crash suspects.
    pub suspects: SuspectTable,
    /// Incarnation of this process.
    pub incarnation: u64,
    /// When a stop signal came.
    pub stopping: Option<Instant>,
    /// Requests under way.
    pub requests: usize,
    /// Wakes tasks that wait for a stop signal.
    pub stop_notice: Rc<Notify>,
    /// Wakes the task that reads new weights ahead.
    pub weights_notice: Rc<Notify>,
    /// Wakes the task that tells others what is new.
    pub news_notice: Rc<Notify>,
    pub(super) ledgers: [Ledger; 3],
    pub(super) budgets: Vec<(String, RetryWindow)>,
    demands: Vec<(String, RateMeter)>,
    longest_deadlines_ms: Vec<(String, u64)>,
    pub(super) lost_topics: [bool; 3],
    pub(super) away_ms: Option<u64>,
    pub(super) lapsed: Vec<String>,
    breaks: Vec<Break>,
    pulls: [bool; 3],
    replicas_fresh_ms: u64,
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
            weights: Declarations::default(),
            replicas: ReplicaTable::default(),
            peers: PeerTable::default(),
            suspects: SuspectTable::new(SUSPECT_WINDOW_MS, MAX_SUSPECTS),
            incarnation: rng.random(),
            stopping: None,
            requests: 0,
            stop_notice: Rc::new(Notify::new()),
            weights_notice: Rc::new(Notify::new()),
            news_notice: Rc::new(Notify::new()),
            ledgers: Default::default(),
            budgets: Vec::new(),
            demands: Vec::new(),
            longest_deadlines_ms: Vec::new(),
            lost_topics: [false; 3],
            away_ms: None,
            lapsed: Vec::new(),
            breaks: Vec::new(),
            pulls: [false; 3],
            replicas_fresh_ms: 0,
            rng,
            started: Instant::now(),
        }))
    }

    /// Steady time since the start of the process.
    pub fn now_ms(&self) -> u64 {
        u64::try_from(self.started.elapsed().as_millis()).unwrap_or(u64::MAX)
    }

    /// Random bits.
    pub fn random(&mut self) -> u64 {
        self.rng.random()
    }

    /// What clients may send; the usual limits before a configuration is known.
    pub fn limits(&self) -> Limits {
        self.catalog
            .as_ref()
            .map_or_else(Limits::default, |catalog| catalog.limits)
    }

    /// Whether new clients are welcome.
    pub fn is_ready(&self) -> bool {
        self.stopping.is_none()
            && self.catalog.is_some()
            && self.ledgers[Topic::Replicas as usize].is_known()
            && (self.weights.are_exact() || self.now_ms() >= AGES_AWAITED_MS)
    }

    /// Ends of the topics, in the order of `Topic::ALL`.
    pub fn ends(&self) -> [u64; 3] {
        Topic::ALL.map(|topic| self.ledger(topic).end_offset())
    }

    /// Whether a read of `topic` from another entry may start; it counts as started.
    pub fn may_pull(&mut self, topic: Topic) -> bool {
        !std::mem::replace(&mut self.pulls[topic as usize], true)
    }

    /// Notes that a read of `topic` from another entry has ended.
    pub fn pull_ended(&mut self, topic: Topic) {
        self.pulls[topic as usize] = false;
    }

    /// Whether the store answers this process.
    pub fn has_store(&self) -> bool {
        !self.lost_topics.contains(&true)
    }

    /// Age of the replicas' records, since the store confirmed them to this entry
    /// or to one that told it.
    pub fn replicas_age_ms(&self) -> u64 {
        self.now_ms().saturating_sub(self.replicas_fresh_ms)
    }

    /// Notes that the replicas' records are as of `age_ms` ago.
    pub fn confirm_replicas(&mut self, age_ms: u64) {
        let fresh_ms = self.now_ms().saturating_sub(age_ms);
        self.replicas_fresh_ms = self.replicas_fresh_ms.max(fresh_ms);
    }

    /// Whether another entry reads the store for this one, and tells it.
    pub fn has_reader(&self) -> bool {
        let settings = &self.settings;
        let now_ms = self.now_ms();
        self.peers.has_reader(
            &settings.name,
            &settings.failure_domain,
            now_ms,
            self.replicas_age_ms(),
        )
    }

    /// Whether what is known of `topic` is so old that a far entry is asked.
    pub fn is_outdated(&self, topic: Topic) -> bool {
        topic != Topic::Replicas || self.replicas_age_ms() >= OUTDATED_MS
    }

    /// Notes whether the store answers for `topic`.
    pub fn note_source(&mut self, topic: Topic, error: Option<&dyn std::error::Error>) {
        let lost = &mut self.lost_topics[topic as usize];
        match error {
            Some(error) if !*lost => {
                *lost = true;
                LogLine::new(Event::DependencyLost)
                    .text("dependency", "store")
                    .text("topic", topic.label())
                    .text("error", error.to_string())
                    .write();
            }
            None if *lost => {
                *lost = false;
                LogLine::new(Event::DependencyRegained)
                    .text("dependency", "store")
                    .text("topic", topic.label())
                    .write();
            }
            _ => {}
        }
    }

    /// Whether the store did not answer the last read of `topic`.
    pub fn is_lost(&self, topic: Topic) -> bool {
        self.lost_topics[topic as usize]
    }

    /// Budget of resends to `service`.
    pub fn budget(&mut self, service: &str) -> &mut RetryWindow {
        let at = match self
            .budgets
            .binary_search_by(|budget| budget.0.as_str().cmp(service))
        {
            Ok(at) => at,
            Err(at) => {
                let settings = &self.settings;
                let budget = RetryWindow::new(
                    settings.resend_ratio,
                    settings.resend_extra,
                    settings.resend_window_ms,
                );
                self.budgets.insert(at, (service.to_owned(), budget));
                at
            }
        };
        &mut self.budgets[at].1
    }

    /// Counts a request for `service`, sent or refused.
    pub fn count_demand(&mut self, service: &str) {
        let now_ms = self.now_ms();
        let demands = &mut self.demands;
        let at = match demands.binary_search_by(|d| d.0.as_str().cmp(service)) {
            Ok(at) => at,
            Err(at) => {
                demands.insert(at, (service.to_owned(), RateMeter::default()));
                at
            }
        };
        demands[at].1.add(now_ms);
    }

    /// Requests for `service` that the other entries get in a ms, if each gets
    /// as many as this one.
    pub fn others_demand_per_ms(&self, service: &str) -> f64 {
        let others = f64::from(self.entry_count() - 1);
        match self.demands.binary_search_by(|d| d.0.as_str().cmp(service)) {
            Ok(at) => self.demands[at].1.per_ms(self.now_ms()) * others,
            Err(_) => 0.0,
        }
    }

    /// Entries alive, this one among them.
    pub fn entry_count(&self) -> u32 {
        let peers = self.peers.alive(self.now_ms()).count();
        u32::try_from(peers).unwrap_or(u32::MAX - 1) + 1
    }

    /// Least time that a client with `deadline_ms` left has waited before.
    ///
    /// A client that comes back after a refusal has less time left than any that
    /// asks for the first time.
    pub fn waited_before_ms(&mut self, route: &str, deadline_ms: u64) -> u64 {
        let longest = &mut self.longest_deadlines_ms;
        let longest_ms = match longest.binary_search_by(|entry| entry.0.as_str().cmp(route)) {
            Ok(at) => {
                longest[at].1 = longest[at].1.max(deadline_ms);
                longest[at].1
            }
            Err(at) => {
                longest.insert(at, (route.to_owned(), deadline_ms));
                deadline_ms
            }
        };
        let first_ms = longest_ms - (longest_ms as f64 * DEADLINE_SPREAD) as u64;
        first_ms.saturating_sub(deadline_ms)
    }

    /// Remembers what was at a replica when its connection broke, for the case
    /// that the replica crashed.
    pub fn note_break(&mut self, fingerprint: Digest, replica: &str) {
        let now_ms = self.now_ms();
        self.breaks
            .retain(|entry| now_ms.saturating_sub(entry.at_ms) < BREAK_WINDOW_MS);
        if self.breaks.len() >= MAX_BREAKS {
            self.breaks.remove(0);
        }
        let born_unix_ms = self
            .replicas
            .listed()
            .find(|(_, known)| known.record.id == replica)
            .and_then(|(_, known)| known.record.born_unix_ms);
        self.breaks.push(Break {
            fingerprint,
            replica: replica.to_owned(),
            incarnation: born_unix_ms.unwrap_or(0),
            at_ms: now_ms,
        });
    }

    /// Blames the requests whose connections to `replica` broke just before it
    /// could not be reached.
    pub fn blame_breaks(&mut self, replica: &str) {
        let now_ms = self.now_ms();
        let breaks = std::mem::take(&mut self.breaks);
        for entry in breaks {
            if now_ms.saturating_sub(entry.at_ms) >= BREAK_WINDOW_MS {
                continue;
            }
            if entry.replica != replica {
                self.breaks.push(entry);
                continue;
            }
            LogLine::new(Event::CrashSuspected)
                .text("replica", replica)
                .text("fingerprint", entry.fingerprint.to_string())
                .write();
            let death = CrashId {
                endpoint: entry.replica,
                incarnation: entry.incarnation,
                crash_no: CrashId::PROCESS_CRASH,
            };
            self.suspects.add_crash(entry.fingerprint, death, now_ms);
        }
    }

    /// Version of `model` that every answer must at least come from now.
    pub fn required_version(&self, model: &str) -> Option<u64> {
        self.version_due_in(model, WEIGHTS_MARGIN_MS)
    }

    /// Time until a request at an engine with `version` of `model` must have
    /// begun; None while no later version is declared.
    pub fn begin_within_ms(&self, model: &str, version: u64) -> Option<u64> {
        let now_ms = self.now_ms() as i64;
        let apply_ms = (self.settings.weights_apply_ms - WEIGHTS_CANCEL_MS) as i64;
        self.weights
            .of(model)
            .filter(|declaration| declaration.version > version)
            .map(|declaration| declaration.learned_ms + apply_ms - now_ms)
            .min()
            .map(|left_ms| u64::try_from(left_ms).unwrap_or(0))
    }

    /// Version of `model` that is due soon: engines without it get only what
    /// can begin at once.
    pub fn expected_version(&self, model: &str) -> Option<u64> {
        self.version_due_in(model, WEIGHTS_NOTICE_MS)
    }

    fn version_due_in(&self, model: &str, ahead_ms: u64) -> Option<u64> {
        let now_ms = self.now_ms() as i64;
        let due_ms = self.settings.weights_apply_ms.saturating_sub(ahead_ms) as i64;
        self.weights
            .of(model)
            .filter(|declaration| now_ms - declaration.learned_ms >= due_ms)
            .map(|declaration| declaration.version)
            .max()
    }
}
