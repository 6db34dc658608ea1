//! Model of a fleet in which a request ends each replica that begins it, over the tables that
//! decide which request is refused.

use std::net::SocketAddr;

use arbtest::arbtest;
use rand::Rng;
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;

use bergamotfork::calls::BrokenRun;
use bergamotfork::calls::BrokenRunKind;
use bergamotfork::calls::BrokenRuns;
use bergamotfork::calls::CompletedRuns;
use bergamotfork::calls::CrashId;
use bergamotfork::calls::CrashSign;
use bergamotfork::calls::REFUSED_AT_CRASHES;
use bergamotfork::calls::RunCauses;
use bergamotfork::calls::SuspectRecord;
use bergamotfork::calls::SuspectStatus;
use bergamotfork::calls::SuspectTable;
use bergamotfork::calls::fingerprint;
use bergamotfork::weights::Digest;

const STEP_MS: u64 = 5;
const HEARTBEAT_MS: u64 = 250;
const RESEND_MS: u64 = 80;
const LONGEST_RUN_MS: u64 = 100;
const LONGEST_DOWNTIME_MS: u64 = 1_500;

/// Longest time for which the popular request may be refused: a heartbeat, a run, and the
/// pause before a trial.
const MAX_REFUSED_MS: u64 = HEARTBEAT_MS + LONGEST_RUN_MS + 300;

/// Most runs of the culprit that begin one heartbeat after its third crash is known.
const MAX_LATE_RUNS: usize = 3;

/// What the entries of a fleet may do wrong in the model; each must break what is held.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Rule {
    /// No rule is left out.
    All,
    /// A run that comes to an end clears nothing.
    NoClear,
    /// Changes are told to nobody.
    NoNotices,
    /// A crash counts only at the entry whose check was refused.
    OnlyOwnCheck,
}

#[derive(Debug)]
struct Run {
    request: Digest,
    entry: usize,
    ends_ms: u64,
}

#[derive(Debug)]
struct Replica {
    incarnation: u64,
    up_ms: u64,
    is_registered: bool,
    runs: Vec<Run>,
}

/// A change that is sent three times, one of them in vain.
#[derive(Debug)]
struct Change {
    request: Digest,
    due_ms: u64,
    sends_left: u32,
    lost_send: u32,
}

#[derive(Debug)]
struct Entry {
    table: SuspectTable,
    broken: BrokenRuns,
    completed: CompletedRuns,
    changes: Vec<Change>,
    started_ms: u64,
    /// Whether the entry has counted the third crash of the culprit.
    has_known_third: bool,
    refused_since_ms: Option<u64>,
}

impl Entry {
    fn new(now_ms: u64) -> Self {
        Self {
            table: SuspectTable::new(600_000, 1_024),
            broken: BrokenRuns::default(),
            completed: CompletedRuns::default(),
            changes: Vec::new(),
            started_ms: now_ms,
            has_known_third: false,
            refused_since_ms: None,
        }
    }
}

/// Effect at a later time.
#[derive(Debug)]
enum Effect {
    Heard {
        entry: usize,
    },
    Check {
        entry: usize,
        replica: usize,
    },
    Records {
        entry: usize,
        records: Vec<SuspectRecord>,
    },
}

struct Fleet {
    rng: Pcg64Mcg,
    rule: Rule,
    now_ms: u64,
    entries: Vec<Entry>,
    replicas: Vec<Replica>,
    effects: Vec<(u64, Effect)>,
    /// Since when an entry knows of the third crash, or is being told of it.
    third_known_ms: Option<u64>,
    /// How often all entries that knew of it had restarted before they had told another.
    forgotten: usize,
    late_runs: usize,
    longest_refused_ms: u64,
    /// Crashes under the culprit, each with its time and the entry that had sent it.
    crashes: Vec<(u64, CrashId, usize)>,
    /// Crashes that no entry knows of once the replica is back.
    unnoticed_crashes: usize,
}

