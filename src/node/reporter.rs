use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use actix::Actor;
use actix::AsyncContext;
use actix::Context;
use actix::WrapFuture;

use crate::hosts::HostKey;
use crate::hosts::HostRole;
use crate::hosts::ReportAnswer;
use crate::node::Node;
use crate::node::config_pull::take_report_answer;
use crate::node::pull_config;
use crate::observe::Event;
use crate::observe::emit;

/// Entries one process reports to.
const FANOUT: usize = 12;

/// Time between two checks that the process was not paused.
const TICK: Duration = Duration::from_millis(500);

/// Time an entry has to answer a report.
const ANSWER_WAIT_MS: u64 = 1000;

/// Reports to the entries and learns from their answers who is ahead.
#[derive(Debug)]
pub struct Reporter {
    node: Arc<Node>,
}

impl Reporter {
    /// Reporter of `node`.
    pub fn new(node: Arc<Node>) -> Self {
        Self { node }
    }

    /// Reports once to every entry of the fan-out, all at a time.
    pub async fn report_now(node: &Arc<Node>) {
        let reports = targets(node)
            .into_iter()
            .map(|target| report_to(node, target));
        futures_util::future::join_all(reports).await;
    }
}

impl Actor for Reporter {
    type Context = Context<Self>;

    fn started(&mut self, context: &mut Self::Context) {
        let pause = Duration::from_millis(self.node.cluster().gossip_ms);
        context.run_interval(TICK, |this, _| tick(&this.node));
        context.run_interval(pause, |this, context| {
            let node = Arc::clone(&this.node);
            let round = async move { Self::report_now(&node).await };
            context.spawn(round.into_actor(this));
        });
    }
}

/// An entry to report to.
#[derive(Debug)]
struct Target {
    key: HostKey,
    name: String,
    address: SocketAddr,
}

fn tick(node: &Node) {
    let now_ms = node.now_ms();
    if node.follower().tick(now_ms) {
        emit(Event::ProcessWoken, &[("host", &node.name())]);
    }
}

/// Entries this process reports to: the first by rendezvous rank of the names,
/// and all of them while it needs the answers of a majority.
fn targets(node: &Node) -> Vec<Target> {
    let fanout = if node.is_ready() { FANOUT } else { usize::MAX };
    let roster = node.roster();
    let mut ranked: Vec<_> = roster
        .hosts()
        .filter(|(_, host)| host.role == HostRole::Entry && host.name != node.name())
        .map(|(key, host)| (rank(node.name(), &host.name), key, host))
        .collect();
    ranked.sort_unstable_by_key(|(rank, key, _)| (*rank, *key));
    ranked
        .into_iter()
        .take(fanout)
        .map(|(_, key, host)| Target {
            key,
            name: host.name.clone(),
            address: host.address,
        })
        .collect()
}

fn rank(from: &str, to: &str) -> [u8; 32] {
    *blake3::hash(format!("{from}\n{to}").as_bytes()).as_bytes()
}

async fn report_to(node: &Arc<Node>, target: Target) {
    let url = format!("http://{}/x/report", target.address);
    let asked_ms = node.now_ms();
    let report = node.report();
    let answer: Result<ReportAnswer, _> = node.ask(&url, &report, ANSWER_WAIT_MS).await;
    match answer {
        Ok(answer) if answer.config.offset > node.follower().fold().head() => {
            pull_config(node, &target.name, target.address).await;
        }
        Ok(answer) => take_report_answer(node, asked_ms, &target.name, &answer),
        Err(error) if error.is_not_sent() => {
            let now_ms = node.now_ms();
            node.roster().failed(target.key, now_ms);
        }
        Err(_) => {}
    }
}
