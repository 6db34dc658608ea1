use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use actix_rt::time::sleep;

use crate::document::follow::PeerMark;
use crate::hosts::Beat;
use crate::hosts::BeatAnswer;
use crate::hosts::BeatHeard;
use crate::hosts::Datagram;
use crate::node::Node;
use crate::node::config_pull::take_mark;
use crate::node::pull_config;
use crate::node::reporter::Wire;
use crate::node::reporter::report_to;
use crate::node::targets::Target;

/// Longest datagram that is read.
const MAX_DATAGRAM_BYTES: usize = 1024;

/// Pause after the socket gave an error, such as a peer's port that is closed.
const ERROR_PAUSE: Duration = Duration::from_millis(10);

/// Takes in datagrams for as long as the process runs.
pub(super) async fn receive(node: Arc<Node>, wire: Arc<Wire>) {
    let mut buffer = [0; MAX_DATAGRAM_BYTES];
    loop {
        let received: io::Result<_> = wire.socket.recv_from(&mut buffer).await;
        let Ok((length, from)) = received else {
            sleep(ERROR_PAUSE).await;
            continue;
        };
        if node.cuts().blocks_address(from) {
            continue;
        }
        node.count_datagram("received", length);
        match Datagram::open(&buffer[..length], &wire.key) {
            Some(Datagram::Beat(beat)) => take_beat(&node, &wire, &beat, from),
            Some(Datagram::Answer(answer)) => {
                let node = Arc::clone(&node);
                actix_rt::spawn(async move { take_answer(&node, &answer).await });
            }
            None => {}
        }
    }
}

/// Merges a beat, and answers when the sender lacks something or asks.
fn take_beat(node: &Node, wire: &Wire, beat: &Beat, from: SocketAddr) {
    let now_ms = node.now_ms();
    let wants_report = match node.roster().beat(beat, now_ms) {
        // Reports exchange what both know of suspects.
        BeatHeard::Known => beat.suspects != node.suspects_tag(),
        BeatHeard::NeedsReport => true,
        BeatHeard::Outdated => return,
    };
    let is_behind = beat.config_offset < node.config_mark().offset;
    if wants_report || is_behind || beat.wants_answer {
        let answer = node.beat_answer(beat.incarnation, beat.sent_ms, wants_report);
        let datagram = Datagram::Answer(answer).seal(&wire.key);
        wire.send(node, &datagram, from);
    }
}

/// Draws on an entry's answer: reports, pulls, or trusts what it confirms.
async fn take_answer(node: &Arc<Node>, answer: &BeatAnswer) {
    if answer.to != node.incarnation() {
        return;
    }
    let Some(target) = answering(node, answer) else {
        return;
    };
    if answer.config.offset > node.follower().fold().head() {
        pull_config(node, &target.name, target.address).await;
    } else {
        let mark = PeerMark {
            head: answer.config.offset,
            digest: answer.config.digest,
            is_voter: answer.is_voter,
            confirmed_age_ms: answer.confirmed_age_ms,
        };
        take_mark(node, answer.asked_ms, &target.name, mark);
    }
    if answer.wants_report {
        report_to(node, target).await;
    }
}

/// The entry that answers, if it is known here.
fn answering(node: &Node, answer: &BeatAnswer) -> Option<Target> {
    let roster = node.roster();
    let key = roster.tagged(answer.name)?;
    let host = roster.host(key)?;
    Some(Target {
        key,
        name: host.name.clone(),
        address: host.address,
    })
}
