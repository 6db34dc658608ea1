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
use crate::node::pull_config;

/// Entries one process reports to.
const FANOUT: usize = 12;

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
        let targets = targets(node);
        let reports = targets
            .into_iter()
            .map(|(key, address)| report_to(node, key, address));
        futures_util::future::join_all(reports).await;
    }
}

impl Actor for Reporter {
    type Context = Context<Self>;

    fn started(&mut self, context: &mut Self::Context) {
        let pause = Duration::from_millis(self.node.cluster().gossip_ms);
        context.run_interval(pause, |this, context| {
            let node = Arc::clone(&this.node);
            let round = async move { Self::report_now(&node).await };
            context.spawn(round.into_actor(this));
        });
    }
}

/// Entries this process reports to: the first by rendezvous rank of the names.
fn targets(node: &Node) -> Vec<(HostKey, SocketAddr)> {
    let roster = node.roster();
    let mut ranked: Vec<_> = roster
        .hosts()
        .filter(|(_, host)| host.role == HostRole::Entry && host.name != node.name())
        .map(|(key, host)| (rank(node.name(), &host.name), key, host.address))
        .collect();
    ranked.sort_unstable();
    ranked
        .into_iter()
        .take(FANOUT)
        .map(|(_, key, address)| (key, address))
        .collect()
}

fn rank(from: &str, to: &str) -> [u8; 32] {
    *blake3::hash(format!("{from}\n{to}").as_bytes()).as_bytes()
}

async fn report_to(node: &Arc<Node>, key: HostKey, address: SocketAddr) {
    let url = format!("http://{address}/x/report");
    let report = node.report();
    let answer: Result<ReportAnswer, _> = node.ask(&url, &report, ANSWER_WAIT_MS).await;
    match answer {
        Ok(answer) if answer.config.offset > node.fold().head() => {
            pull_config(node, address).await;
        }
        Ok(_) => {}
        Err(error) if error.is_not_sent() => {
            let now_ms = node.now_ms();
            node.roster().failed(key, now_ms);
        }
        Err(_) => {}
    }
}
