//! A model of entries before replicas that one part of a prompt ends, over the code that decides:
//! the suspect table and the parts of which runs have ended. The load pattern: requests with the
//! part at any entry, no two alike, beside sound ones that share their other parts; notices are
//! lost, entries restart, and replicas also end by themselves.

use std::time::Duration;

use arbtest::arbtest;
use rand::Rng;
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;

use bergamotfork::calls::CompletedRuns;
use bergamotfork::calls::CrashId;
use bergamotfork::calls::RunCauses;
use bergamotfork::calls::SuspectRecord;
use bergamotfork::calls::SuspectTable;
use bergamotfork::calls::fingerprint;
use bergamotfork::weights::Digest;

const STEP_MS: u64 = 10;

/// Length of a play, of which the sound requests of the last part are counted.
const PLAY_MS: u64 = 16_000;
const COUNTED_FROM_MS: u64 = PLAY_MS - 3_000;

/// Time at which the first request with the culprit comes.
const CULPRIT_FROM_MS: u64 = 2_000;

/// Crashes and time after which requests with the part must no longer reach replicas, and how
/// many may all the same.
const CRASHES: usize = 5;
const CONTAIN_MS: u64 = 3_000;
const MAX_LATE: usize = 3;

/// Largest number of records by which an entry that has started learns of the suspects.
const TOLD_RECORDS: usize = 48;

/// Sends of a notice, the pause between them, and the share of them that is lost.
const NOTICE_SENDS: u64 = 3;
const RESEND_MS: u64 = 80;
const LOST_SHARE: f64 = 1.0 / 3.0;

/// A rule that is taken out, to see the model fail.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Rule {
    All,
    NoParts,
    NoNotices,
    NoClear,
}

struct Run {
    causes: RunCauses,
    is_culprit: bool,
    entry: usize,
    sent_ms: u64,
    ends_ms: u64,
    sends: u32,
}

struct Replica {
    incarnation: u64,
    up_ms: u64,
    runs: Vec<Run>,
}

struct Entry {
    table: SuspectTable,
    completed_parts: CompletedRuns,
}

impl Entry {
    fn new() -> Self {
        Self {
            table: SuspectTable::new(600_000, 4_096),
            completed_parts: CompletedRuns::default(),
        }
    }
}

/// Records that arrive at an entry.
struct Notice {
    to: usize,
    at_ms: u64,
    records: Vec<SuspectRecord>,
}

#[derive(Debug, Default)]
struct Outcome {
    late: usize,
    crashes: usize,
    sound: usize,
    refused: usize,
}

struct Model {
    rng: Pcg64Mcg,
    rule: Rule,
    now_ms: u64,
    entries: Vec<Entry>,
    replicas: Vec<Replica>,
    notices: Vec<Notice>,
    requests: u64,
    crash_times_ms: Vec<u64>,
    outcome: Outcome,
}

impl Model {
    fn new(seed: u64, entries: usize, rule: Rule) -> Self {
        let replica = |_| Replica {
            incarnation: 1,
            up_ms: 0,
            runs: Vec::new(),
        };
        Self {
            rng: Pcg64Mcg::seed_from_u64(seed),
            rule,
            now_ms: 0,
            entries: (0..entries).map(|_| Entry::new()).collect(),
            replicas: (0..16).map(replica).collect(),
            notices: Vec::new(),
            requests: 0,
            crash_times_ms: Vec::new(),
            outcome: Outcome::default(),
        }
    }

    /// Plays a culprit that comes every `culprit_ms`, while `crash_ms` is the time between two
    /// crashes that no part causes.
    fn play(mut self, culprit_ms: u64, crash_ms: Option<u64>, restarts: bool) -> Outcome {
        while self.now_ms < PLAY_MS {
            self.deliver_notices();
            self.end_runs();
            self.send_new(false);
            if self.now_ms >= CULPRIT_FROM_MS && self.now_ms.is_multiple_of(culprit_ms) {
                self.send_new(true);
            }
            if crash_ms.is_some_and(|crash_ms| self.now_ms.is_multiple_of(crash_ms)) {
                let replica = self.rng.random_range(0..self.replicas.len());
                self.end_replica(replica);
            }
            if restarts && self.now_ms.is_multiple_of(1_500) {
                self.restart_entry();
            }
            self.now_ms += STEP_MS;
        }
        self.outcome.crashes = self.crash_times_ms.len();
        self.outcome
    }

