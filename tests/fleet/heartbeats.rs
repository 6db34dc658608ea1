//! Liveness of processes that send heartbeats at different intervals.

use bergamotfork::fleet::HeartbeatGaps;
use bergamotfork::fleet::remote_beats;

const LONGEST_MS: u64 = 1_000;

const MISSED: f64 = 3.6;

const SHORTEST_MS: u64 = 900;

fn gaps_at_interval(interval_ms: u64) -> HeartbeatGaps {
    let mut gaps = HeartbeatGaps::new(0, 250);
    for beat in 1..=8 {
        gaps.record(beat * interval_ms, LONGEST_MS);
    }
    gaps
}

fn is_live_after(gaps: &HeartbeatGaps, silent_ms: u64) -> bool {
    gaps.is_live(gaps.last_received_ms() + silent_ms, MISSED, SHORTEST_MS)
}

#[test]
fn is_live_by_interval() {
    let near = gaps_at_interval(250);
    assert!(is_live_after(&near, 899) && !is_live_after(&near, 900));
    let remote = gaps_at_interval(1_000);
    assert!(is_live_after(&remote, 3_599) && !is_live_after(&remote, 3_600));
}

/// Guards against a process that counts as live for long since it was once away for long.
#[test]
fn is_live_after_outage() {
    let mut gaps = gaps_at_interval(250);
    gaps.record(60_000, LONGEST_MS);
    assert!(!is_live_after(&gaps, 3_600));
    for beat in 1..=4 {
        gaps.record(60_000 + beat * 250, LONGEST_MS);
    }
    assert!(!is_live_after(&gaps, 900));
}

/// Guards against a process that counts as failed between two regular heartbeats, since
/// others followed each other at once after an update.
#[test]
fn is_live_after_updates() {
    let mut gaps = gaps_at_interval(1_000);
    for update in 1..=3 {
        gaps.record(8_000 + update * 5, LONGEST_MS);
    }
    assert!(is_live_after(&gaps, 1_000));
}

#[test]
fn remote_beats_by_receivers() {
    assert_eq!([0, 32, 33, 64, 300].map(remote_beats), [1, 1, 2, 2, 4]);
}
