use super::report;
use super::status;
use bergamotfork::hosts::Datagram;
use bergamotfork::hosts::Heartbeat;
use bergamotfork::hosts::HeartbeatKey;
use bergamotfork::hosts::HeartbeatOutcome;
use bergamotfork::hosts::HostStatus;
use bergamotfork::hosts::HostedVersion;
use bergamotfork::hosts::NameTag;
use bergamotfork::hosts::Report;
use bergamotfork::hosts::Roster;
use bergamotfork::hosts::VersionProgress;
use bergamotfork::weights::Digest;

/// Largest control traffic of a process, in bytes per second.
const CONTROL_BYTES_PER_S: usize = 11 * 1024;

/// Size of the IP and UDP headers of a datagram, in bytes.
const HEADER_BYTES: usize = 28;

fn heartbeat(report: &Report) -> Heartbeat {
    Heartbeat {
        name: NameTag::of_name(&report.name),
        incarnation: report.incarnation,
        sent_ms: 86_400_000,
        state: report.state_tag(),
        suspects: report.state_tag(),
        leaving: report.leaving,
        wants_answer: true,
        config_offset: 1 << 30,
        load: report.load,
        permit_epoch: 1 << 20,
    }
}

#[test]
fn open_sealed_datagram() {
    let key = HeartbeatKey::derive("a shared key of the hosts");
    let datagram = Datagram::Beat(heartbeat(&report(0, 1 << 50)));
    let bytes = datagram.seal(&key);
    assert_eq!(Datagram::open(&bytes, &key), Some(datagram));
    let other = HeartbeatKey::derive("another key");
    assert_eq!(Datagram::open(&bytes, &other), None);
    for index in 0..bytes.len() {
        let mut changed = bytes.clone();
        changed[index] ^= 1;
        assert_eq!(Datagram::open(&changed, &key), None, "byte {index}");
        assert_eq!(Datagram::open(&bytes[..index], &key), None, "{index} bytes");
    }
}

#[test]
fn seal_size() {
    let key = HeartbeatKey::derive("a shared key of the hosts");
    let bytes = Datagram::Beat(heartbeat(&report(0, 1 << 50))).seal(&key);
    // 60 endpoints and 8 entries each send a heartbeat per second.
    assert!(
        68 * (bytes.len() + HEADER_BYTES) < CONTROL_BYTES_PER_S,
        "{}",
        bytes.len()
    );
}

#[test]
fn merge_heartbeat_unknown_host() {
    let mut roster = Roster::new();
    let sent = report(0, 5);
    assert_eq!(
        roster.merge_heartbeat(&heartbeat(&sent), 1000),
        HeartbeatOutcome::NeedsReport
    );
    roster.merge_report(&sent, 1100);
    assert_eq!(
        roster.merge_heartbeat(&heartbeat(&sent), 3000),
        HeartbeatOutcome::Known
    );
    assert_eq!(status(&roster, 0, 5000), Some(HostStatus::Usable));
    assert_eq!(status(&roster, 0, 6000), Some(HostStatus::Silent));
}

#[test]
fn merge_heartbeat_changed_state() {
    let mut roster = Roster::new();
    let mut sent = report(0, 5);
    roster.merge_report(&sent, 1000);
    sent.served.push(HostedVersion {
        model: "chat".to_owned(),
        version: "v1".to_owned(),
        manifest: Digest::of_bytes(b"v1"),
        progress: VersionProgress::Serving,
        present_percent: 100,
        held: None,
    });
    assert_eq!(
        roster.merge_heartbeat(&heartbeat(&sent), 1100),
        HeartbeatOutcome::NeedsReport
    );
    roster.merge_report(&sent, 1200);
    assert_eq!(
        roster.merge_heartbeat(&heartbeat(&sent), 1300),
        HeartbeatOutcome::Known
    );
}

#[test]
fn merge_heartbeat_other_incarnation() {
    let mut roster = Roster::new();
    roster.merge_report(&report(0, 5), 1000);
    let old = heartbeat(&report(0, 4));
    assert_eq!(
        roster.merge_heartbeat(&old, 9000),
        HeartbeatOutcome::Outdated
    );
    assert_eq!(status(&roster, 0, 9000), Some(HostStatus::Silent));
    let new = heartbeat(&report(0, 6));
    assert_eq!(
        roster.merge_heartbeat(&new, 9000),
        HeartbeatOutcome::NeedsReport
    );
    assert_eq!(status(&roster, 0, 9000), Some(HostStatus::Silent));
}

#[test]
fn merge_heartbeat_leaving_is_kept() {
    let mut roster = Roster::new();
    let mut sent = report(0, 5);
    roster.merge_report(&sent, 1000);
    sent.leaving = true;
    roster.merge_heartbeat(&heartbeat(&sent), 1100);
    sent.leaving = false;
    roster.merge_heartbeat(&heartbeat(&sent), 1200);
    assert_eq!(status(&roster, 0, 1200), Some(HostStatus::Leaving));
}