fn request(number: u64) -> Digest {
    fingerprint("model", &number.to_be_bytes())
}

/// Causes of a run of a request without parts.
fn causes(request: Digest) -> RunCauses {
    RunCauses::new(request, "service", [""; 0])
}

fn culprit() -> Digest {
    request(0)
}

fn popular() -> Digest {
    request(1)
}

fn address(replica: usize) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 1_000 + replica as u16))
}

impl Fleet {
    fn new(seed: u64, entries: usize, replicas: usize, rule: Rule) -> Self {
        let replica = |_| Replica {
            incarnation: 1,
            up_ms: 0,
            is_registered: true,
            runs: Vec::new(),
        };
        Self {
            rng: Pcg64Mcg::seed_from_u64(seed),
            rule,
            now_ms: 0,
            entries: (0..entries).map(|_| Entry::new(0)).collect(),
            replicas: (0..replicas).map(replica).collect(),
            effects: Vec::new(),
            third_known_ms: None,
            forgotten: 0,
            late_runs: 0,
            longest_refused_ms: 0,
            crashes: Vec::new(),
            unnoticed_crashes: 0,
        }
    }

    /// Plays `duration_ms` with arrivals, failures and restarts.
    fn play(&mut self, duration_ms: u64) {
        let mut bystander = 100;
        while self.now_ms < duration_ms {
            self.now_ms += STEP_MS;
            self.end_runs();
            self.apply_effects();
            self.register_replicas();
            self.send_changes();
            if self.now_ms.is_multiple_of(HEARTBEAT_MS) {
                self.send_heartbeats();
            }
            if self.rng.random_ratio(1, 20) {
                let volley = if self.rng.random_ratio(1, 10) { 4 } else { 1 };
                (0..volley).for_each(|_| self.arrive(culprit()));
            }
            self.arrive(popular());
            for _ in 0..3 {
                bystander += 1;
                self.arrive(request(bystander));
            }
            if self.rng.random_ratio(1, 400) {
                for replica in 0..self.replicas.len() / 3 {
                    if self.replicas[replica].is_registered {
                        self.end_replica(replica);
                    }
                }
            }
            if self.rng.random_ratio(1, 500) {
                let entry = self.rng.random_range(0..self.entries.len());
                self.restart_entry(entry);
            }
            self.watch();
        }
    }

    /// Restarts an entry, of which the others hear by its first heartbeat or its second.
    fn restart_entry(&mut self, restarted: usize) {
        self.entries[restarted] = Entry::new(self.now_ms);
        let is_known = self.is_third_known() || self.is_third_on_the_way();
        let should_know = self
            .entries
            .iter()
            .any(|entry| self.should_know_third(entry));
        if self.third_known_ms.is_some() && !is_known && !should_know {
            self.third_known_ms = None;
            self.forgotten += 1;
        }
        for entry in (0..self.entries.len()).filter(|entry| *entry != restarted) {
            let lost = u64::from(self.rng.random_ratio(1, 3));
            let heard_ms = self.now_ms + lost * HEARTBEAT_MS;
            self.effects.push((heard_ms, Effect::Heard { entry }));
        }
    }

    /// Whether an entry has had the time to hear of the third crash, known to some entry.
    fn should_know_third(&self, entry: &Entry) -> bool {
        let known_ms = self.third_known_ms;
        known_ms.is_some_and(|known_ms| self.now_ms > known_ms + HEARTBEAT_MS)
            && self.now_ms > entry.started_ms + 2 * HEARTBEAT_MS
    }

    /// Whether an entry has known of the third crash of the culprit since its start.
    fn is_third_known(&self) -> bool {
        self.entries.iter().any(|entry| {
            let crashes = entry.table.crash_count(culprit(), self.now_ms);
            entry.has_known_third || crashes >= REFUSED_AT_CRASHES
        })
    }

