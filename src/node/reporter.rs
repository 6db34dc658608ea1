use std::io;
use std::net::UdpSocket as StdUdpSocket;
use std::sync::Arc;
use std::time::Duration;

use actix::Actor;
use actix::AsyncContext;
use actix::Context;
use actix::WrapFuture;
use actix_rt::net::UdpSocket;

use crate::hosts::BeatKey;
use crate::hosts::Datagram;
use crate::hosts::HostRole;
use crate::hosts::ReportAnswer;
use crate::node::Node;
use crate::node::beat_receiver::receive;
use crate::node::config_pull::take_mark;
use crate::node::pull_config;
use crate::node::targets::Target;
use crate::node::targets::targets;
use crate::observe::Event;
use crate::observe::emit_event;

/// Time between two checks that the process was not paused.
const TICK: Duration = Duration::from_millis(500);

/// Time between two looks at whether those behind should be told of a new offset.
const NUDGE: Duration = Duration::from_millis(50);

/// Beats between two that want an answer though nothing is new.
const ANSWERED_EVERY: u64 = 5;

/// Time an entry has to answer a report.
const ANSWER_WAIT_MS: u64 = 1000;

/// Sends beats and reports to the entries and learns who is ahead.
#[derive(Debug)]
pub struct Reporter {
    node: Arc<Node>,
    wire: Arc<Wire>,
    round: u64,
    nudged_offset: u64,
}

/// The socket that datagrams go through, and their key.
#[derive(Debug)]
pub(super) struct Wire {
    pub(super) socket: UdpSocket,
    pub(super) key: BeatKey,
}

impl Reporter {
    /// Reporter of `node`, on the UDP port of the number that `node` listens on.
    ///
    /// # Errors
    ///
    /// The I/O error when the port cannot be bound.
    pub fn bind(node: Arc<Node>) -> io::Result<Self> {
        let socket = StdUdpSocket::bind(node.process().listen)?;
        socket.set_nonblocking(true)?;
        let wire = Wire {
            socket: UdpSocket::from_std(socket)?,
            key: BeatKey::derive(&node.cluster().shared_key),
        };
        Ok(Self {
            node,
            wire: Arc::new(wire),
            round: 0,
            nudged_offset: 0,
        })
    }

    /// Sends a full report to every entry of the fan-out, all at a time.
    pub async fn report_now(node: &Arc<Node>) {
        let reports = targets(node)
            .into_iter()
            .map(|target| report_to(node, target));
        futures_util::future::join_all(reports).await;
    }

    /// Sends one round of beats.
    fn beat_all(&mut self) {
        let wants_answer =
            self.round.is_multiple_of(ANSWERED_EVERY) || !self.node.admission().admits();
        self.round += 1;
        let datagram = Datagram::Beat(self.node.beat(wants_answer)).seal(&self.wire.key);
        for target in targets(&self.node) {
            self.wire.send(&self.node, &datagram, target.address);
        }
    }

    /// Tells those who are behind that there is a new offset.
    fn nudge(&mut self) {
        let head = self.node.config_mark().offset;
        if self.node.process().role != HostRole::Entry || head <= self.nudged_offset {
            return;
        }
        self.nudged_offset = head;
        let now_ms = self.node.now_ms();
        let behind: Vec<_> = self
            .node
            .roster()
            .hosts()
            .filter(|(_, host)| host.config_offset.is_some_and(|offset| offset < head))
            .filter(|(_, host)| host.silent_ms(now_ms).is_some())
            .map(|(_, host)| (host.address, host.incarnation, host.beat_sent_ms()))
            .collect();
        for (address, to, asked_ms) in behind {
            let answer = self.node.beat_answer(to, asked_ms, false);
            let datagram = Datagram::Answer(answer).seal(&self.wire.key);
            self.wire.send(&self.node, &datagram, address);
        }
    }
}

impl Wire {
    /// Sends a sealed datagram; one that cannot go out now is lost, as on the way.
    pub(super) fn send(&self, node: &Node, datagram: &[u8], to: std::net::SocketAddr) {
        if node.cuts().blocks_address(to) {
            return;
        }
        if self.socket.try_send_to(datagram, to).is_ok() {
            node.count_datagram("sent", datagram.len());
        }
    }
}

impl Actor for Reporter {
    type Context = Context<Self>;

    fn started(&mut self, context: &mut Self::Context) {
        let pause = Duration::from_millis(self.node.cluster().gossip_ms);
        context.run_interval(TICK, |this, _| tick(&this.node));
        context.run_interval(pause, |this, _| this.beat_all());
        context.run_interval(NUDGE, |this, _| this.nudge());
        let receiving = receive(Arc::clone(&self.node), Arc::clone(&self.wire));
        context.spawn(receiving.into_actor(self));
    }
}

fn tick(node: &Node) {
    let now_ms = node.now_ms();
    if node.follower().tick(now_ms) {
        emit_event(Event::ProcessWoken, &[("host", &node.name())]);
    }
}

/// Sends a full report to one entry and draws on its answer.
pub(super) async fn report_to(node: &Arc<Node>, target: Target) {
    let url = format!("http://{}/x/report", target.address);
    let asked_ms = node.now_ms();
    let report = node.report();
    let answer: Result<ReportAnswer, _> = node.ask(&url, &report, ANSWER_WAIT_MS).await;
    if let Ok(answer) = &answer {
        let now_ms = node.now_ms();
        node.suspects()
            .merge_records(answer.suspects.clone(), now_ms);
    }
    match answer {
        Ok(answer) if answer.config.offset > node.follower().fold().head() => {
            pull_config(node, &target.name, target.address).await;
        }
        Ok(answer) => take_mark(node, asked_ms, &target.name, answer.mark()),
        Err(error) if error.is_not_sent() => {
            let now_ms = node.now_ms();
            node.roster().failed(target.key, now_ms);
        }
        Err(_) => {}
    }
}
