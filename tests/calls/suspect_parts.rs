use arbtest::arbtest;

use bergamotfork::calls::CompletedRuns;
use bergamotfork::calls::CrashId;
use bergamotfork::calls::GenerateCall;
use bergamotfork::calls::PART_REFUSED_AT_CRASHES;
use bergamotfork::calls::RunCauses;
use bergamotfork::calls::SuspectRecord;
use bergamotfork::calls::SuspectStatus;
use bergamotfork::calls::SuspectTable;
use bergamotfork::calls::fingerprint;
use bergamotfork::weights::Digest;

const WINDOW_MS: u64 = 600_000;

/// Time between two crashes, in ms.
const STEP_MS: u64 = 1_000;

/// Time that a run takes until its replica crashes, in ms.
const RUN_MS: u64 = 100;

fn crash(number: u64) -> CrashId {
    CrashId {
        endpoint: format!("i-{number}"),
        incarnation: 1,
        crash_no: CrashId::PROCESS_CRASH,
    }
}

/// Causes of a run of a request with this number and these parts.
fn run(number: u64, parts: &[&str]) -> RunCauses {
    RunCauses::new(fingerprint("run", &number.to_be_bytes()), "s", parts)
}

fn part(id: &str) -> Digest {
    run(0, &[id]).parts()[0]
}

fn new_table() -> SuspectTable {
    SuspectTable::new(WINDOW_MS, 4_096)
}

/// Adds a run that a crash ended `RUN_MS` after it was sent.
fn add(table: &mut SuspectTable, number: u64, parts: &[&str], crash_no: u64, at_ms: u64) {
    let causes = run(number, parts);
    table.add_crashed_run(&causes, &crash(crash_no), RUN_MS, at_ms, |_| true);
}

/// How a run is treated where no run is known to have come to an end.
fn status(table: &SuspectTable, causes: &RunCauses, now_ms: u64) -> SuspectStatus {
    table.run_status(causes, &CompletedRuns::default(), now_ms)
}

/// Whether a new request with these parts is refused.
fn is_refused(table: &SuspectTable, parts: &[&str], now_ms: u64) -> bool {
    status(table, &run(u64::MAX, parts), now_ms) == SuspectStatus::Refused
}

#[test]
fn run_status_part_of_successive_crashes_refused() {
    let mut table = new_table();
    for number in 0..4 {
        assert!(!is_refused(&table, &["q"], number * STEP_MS));
        add(&mut table, number, &["q"], number, number * STEP_MS);
    }
    let now_ms = 4 * STEP_MS;
    assert!(is_refused(&table, &["a", "q", "b"], now_ms));
    assert!(!is_refused(&table, &["a", "b"], now_ms));
    assert!(!is_refused(&table, &["q"], now_ms + WINDOW_MS));
}

#[test]
fn run_status_part_of_one_failure_of_many_replicas_served() {
    // All runs had been sent before the first replica ended.
    let mut table = new_table();
    for number in 0..20 {
        add(&mut table, number, &["popular"], number, 1_000 + number);
    }
    assert!(!is_refused(&table, &["popular"], 1_100));
}

#[test]
fn run_status_part_of_one_request_served() {
    let mut table = new_table();
    for number in 0..6 {
        add(&mut table, 1, &["shared"], number, number * STEP_MS);
    }
    let now_ms = 6 * STEP_MS;
    let culprit = run(1, &["shared"]);
    assert_eq!(status(&table, &culprit, now_ms), SuspectStatus::Refused);
    assert!(!is_refused(&table, &["shared"], now_ms));
}

#[test]
fn run_status_companions_of_refused_part_served() {
    // Requests with the companion always ran beside the culprit, and none has ended.
    let mut table = new_table();
    for number in 0..8 {
        let at_ms = number * STEP_MS;
        add(&mut table, number, &["q"], number, at_ms);
        if number > 0 {
            add(&mut table, 100 + number, &["companion"], number, at_ms);
            add(&mut table, 7, &["other"], number, at_ms);
        }
    }
    let now_ms = 8 * STEP_MS;
    assert!(is_refused(&table, &["q"], now_ms));
    assert!(!is_refused(&table, &["companion"], now_ms));
    let beside = run(7, &["other"]);
    assert_ne!(status(&table, &beside, now_ms), SuspectStatus::Refused);
}