    /// Whether records of three crashes of the culprit are on their way to an entry.
    fn is_third_on_the_way(&self) -> bool {
        self.effects.iter().any(|(_, effect)| {
            let Effect::Records { records, .. } = effect else {
                return false;
            };
            let of_culprit = records.iter().filter(|r| r.fingerprint == culprit());
            of_culprit.count() >= REFUSED_AT_CRASHES
        })
    }

    /// A request arrives at some entry, which sends it to some replica unless it is refused.
    fn arrive(&mut self, request: Digest) {
        let at = self.rng.random_range(0..self.entries.len());
        let now_ms = self.now_ms;
        let up: Vec<usize> = (0..self.replicas.len())
            .filter(|&replica| self.replicas[replica].up_ms <= now_ms)
            .collect();
        let entry = &self.entries[at];
        let is_refused = entry.table.request_status(request, now_ms) == SuspectStatus::Refused;
        let is_trial_entry = request.seed() % self.entries.len() as u64 == at as u64;
        let last_end_ms = entry.completed.last_end_ms(request);
        let may_try = is_trial_entry && entry.table.is_trial_due(request, last_end_ms, now_ms);
        let is_running = |run: &Run| run.request == request && run.entry == at;
        let is_tried = self.replicas.iter().any(|r| r.runs.iter().any(is_running));
        if up.is_empty() || (is_refused && (!may_try || is_tried)) {
            return;
        }
        if request == culprit() && self.should_know_third(entry) {
            self.late_runs += 1;
        }
        let replica = up[self.rng.random_range(0..up.len())];
        let run_ms = match request == culprit() {
            true => 40,
            false => self.rng.random_range(20..LONGEST_RUN_MS),
        };
        self.replicas[replica].runs.push(Run {
            request,
            entry: at,
            ends_ms: now_ms + run_ms,
        });
    }

    /// Ends the runs whose time is up; a culprit ends its replica.
    fn end_runs(&mut self) {
        for replica in 0..self.replicas.len() {
            let now_ms = self.now_ms;
            let runs = &mut self.replicas[replica].runs;
            let ended: Vec<Run> = runs.extract_if(.., |run| run.ends_ms <= now_ms).collect();
            let has_crashed = ended.iter().any(|run| run.request == culprit());
            if has_crashed {
                self.replicas[replica].runs.extend(ended);
                self.end_replica(replica);
                continue;
            }
            for run in ended {
                self.record_end(run);
            }
        }
    }

    fn record_end(&mut self, run: Run) {
        if self.rule == Rule::NoClear {
            return;
        }
        let entry = &mut self.entries[run.entry];
        entry.completed.record(run.request, self.now_ms);
        entry.broken.remove_request(run.request);
        if entry.table.clear_request(run.request) {
            self.tell(run.entry, run.request);
        }
    }

    /// Ends a replica with all of its runs.
    fn end_replica(&mut self, replica: usize) {
        let now_ms = self.now_ms;
        let crash = CrashId {
            endpoint: format!("i-{replica}"),
            incarnation: self.replicas[replica].incarnation,
            crash_no: CrashId::PROCESS_CRASH,
        };
        for run in std::mem::take(&mut self.replicas[replica].runs) {
            let entry = run.entry;
            if run.request == culprit() {
                self.crashes.push((now_ms, crash.clone(), entry));
            }
            self.entries[entry].broken.add(BrokenRun {
                causes: causes(run.request),
                crash: crash.clone(),
                address: address(replica),
                kind: BrokenRunKind::ConnectionEnded,
                sent_ms: now_ms,
                at_ms: now_ms,
            });
            // Some checks come when the replica is back.
            if self.rng.random_ratio(3, 4) {
                let check = Effect::Check { entry, replica };
                self.effects.push((now_ms + STEP_MS, check));
            }
        }
        let downtime_ms = self.rng.random_range(0..LONGEST_DOWNTIME_MS);
        self.replicas[replica].incarnation += 1;
        self.replicas[replica].up_ms = now_ms + downtime_ms;
        self.replicas[replica].is_registered = false;
    }

