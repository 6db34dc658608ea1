use std::time::Duration;

use actix_rt::time::sleep;
use actix_web::HttpRequest;
use actix_web::HttpResponse;
use actix_web::web;
use serde::Deserialize;

use super::answers::InForceAnswer;
use super::team::authenticate_team;
use crate::entry::ApiError;
use crate::entry::EntryState;
use crate::hosts::HostStatus;

/// Longest wait of one request, in milliseconds.
const MAX_WAIT_MS: u64 = 60_000;

/// Time between two checks.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Query parameters of `GET /v1/config/wait`.
#[derive(Debug, Deserialize)]
pub struct WaitQuery {
    revision: u64,
    #[serde(default)]
    wait_ms: u64,
}

/// Handles `GET /v1/config/wait`: waits until a revision is in force on every known
/// process, and answers on which it is not.
pub async fn wait_in_force(
    state: web::Data<EntryState>,
    request: HttpRequest,
    query: web::Query<WaitQuery>,
) -> Result<HttpResponse, ApiError> {
    authenticate_team(&state, &request)?;
    let node = &state.node;
    let deadline_ms = node.now_ms() + query.wait_ms.min(MAX_WAIT_MS);
    loop {
        let answer = count_in_force(&state, query.revision);
        if answer.lacking.is_empty() || node.now_ms() >= deadline_ms {
            return Ok(HttpResponse::Ok().json(answer));
        }
        sleep(POLL_INTERVAL).await;
    }
}

/// Counts the known processes on which a revision is in force.
///
/// It is in force on a process whose log offset has reached the revision.
fn count_in_force(state: &EntryState, revision: u64) -> InForceAnswer {
    let node = &state.node;
    let now_ms = node.now_ms();
    let mut lacking = Vec::new();
    let mut processes = 1;
    if node.config_position().offset < revision {
        lacking.push(node.name().to_owned());
    }
    for (_, host) in node.roster().hosts() {
        if host.name == node.name() || host.status(now_ms) == HostStatus::Leaving {
            continue;
        }
        processes += 1;
        let offset = host.config_offset.unwrap_or(0);
        if offset < revision {
            lacking.push(host.name.clone());
        }
    }
    InForceAnswer {
        revision,
        processes,
        in_force: processes - lacking.len(),
        lacking,
    }
}
