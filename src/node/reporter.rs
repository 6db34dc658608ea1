use std::io;
use std::net::UdpSocket as StdUdpSocket;
use std::sync::Arc;
use std::time::Duration;

use actix::Actor;
use actix::AsyncContext;
use actix::Context;
use actix::WrapFuture;
use actix_rt::net::UdpSocket;

use crate::hosts::Datagram;
use crate::hosts::HeartbeatKey;
use crate::hosts::HostRole;
use crate::hosts::ReportAnswer;
use crate::node::Node;
use crate::node::config_request::apply_peer_status;
use crate::node::datagram_receiver::receive_datagrams;
use crate::node::fetch_config;
use crate::node::report_targets::ReportTarget;
use crate::node::report_targets::report_targets;
use crate::observe::Event;
use crate::observe::emit_event;

/// Interval at which the process records that it runs, to detect pauses.
const PAUSE_CHECK_INTERVAL: Duration = Duration::from_millis(500);

/// Interval at which an entry checks whether to notify hosts of a new offset.
const NOTIFY_INTERVAL: Duration = Duration::from_millis(50);

/// Number of rounds of heartbeats of which one wants an answer from each report target.
const ROUNDS_PER_ANSWER: u64 = 5;

/// Timeout of a report to an entry, in ms.
const REPORT_TIMEOUT_MS: u64 = 1000;

/// Sends heartbeats and reports to the entries and receives their answers.
#[derive(Debug)]
pub struct Reporter {
    node: Arc<Node>,
    socket: Arc<HeartbeatSocket>,
    round: u64,
    notified_offset: u64,
}

/// UDP socket of the process and the key that authenticates its datagrams.
#[derive(Debug)]
pub(super) struct HeartbeatSocket {
    pub(super) udp_socket: UdpSocket,
    pub(super) key: HeartbeatKey,
}

impl Reporter {
    /// Creates the reporter of `node`; binds the UDP port with the same number as the TCP
    /// port of `node`.
    ///
    /// # Errors
    ///
    /// Returns the I/O error when the port cannot be bound.
    pub fn bind(node: Arc<Node>) -> io::Result<Self> {
        let socket = StdUdpSocket::bind(node.process().listen)?;
        socket.set_nonblocking(true)?;
        let socket = HeartbeatSocket {
            udp_socket: UdpSocket::from_std(socket)?,
            key: HeartbeatKey::derive(&node.cluster().shared_key),
        };
        Ok(Self {
            node,
            socket: Arc::new(socket),
            round: 0,
            notified_offset: 0,
        })
    }

    /// Sends a full report to all report targets concurrently.
    pub async fn send_reports(node: &Arc<Node>) {
        let reports = report_targets(node)
            .into_iter()
            .map(|target| send_report(node, target));
        futures_util::future::join_all(reports).await;
    }

    /// Sends one round of heartbeats to the report targets.
    fn send_heartbeats(&mut self) {
        let wants_answer =
            self.round.is_multiple_of(ROUNDS_PER_ANSWER) || !self.node.admission().admits();
        self.round += 1;
        let datagram = Datagram::Beat(self.node.heartbeat(wants_answer)).seal(&self.socket.key);
        for target in report_targets(&self.node) {
            self.socket.send(&self.node, &datagram, target.address);
        }
    }

    /// On an entry, notifies each host that is behind a new offset, by an answer that it did not
    /// request; once per offset.
    fn notify_outdated_hosts(&mut self) {
        let head = self.node.config_position().offset;
        if self.node.process().role != HostRole::Entry || head <= self.notified_offset {
            return;
        }
        self.notified_offset = head;
        let now_ms = self.node.now_ms();
        let behind: Vec<_> = self
            .node
            .roster()
            .hosts()
            .filter(|(_, host)| host.config_offset.is_some_and(|offset| offset < head))
            .filter(|(_, host)| host.silent_ms(now_ms).is_some())
            .map(|(_, host)| (host.address, host.incarnation, host.heartbeat_sent_ms()))
            .collect();
        for (address, to, sent_ms) in behind {
            let answer = self.node.heartbeat_answer(to, sent_ms, false);
            let datagram = Datagram::Answer(answer).seal(&self.socket.key);
            self.socket.send(&self.node, &datagram, address);
        }
    }
}

impl HeartbeatSocket {
    /// Sends a sealed datagram; drops it if it cannot be sent at once, since UDP may lose
    /// datagrams anyway.
    pub(super) fn send(&self, node: &Node, datagram: &[u8], to: std::net::SocketAddr) {
        if node.simulated_partition().blocks_address(to) {
            return;
        }
        if self.udp_socket.try_send_to(datagram, to).is_ok() {
            node.count_datagram("sent", datagram.len());
        }
    }
}

impl Actor for Reporter {
    type Context = Context<Self>;

    fn started(&mut self, context: &mut Self::Context) {
        let heartbeat_interval = Duration::from_millis(self.node.cluster().gossip_ms);
        context.run_interval(PAUSE_CHECK_INTERVAL, |this, _| tick(&this.node));
        context.run_interval(heartbeat_interval, |this, _| this.send_heartbeats());
        context.run_interval(NOTIFY_INTERVAL, |this, _| this.notify_outdated_hosts());
        let receiving = receive_datagrams(Arc::clone(&self.node), Arc::clone(&self.socket));
        context.spawn(receiving.into_actor(self));
    }
}

/// Records that the process runs and logs an event if it was paused.
fn tick(node: &Node) {
    let now_ms = node.now_ms();
    if node.follower().tick(now_ms) {
        emit_event(Event::ProcessWoken, &[("host", &node.name())]);
    }
}

/// Sends a full report to one entry and applies the answer.
pub(super) async fn send_report(node: &Arc<Node>, target: ReportTarget) {
    let url = format!("http://{}/x/report", target.address);
    let requested_ms = node.now_ms();
    let report = node.report();
    let answer: Result<ReportAnswer, _> = node.send_request(&url, &report, REPORT_TIMEOUT_MS).await;
    if let Ok(answer) = &answer {
        let now_ms = node.now_ms();
        node.suspects()
            .merge_records(answer.suspects.clone(), now_ms);
    }
    match answer {
        Ok(answer) if answer.config.offset > node.follower().fold().head() => {
            fetch_config(node, &target.name, target.address).await;
        }
        Ok(answer) => apply_peer_status(node, requested_ms, &target.name, answer.config_status()),
        Err(error) if error.is_not_sent() => {
            let now_ms = node.now_ms();
            node.roster().record_failure(target.key, now_ms);
        }
        Err(_) => {}
    }
}
