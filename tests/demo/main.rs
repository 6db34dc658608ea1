//! The `demo` subcommand completes in time and all its checks pass.

use std::process::Command;
use std::process::Stdio;
use std::time::Duration;
use std::time::Instant;

/// Longest time the demonstration may take.
const LIMIT: Duration = Duration::from_secs(30);

#[test]
fn demo_succeeds() {
    let started = Instant::now();
    let output = Command::new(env!("CARGO_BIN_EXE_bergamotfork"))
        .args(["demo", "--model-mib", "8"])
        .stdin(Stdio::null())
        .output()
        .expect("the program starts");
    let text = String::from_utf8_lossy(&output.stdout);
    let faults = String::from_utf8_lossy(&output.stderr);
    assert_eq!(output.status.code(), Some(0), "{text}{faults}");
    assert!(started.elapsed() < LIMIT, "{:?}", started.elapsed());
    for line in [
        "model      8 MiB on 12 hosts",
        "origin",
        "stopped    engine-",
        "generate",
        "lookups",
        "bookings",
        "retries",
    ] {
        assert!(text.contains(line), "no line {line:?} in {text}");
    }
    assert!(text.ends_with("Every check passed.\n"), "{text}");
}

#[test]
fn demo_rejects_too_few_hosts() {
    let output = Command::new(env!("CARGO_BIN_EXE_bergamotfork"))
        .args(["demo", "--hosts", "1"])
        .output()
        .expect("the program starts");
    assert_eq!(output.status.code(), Some(2));
}