    fn suspect(&mut self, entry: usize, crashed: Vec<BrokenRun>) {
        for run in crashed {
            let table = &mut self.entries[entry].table;
            table.add_crash(run.causes.request, run.crash, run.at_ms);
            self.tell(entry, run.causes.request);
        }
    }

    fn tell(&mut self, entry: usize, request: Digest) {
        let change = Change {
            request,
            due_ms: self.now_ms,
            sends_left: 3,
            lost_send: self.rng.random_range(1..=3),
        };
        let changes = &mut self.entries[entry].changes;
        changes.retain(|known| known.request != request);
        changes.push(change);
    }

    /// Registers the incarnations that are back.
    fn register_replicas(&mut self) {
        for replica in 0..self.replicas.len() {
            let current = &mut self.replicas[replica];
            let incarnation = current.incarnation;
            let is_back = !current.is_registered && current.up_ms <= self.now_ms;
            current.is_registered |= is_back;
            if !is_back || self.rule == Rule::OnlyOwnCheck {
                continue;
            }
            for entry in 0..self.entries.len() {
                let sign = CrashSign::NextIncarnation;
                let broken = &mut self.entries[entry].broken;
                let crashed = broken.take_crashed(sign, self.now_ms, |run| {
                    run.address == address(replica) && run.crash.incarnation < incarnation
                });
                self.suspect(entry, crashed);
            }
        }
    }

    fn send_changes(&mut self) {
        if self.rule == Rule::NoNotices {
            return;
        }
        let now_ms = self.now_ms;
        for entry in 0..self.entries.len() {
            let mut records = Vec::new();
            let Entry { table, changes, .. } = &mut self.entries[entry];
            for change in changes.iter_mut().filter(|change| change.due_ms <= now_ms) {
                if change.sends_left != change.lost_send {
                    records.extend(table.request_records(change.request, now_ms));
                }
                change.sends_left -= 1;
                change.due_ms = now_ms + RESEND_MS;
            }
            changes.retain(|change| change.sends_left > 0);
            self.send_records(entry, records);
        }
    }

    fn send_heartbeats(&mut self) {
        if self.rule == Rule::NoNotices {
            return;
        }
        for entry in 0..self.entries.len() {
            let records = self.entries[entry].table.most_suspected(16, self.now_ms);
            if self.rng.random_ratio(2, 3) {
                self.send_records(entry, records);
            }
        }
    }

    /// Sends records to all others, late and in any order, and some of them twice.
    fn send_records(&mut self, from: usize, records: Vec<SuspectRecord>) {
        if records.is_empty() {
            return;
        }
        for entry in (0..self.entries.len()).filter(|entry| *entry != from) {
            for _ in 0..self.rng.random_range(1..=2) {
                let delay_ms = self.rng.random_range(0..30);
                let records = records.clone();
                let arrival = Effect::Records { entry, records };
                self.effects.push((self.now_ms + delay_ms, arrival));
            }
        }
    }

    fn apply_effects(&mut self) {
        let now_ms = self.now_ms;
        let due: Vec<(u64, Effect)> = self
            .effects
            .extract_if(.., |effect| effect.0 <= now_ms)
            .collect();
        for (_, effect) in due {
            match effect {
                Effect::Check { entry, replica } if self.replicas[replica].up_ms > now_ms => {
                    let sign = CrashSign::ConnectionRefused;
                    let broken = &mut self.entries[entry].broken;
                    let at_replica = |run: &BrokenRun| run.address == address(replica);
                    let crashed = broken.take_crashed(sign, now_ms, at_replica);
                    self.suspect(entry, crashed);
                }
                Effect::Check { .. } => {}
                Effect::Heard { entry } => {
                    let table = &self.entries[entry].table;
                    for record in table.most_suspected(48, now_ms) {
                        self.tell(entry, record.fingerprint);
                    }
                }
                Effect::Records { entry, records } => {
                    let Entry { table, broken, .. } = &mut self.entries[entry];
                    table.merge_records(records, now_ms);
                    let sign = CrashSign::ToldByPeer;
                    let crashed =
                        broken.take_crashed(sign, now_ms, |run| table.has_crash(&run.crash));
                    self.suspect(entry, crashed);
                }
            }
        }
    }

