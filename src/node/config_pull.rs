use std::net::SocketAddr;

use serde::Deserialize;
use serde::Serialize;

use crate::document::follow::Notice;
use crate::document::follow::PeerAnswer;
use crate::document::follow::PeerMark;
use crate::document::follow::Update;
use crate::hosts::HostRole;
use crate::node::Node;
use crate::observe::Event;
use crate::observe::emit_event;

/// Time a peer has to answer a pull.
const PULL_WAIT_MS: u64 = 3000;

/// Asks a peer for what this process lacks.
#[derive(Debug, Serialize, Deserialize)]
pub struct ConfigPull {
    /// Head of the asking process.
    pub from: u64,
}

/// Takes over what the peer `name` at `address` holds beyond this process.
pub async fn pull_config(node: &Node, name: &str, address: SocketAddr) {
    let url = format!("http://{address}/x/config");
    let asked_ms = node.now_ms();
    let from = node.follower().fold().head();
    let pull = ConfigPull { from };
    let answer: Result<PeerAnswer, _> = node.ask(&url, &pull, PULL_WAIT_MS).await;
    if let Ok(answer) = answer {
        take_answer(node, asked_ms, name, &answer);
    }
}

/// Draws on what the peer `name` says of its configuration.
pub(super) fn take_mark(node: &Node, asked_ms: u64, name: &str, mark: PeerMark) {
    let answer = PeerAnswer {
        mark,
        update: Update::None,
    };
    take_answer(node, asked_ms, name, &answer);
}

fn take_answer(node: &Node, asked_ms: u64, name: &str, answer: &PeerAnswer) {
    let listed = node.roster().listed_count(HostRole::Entry);
    let now_ms = node.now_ms();
    let notices = node
        .follower()
        .peer_answer(now_ms, asked_ms, name, listed, answer);
    emit_notices(node, &notices);
}

/// Logs what an operator should hear of.
pub fn emit_notices(node: &Node, notices: &[Notice]) {
    let name = node.name();
    for notice in notices {
        match notice {
            Notice::Advanced { head } => {
                emit_event(Event::ConfigAdvanced, &[("host", &name), ("offset", head)])
            }
            Notice::Skipped { offset, error } => emit_event(
                Event::RecordSkipped,
                &[("host", &name), ("offset", offset), ("error", error)],
            ),
            Notice::CheckpointDiffers { as_of } | Notice::CheckpointsContested { as_of } => {
                emit_event(
                    Event::CheckpointDiffers,
                    &[("host", &name), ("as_of", as_of)],
                )
            }
            Notice::Trimmed { wanted, earliest } => emit_event(
                Event::RecordsTrimmed,
                &[("host", &name), ("wanted", wanted), ("earliest", earliest)],
            ),
            Notice::LogWentBack { next, head } => emit_event(
                Event::LogWentBack,
                &[("host", &name), ("next", next), ("head", head)],
            ),
            Notice::Diverged { head } => {
                emit_event(Event::ConfigDiverged, &[("host", &name), ("offset", head)]);
            }
        }
    }
}
