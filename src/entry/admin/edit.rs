use std::time::Duration;

use actix_rt::time::sleep;
use actix_web::HttpRequest;
use actix_web::HttpResponse;
use actix_web::web;
use serde_json::json;

use super::answers::AcceptedAnswer;
use super::answers::ConflictDetails;
use super::answers::DeleteBody;
use super::answers::PutBody;
use super::team::writing_team;
use crate::document::Edit;
use crate::document::EditOutcome;
use crate::document::LogRecord;
use crate::document::SectionFault;
use crate::document::check_edit;
use crate::entry::ApiError;
use crate::entry::EntryState;
use crate::entry::ErrorCode;
use crate::entry::log_reader::read_log;
use crate::links::LinkError;
use crate::observe::CounterKind;
use crate::observe::Event;
use crate::observe::emit_event;

/// Longest time an edit waits for its outcome.
const DECIDE_WAIT_MS: u64 = 12_000;

/// Time the fold has to show an append whose reply was lost, before it is repeated.
const LOST_REPLY_WAIT_MS: u64 = 1_500;

/// Pause between two looks at the fold.
const POLL: Duration = Duration::from_millis(25);

/// When to come back after the log did not answer.
const RETRY_AFTER_MS: u64 = 2_000;

/// HTTP status of a log that is down.
const UNAVAILABLE: u16 = 503;

/// Replaces or creates a section.
pub async fn put(
    state: web::Data<EntryState>,
    request: HttpRequest,
    name: web::Path<String>,
    body: web::Json<PutBody>,
) -> Result<HttpResponse, ApiError> {
    let team = writing_team(&state, &request, &name)?;
    let body = body.into_inner();
    let edit = Edit {
        edit_id: body.edit_id,
        team: team.name.clone(),
        section: name.into_inner(),
        base_revision: body.base_revision,
        body: Some(body.body),
    };
    answer(&state, edit)
        .await
        .inspect_err(|error| state.node.metrics().record_refusal(error.code().name()))
}

/// Deletes a section.
pub async fn delete(
    state: web::Data<EntryState>,
    request: HttpRequest,
    name: web::Path<String>,
    body: web::Json<DeleteBody>,
) -> Result<HttpResponse, ApiError> {
    let team = writing_team(&state, &request, &name)?;
    let body = body.into_inner();
    let edit = Edit {
        edit_id: body.edit_id,
        team: team.name.clone(),
        section: name.into_inner(),
        base_revision: body.base_revision,
        body: None,
    };
    answer(&state, edit)
        .await
        .inspect_err(|error| state.node.metrics().record_refusal(error.code().name()))
}

async fn answer(state: &EntryState, edit: Edit) -> Result<HttpResponse, ApiError> {
    let outcome = match known_outcome(state, &edit)? {
        Some(outcome) => outcome,
        None => {
            check(state, &edit)?;
            let outcome = append_and_learn(state, &edit).await?;
            audit(&edit, outcome);
            outcome
        }
    };
    match outcome {
        EditOutcome::Accepted { offset, revision } => Ok(HttpResponse::Ok().json(AcceptedAnswer {
            edit_id: edit.edit_id,
            offset,
            revision,
        })),
        EditOutcome::Conflict { offset, .. } => Err(conflict(state, &edit, Some(offset))),
    }
}

/// The outcome of an edit that was sent before.
fn known_outcome(state: &EntryState, edit: &Edit) -> Result<Option<EditOutcome>, ApiError> {
    let follower = state.node.follower();
    let Some(entry) = follower.fold().entry(&edit.edit_id) else {
        return Ok(None);
    };
    if entry.fingerprint == edit.fingerprint() {
        return Ok(Some(entry.outcome));
    }
    let message = format!("edit id {:?} was used for another edit", edit.edit_id);
    Err(ApiError::new(ErrorCode::BadRequest, message))
}

