use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use actix_rt::time::sleep;

use crate::document::follow::ConfigStatus;
use crate::hosts::Datagram;
use crate::hosts::Heartbeat;
use crate::hosts::HeartbeatAnswer;
use crate::hosts::HeartbeatOutcome;
use crate::node::Node;
use crate::node::config_request::apply_peer_status;
use crate::node::fetch_config;
use crate::node::report_targets::ReportTarget;
use crate::node::reporter::HeartbeatSocket;
use crate::node::reporter::send_report;

/// Largest datagram that is received, in bytes.
const MAX_DATAGRAM_BYTES: usize = 1024;

/// Pause after an error of the socket, such as the one that a closed port of a peer causes.
const RECEIVE_ERROR_PAUSE: Duration = Duration::from_millis(10);

/// Receives and handles datagrams for as long as the process runs.
pub(super) async fn receive_datagrams(node: Arc<Node>, socket: Arc<HeartbeatSocket>) {
    let mut buffer = [0; MAX_DATAGRAM_BYTES];
    loop {
        let received: io::Result<_> = socket.udp_socket.recv_from(&mut buffer).await;
        let Ok((length, from)) = received else {
            sleep(RECEIVE_ERROR_PAUSE).await;
            continue;
        };
        if node.simulated_partition().blocks_address(from) {
            continue;
        }
        node.count_datagram("received", length);
        match Datagram::open(&buffer[..length], &socket.key) {
            Some(Datagram::Beat(heartbeat)) => handle_heartbeat(&node, &socket, &heartbeat, from),
            Some(Datagram::Answer(answer)) => {
                let node = Arc::clone(&node);
                actix_rt::spawn(async move { handle_answer(&node, &answer).await });
            }
            None => {}
        }
    }
}

/// Merges a heartbeat; answers it if the sender is behind, must report or wants an answer.
fn handle_heartbeat(
    node: &Node,
    socket: &HeartbeatSocket,
    heartbeat: &Heartbeat,
    from: SocketAddr,
) {
    let now_ms = node.now_ms();
    let wants_report = match node.roster().merge_heartbeat(heartbeat, now_ms) {
        // A report exchanges the suspect records of both sides.
        HeartbeatOutcome::Known => heartbeat.suspects != node.suspects_tag(),
        HeartbeatOutcome::NeedsReport => true,
        HeartbeatOutcome::Outdated => return,
    };
    let is_behind = heartbeat.config_offset < node.config_position().offset;
    if wants_report || is_behind || heartbeat.wants_answer {
        let answer = node.heartbeat_answer(heartbeat.incarnation, heartbeat.sent_ms, wants_report);
        let datagram = Datagram::Answer(answer).seal(&socket.key);
        socket.send(node, &datagram, from);
    }
}

/// Handles an entry's answer: fetches the configuration if this process is behind,
/// otherwise applies the entry's status, and sends a report if requested.
async fn handle_answer(node: &Arc<Node>, answer: &HeartbeatAnswer) {
    if answer.to != node.incarnation() {
        return;
    }
    let Some(target) = find_sender(node, answer) else {
        return;
    };
    if answer.config.offset > node.follower().fold().head() {
        fetch_config(node, &target.name, target.address).await;
    } else {
        let status = ConfigStatus {
            head: answer.config.offset,
            digest: answer.config.digest,
            is_voter: answer.is_voter,
            confirmed_age_ms: answer.confirmed_age_ms,
        };
        apply_peer_status(node, answer.asked_ms, &target.name, status);
    }
    if answer.wants_report {
        send_report(node, target).await;
    }
}

/// Returns the entry that sent the answer, if it is in the roster.
fn find_sender(node: &Node, answer: &HeartbeatAnswer) -> Option<ReportTarget> {
    let roster = node.roster();
    let key = roster.key_of_tag(answer.name)?;
    let host = roster.host(key)?;
    Some(ReportTarget {
        key,
        name: host.name.clone(),
        address: host.address,
    })
}
