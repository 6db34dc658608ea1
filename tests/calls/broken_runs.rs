use bergamotfork::calls::BrokenRun;
use bergamotfork::calls::BrokenRunKind;
use bergamotfork::calls::BrokenRuns;
use bergamotfork::calls::CrashId;
use bergamotfork::calls::CrashSign;
use bergamotfork::calls::RunCauses;
use bergamotfork::calls::fingerprint;

/// A run that ended at `at_ms`, of a prompt with this many parts.
fn run(at_ms: u64, parts: usize) -> BrokenRun {
    let parts = (0..parts).map(|part| format!("{at_ms}-{part}"));
    BrokenRun {
        causes: RunCauses::new(fingerprint(&at_ms.to_string(), b""), "s", parts),
        crash: CrashId {
            endpoint: "e".to_owned(),
            incarnation: 1,
            crash_no: 0,
        },
        address: "127.0.0.1:1".parse().expect("an address"),
        kind: BrokenRunKind::ConnectionEnded,
        sent_ms: at_ms,
        at_ms,
    }
}

/// Runs that are kept of 600 with this many parts each, the newest last.
fn kept_of(parts: usize) -> Vec<BrokenRun> {
    let mut runs = BrokenRuns::default();
    for at_ms in 0..600 {
        runs.add(run(at_ms, parts));
    }
    runs.take_crashed(CrashSign::ConnectionRefused, 600, |_| true)
}

#[test]
fn broken_runs_usual_prompts_all_kept() {
    assert_eq!(kept_of(100).len(), 512);
}

#[test]
fn broken_runs_many_parts_newest_kept() {
    let kept = kept_of(5_000);
    let parts: usize = kept.iter().map(|run| run.causes.parts().len()).sum();
    assert!(parts <= 64 * 1024);
    assert_eq!(kept.last().map(|run| run.at_ms), Some(599));
    assert!(kept.len() > 10);
}

#[test]
fn broken_runs_too_many_parts_in_one_kept() {
    assert_eq!(kept_of(70_000).len(), 1);
}
