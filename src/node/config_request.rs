use std::net::SocketAddr;

use serde::Deserialize;
use serde::Serialize;

use crate::document::follow::ConfigAnswer;
use crate::document::follow::ConfigStatus;
use crate::document::follow::ConfigUpdate;
use crate::document::follow::Notice;
use crate::hosts::HostRole;
use crate::node::Node;
use crate::observe::Event;
use crate::observe::emit_event;

/// Timeout of a configuration request to a peer, in ms.
const FETCH_TIMEOUT_MS: u64 = 3000;

/// Request for the records or the checkpoint that the sender lacks.
#[derive(Debug, Serialize, Deserialize)]
pub struct ConfigRequest {
    /// Head of the requesting process, from which on it lacks records.
    pub from: u64,
}

/// Fetches and applies the configuration that the peer `name` at `address` has and this
/// process lacks.
pub async fn fetch_config(node: &Node, name: &str, address: SocketAddr) {
    let url = format!("http://{address}/x/config");
    let requested_ms = node.now_ms();
    let from = node.follower().fold().head();
    let request = ConfigRequest { from };
    let answer: Result<ConfigAnswer, _> = node.send_request(&url, &request, FETCH_TIMEOUT_MS).await;
    if let Ok(answer) = answer {
        apply_peer_answer(node, requested_ms, name, &answer);
    }
}

/// Applies the status of the peer `name`, received without an update.
pub(super) fn apply_peer_status(node: &Node, requested_ms: u64, name: &str, status: ConfigStatus) {
    let answer = ConfigAnswer {
        mark: status,
        update: ConfigUpdate::None,
    };
    apply_peer_answer(node, requested_ms, name, &answer);
}

/// Applies the answer of the peer `name` to a request sent at `requested_ms`.
fn apply_peer_answer(node: &Node, requested_ms: u64, name: &str, answer: &ConfigAnswer) {
    let listed_entries = node.roster().listed_count(HostRole::Entry);
    let now_ms = node.now_ms();
    let notices =
        node.follower()
            .apply_peer_answer(now_ms, requested_ms, name, listed_entries, answer);
    emit_notices(node, &notices);
}

/// Emits the event of each notice to the log lines of the process.
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
            Notice::CheckpointDiffers { as_of } | Notice::ConflictingCheckpoints { as_of } => {
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
