//! Tests of the roster with a lagging, empty or halved list of the platform.

mod heartbeat;

use arbtest::arbtest;

use bergamotfork::clients::HostList;
use bergamotfork::hosts::ConfigPosition;
use bergamotfork::hosts::HOST_EXPIRY_MS;
use bergamotfork::hosts::HostRecord;
use bergamotfork::hosts::HostRole;
use bergamotfork::hosts::HostStatus;
use bergamotfork::hosts::ListOutcome;
use bergamotfork::hosts::ListedState;
use bergamotfork::hosts::Load;
use bergamotfork::hosts::REMOVAL_DELAY_MS;
use bergamotfork::hosts::Report;
use bergamotfork::hosts::ReportOutcome;
use bergamotfork::hosts::Roster;
use bergamotfork::hosts::SILENCE_MS;
use bergamotfork::weights::Digest;

/// Promised time after the last message of a failed host from which on it gets no new
/// work, in ms.
const NO_NEW_WORK_MS: u64 = 3000;

fn record(number: usize) -> HostRecord {
    HostRecord {
        name: format!("host-{number:03}"),
        address: format!("127.0.0.1:{}", 7000 + number)
            .parse()
            .expect("an address"),
        role: HostRole::Endpoint,
        region: "or-north".to_owned(),
        domain: "a".to_owned(),
        service: None,
        state: ListedState::Live,
    }
}

fn list(version: u64, count: usize) -> HostList {
    HostList {
        version,
        hosts: (0..count).map(record).collect(),
    }
}

fn report(number: usize, incarnation: u64) -> Report {
    let host = record(number);
    Report {
        name: host.name,
        address: host.address,
        role: host.role,
        region: host.region,
        domain: host.domain,
        service: None,
        incarnation,
        leaving: false,
        config: ConfigPosition {
            offset: 0,
            digest: Digest::of_bytes(b""),
        },
        load: Load::default(),
        served: Vec::new(),
        permit_epoch: 0,
        suspects: Vec::new(),
    }
}

fn status(roster: &Roster, number: usize, now_ms: u64) -> Option<HostStatus> {
    let key = roster.key(&record(number).name)?;
    roster.host(key).map(|host| host.status(now_ms))
}

#[test]
fn status_silent_host_still_listed() {
    let mut roster = Roster::new();
    roster.merge_list(&list(1, 3), 0);
    roster.merge_report(&report(0, 1), 1000);
    assert_eq!(status(&roster, 0, 1000), Some(HostStatus::Usable));
    roster.merge_list(&list(1, 3), 1000 + NO_NEW_WORK_MS);
    assert_eq!(
        status(&roster, 0, 1000 + NO_NEW_WORK_MS),
        Some(HostStatus::Silent)
    );
    const { assert!(SILENCE_MS < NO_NEW_WORK_MS) };
}

#[test]
fn status_failed_until_next_report() {
    let mut roster = Roster::new();
    roster.merge_report(&report(0, 1), 1000);
    let key = roster.key("host-000").expect("the host has reported");
    roster.record_failure(key, 1100);
    assert_eq!(status(&roster, 0, 1100), Some(HostStatus::Failed));
    roster.merge_report(&report(0, 1), 1200);
    assert_eq!(status(&roster, 0, 1200), Some(HostStatus::Usable));
}

#[test]
fn merge_report_replaced_incarnation() {
    let mut roster = Roster::new();
    roster.merge_report(&report(0, 5), 1000);
    let key = roster.key("host-000").expect("the host has reported");
    roster.record_leaving(key);
    assert_eq!(
        roster.merge_report(&report(0, 4), 1100),
        ReportOutcome::Outdated
    );
    assert_eq!(status(&roster, 0, 1100), Some(HostStatus::Leaving));
    assert_eq!(
        roster.merge_report(&report(0, 6), 1200),
        ReportOutcome::Replaced
    );
    assert_eq!(status(&roster, 0, 1200), Some(HostStatus::Usable));
}