    /// Notes when the third crash is known, and how long the popular request is refused.
    fn watch(&mut self) {
        let now_ms = self.now_ms;
        let is_back = |crash: &mut (u64, CrashId, usize)| {
            now_ms > crash.0 + LONGEST_DOWNTIME_MS + 2 * STEP_MS
        };
        for (at_ms, crash, entry) in self.crashes.extract_if(.., is_back) {
            let is_known = self.entries.iter().any(|e| e.table.has_crash(&crash));
            let has_restarted = self.entries[entry].started_ms >= at_ms;
            self.unnoticed_crashes += usize::from(!is_known && !has_restarted);
        }
        let is_up = self.replicas.iter().any(|replica| replica.up_ms <= now_ms);
        for entry in &mut self.entries {
            let crashes = entry.table.crash_count(culprit(), now_ms);
            if crashes >= REFUSED_AT_CRASHES {
                entry.has_known_third = true;
                self.third_known_ms.get_or_insert(now_ms);
            }
            let status = entry.table.request_status(popular(), now_ms);
            if status != SuspectStatus::Refused || !is_up {
                entry.refused_since_ms = None;
                continue;
            }
            let since_ms = *entry.refused_since_ms.get_or_insert(now_ms);
            self.longest_refused_ms = self.longest_refused_ms.max(now_ms - since_ms);
        }
    }
}

fn play(seed: u64, entries: usize, rule: Rule) -> Fleet {
    let mut fleet = Fleet::new(seed, entries, 6 + entries.min(12), rule);
    fleet.play(4_000);
    fleet
}

/// Faults of what is held; empty if there are none.
fn faults(fleet: &Fleet) -> String {
    let mut faults = String::new();
    if fleet.late_runs > MAX_LATE_RUNS {
        faults.push_str(&format!("{} late runs ", fleet.late_runs));
    }
    if fleet.longest_refused_ms > MAX_REFUSED_MS {
        faults.push_str(&format!("refused for {} ms ", fleet.longest_refused_ms));
    }
    if fleet.unnoticed_crashes > 0 {
        faults.push_str(&format!("{} unnoticed crashes", fleet.unnoticed_crashes));
    }
    faults
}

#[test]
fn crash_model_culprit_contained_popular_served() {
    arbtest(|u| {
        let seed: u64 = u.arbitrary()?;
        let entries = *u.choose(&[2, 2, 3, 3, 6, 6, 12, 40])?;
        let faults = faults(&play(seed, entries, Rule::All));
        assert!(
            faults.is_empty(),
            "{faults}, seed {seed}, {entries} entries"
        );
        Ok(())
    })
    .budget_ms(4_000);
}

#[test]
fn crash_model_ninety_nine_entries() {
    assert_eq!(faults(&play(7, 99, Rule::All)), "");
}

/// Guards against runs that count as late although no entry knows of the third crash any more:
/// the second of two entries restarts 10 ms after the first.
#[test]
fn crash_model_all_entries_restart_counts_anew() {
    let fleet = play(12_033_506_759_885_179_422, 2, Rule::All);
    assert_eq!(fleet.forgotten, 1);
    assert_eq!(faults(&fleet), "");
}

#[test]
fn crash_model_without_a_rule_fails() {
    for rule in [Rule::NoClear, Rule::NoNotices, Rule::OnlyOwnCheck] {
        let has_failed = (0..20).any(|seed| !faults(&play(seed, 6, rule)).is_empty());
        assert!(has_failed, "{rule:?}");
    }
}