/// Guards against a companion that is refused in place of the cause.
#[test]
fn run_status_parts_together_told_apart_by_next_run() {
    let mut table = new_table();
    for number in 0..4 {
        add(&mut table, number, &["a", "q"], number, number * STEP_MS);
    }
    let now_ms = 4 * STEP_MS;
    assert!(is_refused(&table, &["a", "b", "q"], now_ms));
    assert!(!is_refused(&table, &["a", "b"], now_ms));
    assert!(!is_refused(&table, &["q"], now_ms));
    let mut crashed = table.clone();
    add(&mut crashed, 9, &["q"], 9, now_ms);
    assert!(is_refused(&crashed, &["q"], now_ms));
    assert!(!is_refused(&crashed, &["a", "b"], now_ms));
    table.clear_run(&run(9, &["a"]), now_ms);
    assert!(is_refused(&table, &["q"], now_ms));
}

/// Guards against a companion that is refused, as it was in further requests at the same crashes.
#[test]
fn run_status_companion_in_more_runs_told_apart() {
    let mut table = new_table();
    for number in 0..4 {
        let at_ms = number * STEP_MS;
        add(&mut table, number, &["d", "q"], number, at_ms);
        if number % 2 == 0 {
            // Of the two requests with the companion, the table keeps the lesser.
            let is_lesser = |beside: &RunCauses| beside.request < run(number, &[]).request;
            let mut others = (100..).map(|other| run(other, &["d"]));
            let beside = others.find(is_lesser).expect("a lesser request");
            table.add_crashed_run(&beside, &crash(number), RUN_MS / 2, at_ms, |_| true);
        }
    }
    let now_ms = 4 * STEP_MS;
    assert!(is_refused(&table, &["d", "q"], now_ms));
    assert!(!is_refused(&table, &["d"], now_ms));
}

/// Guards against a choice by chance between parts of requests that ran side by side.
#[test]
fn run_status_part_of_latest_runs_refused() {
    let mut table = new_table();
    for number in 0..4 {
        let at_ms = number * STEP_MS;
        add(&mut table, number, &["q"], number, at_ms);
        let beside = run(100 + number, &["p"]);
        table.add_crashed_run(&beside, &crash(number), 4 * RUN_MS, at_ms, |_| true);
    }
    assert!(is_refused(&table, &["q"], 4 * STEP_MS));
    assert!(!is_refused(&table, &["p"], 4 * STEP_MS));
}

#[test]
fn run_status_two_parts_refused() {
    let mut table = new_table();
    for number in 0..10 {
        let culprit = if number % 2 == 0 { "q1" } else { "q2" };
        add(
            &mut table,
            number,
            &["a", culprit],
            number,
            number * STEP_MS,
        );
        table.clear_run(&run(1_000 + number, &["a"]), number * STEP_MS);
    }
    let now_ms = 10 * STEP_MS;
    assert!(is_refused(&table, &["q1"], now_ms));
    assert!(is_refused(&table, &["q2"], now_ms));
    assert!(!is_refused(&table, &["a"], now_ms));
}

/// Guards against four more crashes at each service of a split route.
#[test]
fn run_status_part_refused_elsewhere_refused_from_first_crash() {
    let mut table = new_table();
    for number in 0..4 {
        add(&mut table, number, &["a", "q"], number, number * STEP_MS);
        table.clear_run(&run(50 + number, &["a"]), number * STEP_MS);
    }
    let now_ms = 4 * STEP_MS;
    let request = fingerprint("run", b"other");
    let other = RunCauses::of_services(request, "t", ["s"], ["a", "q"]);
    // What one service runs to an end may crash the other.
    assert_ne!(status(&table, &other, now_ms), SuspectStatus::Refused);
    table.add_crashed_run(&other, &crash(90), RUN_MS, now_ms, |_| true);
    assert_eq!(status(&table, &other, now_ms), SuspectStatus::Refused);
    let sound = RunCauses::of_services(request, "t", ["s"], ["a"]);
    assert_ne!(status(&table, &sound, now_ms), SuspectStatus::Refused);
    table.clear_run(&other, now_ms);
    assert_ne!(status(&table, &other, now_ms), SuspectStatus::Refused);
}

#[test]
fn clear_run_ends_refusal_of_part() {
    let mut table = new_table();
    for number in 0..5 {
        add(&mut table, number, &["q"], number, number * STEP_MS);
    }
    let now_ms = 5 * STEP_MS;
    assert_eq!(table.clear_run(&run(9, &["q"]), now_ms), [part("q")]);
    assert!(!is_refused(&table, &["q"], now_ms));
}