#[test]
fn merge_report_leaving_is_kept() {
    let mut roster = Roster::new();
    let mut leaving_report = report(0, 5);
    leaving_report.leaving = true;
    roster.merge_report(&leaving_report, 1000);
    // A report that was sent before the last one arrives after it.
    roster.merge_report(&report(0, 5), 1100);
    assert_eq!(status(&roster, 0, 1100), Some(HostStatus::Leaving));
}

#[test]
fn merge_list_empty_keeps_hosts() {
    let mut roster = Roster::new();
    roster.merge_list(&list(1, 4), 0);
    assert_eq!(
        roster.merge_list(&list(2, 0), 1000),
        ListOutcome::RemovalsDeferred
    );
    let later_ms = 1000 + 10 * REMOVAL_DELAY_MS;
    assert_eq!(
        roster.merge_list(&list(2, 0), later_ms),
        ListOutcome::RemovalsDeferred
    );
    assert_eq!(roster.hosts().count(), 4);
}

#[test]
fn merge_list_halved_defers_removals() {
    let mut roster = Roster::new();
    roster.merge_list(&list(1, 8), 0);
    assert_eq!(
        roster.merge_list(&list(2, 4), 1000),
        ListOutcome::RemovalsDeferred
    );
    assert_eq!(roster.hosts().count(), 8);
    let applied_ms = 1000 + REMOVAL_DELAY_MS;
    assert_eq!(
        roster.merge_list(&list(2, 4), applied_ms),
        ListOutcome::Applied
    );
    roster.remove_expired(applied_ms + HOST_EXPIRY_MS + 1);
    assert_eq!(roster.hosts().count(), 4);
}

#[test]
fn merge_list_removals_one_by_one() {
    let mut roster = Roster::new();
    roster.merge_list(&list(1, 8), 0);
    for remaining in (1..8).rev() {
        let version = 9 - remaining as u64;
        roster.merge_list(&list(version, remaining), version * 1000);
    }
    // Only the last removal, of one of two hosts, is deferred.
    assert_eq!(roster.list_version(), 7);
}

#[test]
fn host_removed_key() {
    let mut roster = Roster::new();
    roster.merge_report(&report(0, 1), 0);
    let key = roster.key("host-000").expect("the host has reported");
    roster.remove_expired(HOST_EXPIRY_MS + 1);
    assert!(roster.host(key).is_none());
    roster.merge_report(&report(1, 1), HOST_EXPIRY_MS + 2);
    assert!(
        roster.host(key).is_none(),
        "a stale key names no other host"
    );
}

#[test]
fn status_any_message_order() {
    arbtest(|u| {
        let mut roster = Roster::new();
        let mut last_received_ms = [None; 4];
        let mut now_ms = 0;
        for _ in 0..40 {
            now_ms += u64::from(u.int_in_range(0..=4000u16)?);
            if u.ratio(1, 3)? {
                let count = u.int_in_range(0..=4)?;
                roster.merge_list(&list(now_ms, count), now_ms);
            } else {
                let number = u.choose_index(4)?;
                let incarnation = u.int_in_range(1..=3)?;
                if roster.merge_report(&report(number, incarnation), now_ms)
                    != ReportOutcome::Outdated
                {
                    last_received_ms[number] = Some(now_ms);
                }
            }
            for (number, last_ms) in last_received_ms.iter().enumerate() {
                let Some(last_ms) = last_ms else { continue };
                let usable = status(&roster, number, now_ms) == Some(HostStatus::Usable);
                let silent_ms = now_ms - last_ms;
                assert!(
                    usable || silent_ms > SILENCE_MS,
                    "received from and not usable"
                );
                assert!(!usable || silent_ms < NO_NEW_WORK_MS, "silent and usable");
            }
        }
        Ok(())
    })
    .seed(0x0000_0001_0000_0400);
}
