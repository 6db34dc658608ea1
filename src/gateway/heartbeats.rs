use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use tokio::net::UdpSocket;

use crate::fleet::EntryHeartbeat;
use crate::fleet::Topic;
use crate::fleet::remote_beats;
use crate::gateway::Datagram;
use crate::gateway::GatewayState;
use crate::gateway::KeptConfig;
use crate::gateway::TopicSink;
use crate::gateway::datagram::send_to_all;
use crate::gateway::heartbeat_targets::Target;
use crate::gateway::heartbeat_targets::endpoint_targets;
use crate::gateway::heartbeat_targets::entry_targets;

/// Interval of the heartbeats between entries.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(250);

/// Heartbeats to entries for each heartbeat to an endpoint process.
const HEARTBEATS_PER_ENDPOINT_HEARTBEAT: u64 = 2;

/// Largest number of crash suspects in one heartbeat, so that it fits a datagram.
const MAX_SENT_SUSPECTS: usize = 16;

/// Sends heartbeats to the other entries and, less often, to the endpoint processes; to
/// those of other regions still less often, the more there are.
///
/// After an update notice, the next heartbeat goes to all of them without delay.
pub async fn send_heartbeats(state: Rc<RefCell<GatewayState>>, socket: Rc<UdpSocket>) {
    let mut heartbeat_count = 0u64;
    let mut has_update = false;
    let notice = state.borrow().update_notice.clone();
    loop {
        let (heartbeat, kept_config, entries, targets) = {
            let mut state = state.borrow_mut();
            state.record_run();
            state.remove_expired_replicas();
            state.log_silence_changes();
            state.log_idle_domains();
            let heartbeat = Datagram::Beat(own_heartbeat(&state));
            let (entries, endpoints) = (entry_targets(&state), endpoint_targets(&state));
            let remote = entries.iter().chain(&endpoints).filter(|t| t.is_remote);
            let remote_beats = remote_beats(remote.count());
            let is_due = |target: &Target, beats: u64| {
                let beats = if target.is_remote {
                    beats * remote_beats
                } else {
                    beats
                };
                has_update || heartbeat_count.is_multiple_of(beats)
            };
            let due_entries = entries.iter().filter(|t| is_due(t, 1));
            let due_endpoints = endpoints
                .iter()
                .filter(|t| is_due(t, HEARTBEATS_PER_ENDPOINT_HEARTBEAT));
            let mut targets: Vec<SocketAddr> = due_entries
                .chain(due_endpoints)
                .map(|target| target.address)
                .collect();
            targets.sort_unstable();
            targets.dedup();
            let entries: Vec<SocketAddr> = entries.iter().map(|target| target.address).collect();
            (heartbeat.encode(), kept_config(&state), entries, targets)
        };
        send_to_all(&socket, &heartbeat, &targets);
        if let Some(notice) = kept_config {
            send_to_all(&socket, &notice, &entries);
        }
        for (notice, host) in state.borrow_mut().take_leaving_notices() {
            let receivers: Vec<SocketAddr> = entries.iter().copied().chain(host).collect();
            send_to_all(&socket, &Datagram::Leaving(notice).encode(), &receivers);
        }
        heartbeat_count += 1;
        has_update = tokio::time::timeout(HEARTBEAT_INTERVAL, notice.notified())
            .await
            .is_ok();
    }
}

/// Encoded notice of a configuration that the store has lost; None if it has lost none.
fn kept_config(state: &GatewayState) -> Option<Vec<u8>> {
    let version = state.catalog.as_ref()?.version;
    let has_kept_records = state.topic_table(Topic::Operator).has_kept_records();
    has_kept_records.then(|| {
        Datagram::Kept(KeptConfig {
            internal: state.settings.internal,
            version,
        })
        .encode()
    })
}

/// Heartbeat with the present state of this entry.
pub(super) fn own_heartbeat(state: &GatewayState) -> EntryHeartbeat {
    let now_ms = state.now_ms();
    let suspects = state.suspects.most_suspected(MAX_SENT_SUSPECTS, now_ms);
    EntryHeartbeat {
        name: state.settings.name.clone(),
        incarnation: state.incarnation,
        internal: state.settings.internal,
        front: state.settings.front,
        failure_domain: state.settings.failure_domain.clone(),
        link_mbps: state.settings.link_mbps,
        is_ready: state.is_ready(),
        has_store: state.has_store(),
        ends: state.end_offsets(),
        replicas_age_ms: state.reported_replicas_age_ms(),
        declared: state.weights.recent_ages(now_ms as i64),
        suspects,
    }
}