    /// Sends a new request to an entry, which sends it on unless it is refused.
    fn send_new(&mut self, is_culprit: bool) {
        self.requests += 1;
        let document = format!("d{}", self.rng.random_range(0..6));
        let parts = ["a", document.as_str(), "q"];
        let parts = if is_culprit { &parts[..] } else { &parts[..2] };
        let request = fingerprint("run", &self.requests.to_be_bytes());
        let entry = self.rng.random_range(0..self.entries.len());
        let is_counted = !is_culprit && self.now_ms >= COUNTED_FROM_MS;
        self.outcome.sound += usize::from(is_counted);
        let causes = match self.rule {
            Rule::NoParts => RunCauses::new(request, "s", [""; 0]),
            _ => RunCauses::new(request, "s", parts),
        };
        let is_refused = !self.send(causes, is_culprit, entry, 1);
        self.outcome.refused += usize::from(is_counted && is_refused);
    }

    /// Sends a request to a replica; returns false if it is refused.
    fn send(&mut self, causes: RunCauses, is_culprit: bool, entry: usize, sends: u32) -> bool {
        let Entry {
            table,
            completed_parts,
        } = &self.entries[entry];
        let refused = table.refused_causes_of(&causes, completed_parts, self.now_ms);
        if !refused.is_empty() {
            return false;
        }
        let now_ms = self.now_ms;
        let up: Vec<usize> = (0..self.replicas.len())
            .filter(|replica| self.replicas[*replica].up_ms <= now_ms)
            .collect();
        if up.is_empty() {
            return true;
        }
        let fifth_ms = self.crash_times_ms.get(CRASHES - 1);
        if is_culprit && fifth_ms.is_some_and(|fifth_ms| now_ms > fifth_ms + CONTAIN_MS) {
            self.outcome.late += 1;
        }
        let replica = up[self.rng.random_range(0..up.len())];
        let run_ms = match is_culprit {
            true => self.rng.random_range(40..200),
            false => self.rng.random_range(30..400),
        };
        self.replicas[replica].runs.push(Run {
            causes,
            is_culprit,
            entry,
            sent_ms: now_ms,
            ends_ms: now_ms + run_ms,
            sends,
        });
        true
    }

    /// Ends the runs whose time is up; one with the culprit ends its replica.
    fn end_runs(&mut self) {
        let now_ms = self.now_ms;
        for replica in 0..self.replicas.len() {
            let runs = &mut self.replicas[replica].runs;
            if runs
                .iter()
                .any(|run| run.is_culprit && run.ends_ms <= now_ms)
            {
                self.crash_times_ms.push(now_ms);
                self.end_replica(replica);
                continue;
            }
            let ended: Vec<Run> = runs.extract_if(.., |run| run.ends_ms <= now_ms).collect();
            for run in ended {
                if self.rule == Rule::NoClear {
                    continue;
                }
                let entry = &mut self.entries[run.entry];
                entry.completed_parts.record_parts(&run.causes, now_ms);
                for cause in entry.table.clear_run(&run.causes, now_ms) {
                    self.tell(run.entry, cause);
                }
            }
        }
    }

