//! What crashes replicas is refused wherever it runs: behind any number of other parts, and at any
//! service of a split route.

use bergamotfork::calls::CompletedRuns;
use bergamotfork::calls::CrashId;
use bergamotfork::calls::RunCauses;
use bergamotfork::calls::SuspectStatus;
use bergamotfork::calls::SuspectTable;
use bergamotfork::calls::fingerprint;

/// Time between two crashes, in ms.
const STEP_MS: u64 = 1_000;

/// Distinct parts that a head of 16,384 bytes can hold, about: ids of two bytes and a comma.
const MOST_PARTS: usize = 5_300;

/// Services of the split routes.
const SERVICES: [&str; 8] = ["s0", "s1", "s2", "s3", "s4", "s5", "s6", "s7"];

fn crash(number: u64) -> CrashId {
    CrashId {
        endpoint: format!("i-{number}"),
        incarnation: 1,
        crash_no: CrashId::PROCESS_CRASH,
    }
}

/// A run with these parts, of a request of its own, at one of some services.
fn part_run(number: u64, services: &[&'static str], at: usize, parts: &[String]) -> RunCauses {
    let request = fingerprint("run", &number.to_be_bytes());
    let elsewhere = services.iter().copied();
    let elsewhere = elsewhere.filter(|other| *other != services[at]);
    RunCauses::of_services(request, services[at], elsewhere, parts)
}

/// Crashes of a part that comes in each of 40 requests, to one service after the other, beside
/// `others` parts that sound requests have as well.
fn crashes_of_part(services: &[&'static str], culprit: &str, others: usize) -> u64 {
    let mut table = SuspectTable::new(600_000, 8_192);
    let mut completed = CompletedRuns::default();
    let sound: Vec<String> = (0..others).map(|number| format!("{number:x}")).collect();
    let mut with_culprit = sound.clone();
    with_culprit.push(culprit.to_owned());
    let mut crashes = 0;
    for number in 0..40 {
        let now_ms = number * STEP_MS;
        for at in 0..services.len() {
            let run = part_run(1_000 + number, services, at, &sound);
            completed.record_parts(&run, now_ms);
            table.clear_run(&run, now_ms);
            let status = table.run_status(&run, &completed, now_ms);
            assert_ne!(status, SuspectStatus::Refused, "a sound request");
        }
        let at = number as usize % services.len();
        let run = part_run(number, services, at, &with_culprit);
        if table.run_status(&run, &completed, now_ms) != SuspectStatus::Refused {
            crashes += 1;
            table.add_crashed_run(&run, &crash(number), 100, now_ms + 100, |part| {
                !completed.rules_out(part, now_ms + 100)
            });
        }
    }
    crashes
}

/// Guards against a part that crashes replicas without end as many others stand before it.
#[test]
fn run_status_part_behind_others_refused() {
    for others in [0, 63, 64, MOST_PARTS - 1] {
        assert_eq!(
            crashes_of_part(&SERVICES[..1], "culprit", others),
            4,
            "{others}"
        );
    }
}

#[test]
fn run_status_part_of_any_id_refused() {
    let long = "x".repeat(16_000);
    for id in ["q", long.as_str(), "\u{fffd}\u{fffd}", "0 0", "-"] {
        assert_eq!(crashes_of_part(&SERVICES[..1], id, 70), 4);
    }
}

#[test]
fn run_causes_repeated_part_counts_once() {
    let ids = ["b", "a", "b", "a", "c"];
    let causes = RunCauses::new(fingerprint("run", b"1"), "s", ids);
    let once = RunCauses::new(fingerprint("run", b"1"), "s", ["b", "a", "c"]);
    assert_eq!(causes.parts(), once.parts());
}

/// Guards against a part that crashes four replicas of each service.
#[test]
fn run_status_part_of_split_route_refused() {
    for count in [1, 2, 4, 8] {
        let crashes = crashes_of_part(&SERVICES[..count], "culprit", 3);
        assert!(crashes <= 8, "{count} services: {crashes} crashes");
    }
}

/// A run of one request at one of the services.
fn request_run(service: &str) -> RunCauses {
    let request = fingerprint(service, b"culprit");
    let identity = fingerprint("anywhere", b"culprit");
    RunCauses::new(request, service, [""; 0]).with_identity(identity)
}

fn request_status(table: &SuspectTable, service: &str, now_ms: u64) -> SuspectStatus {
    table.run_status(&request_run(service), &CompletedRuns::default(), now_ms)
}

/// Adds a crash of the request at a service.
fn add_request(table: &mut SuspectTable, service: &str, number: u64) {
    let run = request_run(service);
    table.add_crashed_run(&run, &crash(number), 100, number * STEP_MS, |_| true);
}

/// Guards against three crashes at each service, also after a route has moved.
#[test]
fn run_status_request_of_split_route_refused() {
    for count in [1, 2, 4, 8] {
        let mut table = SuspectTable::new(600_000, 4_096);
        for number in 0..3 {
            let service = SERVICES[number as usize % count];
            assert_ne!(
                request_status(&table, service, 10_000),
                SuspectStatus::Refused
            );
            add_request(&mut table, service, number);
        }
        for service in SERVICES {
            assert_eq!(
                request_status(&table, service, 10_000),
                SuspectStatus::Refused
            );
        }
    }
}

#[test]
fn run_status_request_of_moved_route_refused() {
    let mut table = SuspectTable::new(600_000, 4_096);
    add_request(&mut table, "s0", 0);
    add_request(&mut table, "s0", 1);
    add_request(&mut table, "s1", 2);
    assert_eq!(request_status(&table, "s1", 3_000), SuspectStatus::Refused);
}

/// A service that runs the request well is told apart from those that it crashes, in every
/// process.
#[test]
fn clear_run_request_served_at_one_service() {
    let mut table = SuspectTable::new(600_000, 4_096);
    for number in 0..3 {
        add_request(&mut table, "s0", number);
    }
    let told = table.clear_run(&request_run("s1"), 4_000);
    let mut other = SuspectTable::new(600_000, 4_096);
    other.merge_records(table.export_records(4_000), 4_000);
    assert!(told.contains(&request_run("s1").request));
    for table in [&table, &other] {
        assert_eq!(request_status(table, "s1", 4_000), SuspectStatus::Clear);
        assert_eq!(request_status(table, "s0", 4_000), SuspectStatus::Refused);
        assert_eq!(request_status(table, "s2", 4_000), SuspectStatus::Refused);
    }
    // A trial at the service that it crashed ends well, too.
    table.clear_run(&request_run("s0"), 30_000);
    for service in ["s0", "s1", "s2"] {
        assert_eq!(
            request_status(&table, service, 30_000),
            SuspectStatus::Clear
        );
    }
}

/// Guards against a service that goes unused for a request which only another one can't run,
/// and against a trial at each of many services.
#[test]
fn is_untried_service_tried_at_most_twice() {
    let mut table = SuspectTable::new(600_000, 4_096);
    for number in 0..3 {
        add_request(&mut table, "s0", number);
    }
    let is_due = |table: &SuspectTable, service, now_ms| {
        let run = request_run(service);
        table.is_untried_service(&run, run.identity, now_ms)
    };
    assert!(!is_due(&table, "s0", 2_500));
    assert!(
        !is_due(&table, "s1", 2_100),
        "other crashes may not be known yet"
    );
    assert!(is_due(&table, "s1", 2_500));
    add_request(&mut table, "s1", 3);
    assert!(!is_due(&table, "s1", 3_500));
    assert!(is_due(&table, "s2", 3_500));
    add_request(&mut table, "s2", 4);
    assert!(!is_due(&table, "s3", 9_000));
}