#[test]
fn add_crashed_run_ruled_out_part_not_suspected() {
    let mut table = new_table();
    let causes = run(1, &["popular", "q"]);
    let may_be_cause = |cause| cause != part("popular");
    let suspected = table.add_crashed_run(&causes, &crash(0), RUN_MS, 0, may_be_cause);
    assert_eq!(suspected, [causes.request, part("q")]);
}

#[test]
fn is_trial_due_part_after_growing_pauses() {
    let mut table = new_table();
    let count = PART_REFUSED_AT_CRASHES as u64;
    for number in 0..count + 5 {
        add(&mut table, number, &["q"], number, number * 100);
    }
    let last_ms = (count + 4) * 100;
    assert!(!table.is_trial_due(part("q"), None, last_ms + 59_999));
    assert!(table.is_trial_due(part("q"), None, last_ms + 60_000));
    assert!(table.is_trial_due(part("q"), Some(0), last_ms + 15_000));
    let trial_ms = last_ms + 60_000;
    add(&mut table, 99, &["q"], 99, trial_ms);
    assert!(!table.is_trial_due(part("q"), None, trial_ms + 239_999));
    assert!(table.is_trial_due(part("q"), None, trial_ms + 240_000));
}

#[test]
fn most_suspected_is_enough_to_refuse_part() {
    let mut table = new_table();
    for number in 0..40 {
        add(&mut table, number, &["q"], number, number * STEP_MS);
        // Each of these was at a crash or two.
        add(&mut table, 100 + number / 2, &[], number, number * STEP_MS);
    }
    let now_ms = 40 * STEP_MS;
    let mut started = new_table();
    started.merge_records(table.most_suspected(16, now_ms), 0);
    assert!(is_refused(&started, &["q"], 0));
}

#[test]
fn merge_records_parts_any_order_agrees() {
    arbtest(|u| {
        let mut records: Vec<SuspectRecord> = Vec::new();
        for _ in 0..u.int_in_range(1..=40)? {
            let parts = ["q", "p", "a"];
            let causes = run(u.int_in_range(0..=5)?, &parts[u.int_in_range(0..=2)?..]);
            let mut table = new_table();
            let at_ms = u.int_in_range(0..=20)? * 100;
            let crash = crash(u.int_in_range(0..=9)?);
            let run_ms = u.int_in_range(0..=300)?;
            table.add_crashed_run(&causes, &crash, run_ms, at_ms, |_| true);
            if u.ratio(1, 8)? {
                table.clear_run(&causes, at_ms);
            }
            records.extend(table.export_records(2_000));
        }
        let mut one = new_table();
        one.merge_records(records.clone(), 2_000);
        let mut other = new_table();
        while !records.is_empty() {
            let at = u.choose_index(records.len())?;
            other.merge_records([records.swap_remove(at)], 2_000);
        }
        for id in ["q", "p", "a"] {
            assert_eq!(
                is_refused(&one, &[id], 2_000),
                is_refused(&other, &[id], 2_000)
            );
        }
        assert_eq!(one.digest(2_000), other.digest(2_000));
        Ok(())
    });
}

fn prompt_parts(prompt: &str) -> Vec<Digest> {
    let call = GenerateCall {
        request_id: String::new(),
        branch: String::new(),
        model: "chat".to_owned(),
        manifest: Digest::of_bytes(b"weights"),
        prompt: prompt.to_owned(),
        max_tokens: 1,
        seed: 0,
        priority: 0,
        resume_from: 0,
        deadline_ms: 1_000,
        is_suspect: false,
    };
    call.causes().parts().to_vec()
}

#[test]
fn causes_beginnings_of_prompts_shared() {
    let beginning = "x".repeat(200);
    let one = prompt_parts(&format!("{beginning} one"));
    let other = prompt_parts(&format!("{beginning} another one"));
    assert_eq!(one, other);
    assert!(!one.is_empty());
    let different = prompt_parts(&"y".repeat(200));
    assert!(!one.iter().any(|part| different.contains(part)));
    // The whole prompt is the request itself.
    assert_eq!(prompt_parts(&"x".repeat(64)), []);
    assert!(prompt_parts(&"x".repeat(10_000_000)).len() <= 64);
}