    /// Ends a replica with all of its runs, each of which is sent once more.
    fn end_replica(&mut self, replica: usize) {
        let now_ms = self.now_ms;
        let current = &mut self.replicas[replica];
        if current.up_ms > now_ms {
            return;
        }
        let crash = CrashId {
            endpoint: format!("i-{replica}-{}", current.incarnation),
            incarnation: current.incarnation,
            crash_no: CrashId::PROCESS_CRASH,
        };
        current.incarnation += 1;
        current.up_ms = now_ms + self.rng.random_range(500..3_000);
        for run in std::mem::take(&mut current.runs) {
            let Entry {
                table,
                completed_parts,
            } = &mut self.entries[run.entry];
            let run_ms = now_ms - run.sent_ms;
            let suspected = table.add_crashed_run(&run.causes, &crash, run_ms, now_ms, |part| {
                !completed_parts.rules_out(part, now_ms)
            });
            for cause in suspected {
                self.tell(run.entry, cause);
            }
            if run.sends < 2 {
                self.send(run.causes, run.is_culprit, run.entry, run.sends + 1);
            }
        }
    }

    /// Tells the other entries of the crashes under a cause.
    fn tell(&mut self, from: usize, cause: Digest) {
        if self.rule == Rule::NoNotices {
            return;
        }
        let records = self.entries[from].table.request_records(cause, self.now_ms);
        for to in (0..self.entries.len()).filter(|to| *to != from) {
            let send = (0..NOTICE_SENDS).find(|_| !self.rng.random_bool(LOST_SHARE));
            if let Some(send) = send {
                self.notices.push(Notice {
                    to,
                    at_ms: self.now_ms + STEP_MS + send * RESEND_MS,
                    records: records.clone(),
                });
            }
        }
    }

    fn deliver_notices(&mut self) {
        let now_ms = self.now_ms;
        let due = self.notices.extract_if(.., |notice| notice.at_ms <= now_ms);
        for notice in due.collect::<Vec<_>>() {
            let Entry {
                table,
                completed_parts,
            } = &mut self.entries[notice.to];
            let records = notice.records.into_iter().map(|record| SuspectRecord {
                cleared: record.cleared
                    || record.part_of.is_some()
                        && completed_parts.rules_out(record.fingerprint, now_ms - record.age_ms),
                ..record
            });
            table.merge_records(records, now_ms);
        }
    }

    /// Restarts an entry, which learns from the others.
    fn restart_entry(&mut self) {
        let restarted = self.rng.random_range(0..self.entries.len());
        self.entries[restarted] = Entry::new();
        if self.rule == Rule::NoNotices {
            return;
        }
        for from in (0..self.entries.len()).filter(|from| *from != restarted) {
            let table = &self.entries[from].table;
            let records = table.most_suspected(TOLD_RECORDS, self.now_ms);
            self.notices.push(Notice {
                to: restarted,
                at_ms: self.now_ms + STEP_MS,
                records,
            });
        }
    }
}

/// Plays with numbers of entries, rates and troubles that the seed draws.
fn play(seed: u64, rule: Rule) -> Outcome {
    let mut rng = Pcg64Mcg::seed_from_u64(seed);
    let entries = [2, 3, 9, 34, 99][rng.random_range(0..5)];
    let culprit_ms = [50, 100, 300, 1_000][rng.random_range(0..4)];
    let crash_ms = [None, Some(700), Some(300)][rng.random_range(0..3)];
    let restarts = rng.random_bool(0.5);
    Model::new(seed, entries, rule).play(culprit_ms, crash_ms, restarts)
}

#[test]
fn part_model_culprit_contained_sound_served() {
    arbtest(|u| {
        let seed = u.arbitrary()?;
        let outcome = play(seed, Rule::All);
        let is_right = outcome.late <= MAX_LATE && outcome.refused == 0 && outcome.sound > 0;
        assert!(is_right, "seed {seed}: {outcome:?}");
        Ok(())
    })
    .budget(Duration::from_secs(4));
}

/// Whether the model fails in one of some plays without a rule.
fn fails_without(rule: Rule) -> bool {
    (0..8).any(|seed| {
        let outcome = play(seed, rule);
        outcome.late > MAX_LATE || outcome.refused > 0
    })
}

#[test]
fn part_model_without_parts_fails() {
    assert!(fails_without(Rule::NoParts));
}

#[test]
fn part_model_without_notices_fails() {
    assert!(fails_without(Rule::NoNotices));
}

#[test]
fn part_model_without_clearing_fails() {
    assert!(fails_without(Rule::NoClear));
}