/// What can be refused without an append.
fn check(state: &EntryState, edit: &Edit) -> Result<(), ApiError> {
    if !state.node.is_ready() {
        let message = "the configuration of this entry is not confirmed; nothing was changed";
        return Err(ApiError::later(
            ErrorCode::NotReady,
            message,
            RETRY_AFTER_MS,
        ));
    }
    let document = state.node.document();
    // Revisions only grow, so no append could still be accepted.
    if document.revision(&edit.section) > edit.base_revision {
        return Err(conflict(state, edit, None));
    }
    check_edit(&document, edit).map_err(|faults| invalid(&faults))
}

/// Appends the edit, again after a lost reply, until the fold shows its outcome.
async fn append_and_learn(state: &EntryState, edit: &Edit) -> Result<EditOutcome, ApiError> {
    let node = &state.node;
    let deadline_ms = node.now_ms() + DECIDE_WAIT_MS;
    let record = LogRecord::Edit(edit.clone()).encode();
    let mut may_stand = false;
    loop {
        node.metrics()
            .add(CounterKind::PlatformCalls, 1, "call", "log_append");
        let learn_until_ms = match state.log.append(record.clone()).await {
            Ok(_) => deadline_ms,
            Err(error) if certainly_not_appended(&error) && !may_stand => {
                let message = format!("{error}; nothing was changed");
                let code = ErrorCode::LogUnavailable;
                return Err(ApiError::later(code, message, RETRY_AFTER_MS));
            }
            Err(_) => deadline_ms.min(node.now_ms() + LOST_REPLY_WAIT_MS),
        };
        may_stand = true;
        if let Some(outcome) = learn(state, &edit.edit_id, learn_until_ms).await {
            return Ok(outcome);
        }
        if node.now_ms() >= deadline_ms {
            let message = "the log has not shown the edit yet; send the same edit id again";
            let code = ErrorCode::OutcomeUnknown;
            return Err(ApiError::later(code, message, RETRY_AFTER_MS));
        }
        node.metrics().record_retry("edit_reply_lost");
    }
}

/// Reads the log until the fold shows the edit.
async fn learn(state: &EntryState, edit_id: &str, until_ms: u64) -> Option<EditOutcome> {
    loop {
        let known = state.node.follower().fold().outcome(edit_id).copied();
        if known.is_some() || state.node.now_ms() >= until_ms {
            return known;
        }
        if !read_log(state, 0).await {
            sleep(POLL).await;
        }
        sleep(POLL).await;
    }
}

fn certainly_not_appended(error: &LinkError) -> bool {
    match error {
        LinkError::NotSent(_) => true,
        LinkError::Status { status, .. } => *status == UNAVAILABLE,
        _ => false,
    }
}

fn conflict(state: &EntryState, edit: &Edit, offset: Option<u64>) -> ApiError {
    let document = state.node.document();
    let winner = document.section(&edit.section).cloned();
    let by = match &winner {
        Some(section) => format!("team {:?} was first", section.team),
        None => "the section was deleted".to_owned(),
    };
    let message = format!("section {:?} has changed: {by}", edit.section);
    let details = ConflictDetails {
        edit_id: edit.edit_id.clone(),
        offset,
        revision: document.revision(&edit.section),
        winner,
    };
    ApiError::detailed(ErrorCode::Conflict, message, json!(details))
}

fn invalid(faults: &[SectionFault]) -> ApiError {
    let texts: Vec<String> = faults.iter().map(ToString::to_string).collect();
    let message = texts.join("; ");
    ApiError::detailed(ErrorCode::InvalidEdit, message, json!({ "faults": faults }))
}

fn audit(edit: &Edit, outcome: EditOutcome) {
    let decision = if outcome.is_accepted() {
        "accepted"
    } else {
        "conflict"
    };
    emit_event(
        Event::EditDecided,
        &[
            ("team", &edit.team),
            ("section", &edit.section),
            ("edit_id", &edit.edit_id),
            ("offset", &outcome.offset()),
            ("outcome", &decision),
        ],
    );
}
