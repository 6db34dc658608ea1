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
use super::team::authorize_team;
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

/// Longest time for which a request waits for the outcome of its edit, in milliseconds.
const MAX_OUTCOME_WAIT_MS: u64 = 12_000;

/// Time for which the log is read for the record of an unanswered append before the append
/// is repeated, in milliseconds.
const LOST_REPLY_WAIT_MS: u64 = 1_500;

/// Pause between two reads of the log while an edit waits for its outcome.
const POLL_INTERVAL: Duration = Duration::from_millis(25);

/// Suggested wait before a retry when the log is unavailable, the entry is not ready or the
/// outcome is unknown, in milliseconds.
const RETRY_AFTER_MS: u64 = 2_000;

/// HTTP status of an unavailable log, which has appended nothing.
const SERVICE_UNAVAILABLE_STATUS: u16 = 503;

/// Handles `PUT /v1/config/sections/NAME`: creates or replaces a section.
pub async fn put_section(
    state: web::Data<EntryState>,
    request: HttpRequest,
    name: web::Path<String>,
    body: web::Json<PutBody>,
) -> Result<HttpResponse, ApiError> {
    let team = authorize_team(&state, &request, &name)?;
    let body = body.into_inner();
    let edit = Edit {
        edit_id: body.edit_id,
        team: team.name.clone(),
        section: name.into_inner(),
        base_revision: body.base_revision,
        body: Some(body.body),
    };
    submit_edit(&state, edit)
        .await
        .inspect_err(|error| state.node.metrics().record_refusal(error.code().name()))
}

/// Handles `DELETE /v1/config/sections/NAME`: deletes a section.
pub async fn delete_section(
    state: web::Data<EntryState>,
    request: HttpRequest,
    name: web::Path<String>,
    body: web::Json<DeleteBody>,
) -> Result<HttpResponse, ApiError> {
    let team = authorize_team(&state, &request, &name)?;
    let body = body.into_inner();
    let edit = Edit {
        edit_id: body.edit_id,
        team: team.name.clone(),
        section: name.into_inner(),
        base_revision: body.base_revision,
        body: None,
    };
    submit_edit(&state, edit)
        .await
        .inspect_err(|error| state.node.metrics().record_refusal(error.code().name()))
}

/// Answers with the known outcome of the edit, or checks and appends it first.
async fn submit_edit(state: &EntryState, edit: Edit) -> Result<HttpResponse, ApiError> {
    let outcome = match known_outcome(state, &edit)? {
        Some(outcome) => outcome,
        None => {
            check_before_append(state, &edit)?;
            let outcome = append_until_decided(state, &edit).await?;
            log_decision(&edit, outcome);
            outcome
        }
    };
    match outcome {
        EditOutcome::Accepted { offset, revision } => Ok(HttpResponse::Ok().json(AcceptedAnswer {
            edit_id: edit.edit_id,
            offset,
            revision,
        })),
        EditOutcome::Conflict { offset, .. } => Err(conflict_error(state, &edit, Some(offset))),
    }
}

/// Outcome of an edit that was sent before; `None` if its id is new.
///
/// # Errors
///
/// [`ErrorCode::BadRequest`] when the id belongs to another edit.
fn known_outcome(state: &EntryState, edit: &Edit) -> Result<Option<EditOutcome>, ApiError> {
    let follower = state.node.follower();
    let Some(entry) = follower.fold().edit_entry(&edit.edit_id) else {
        return Ok(None);
    };
    if entry.fingerprint == edit.fingerprint() {
        return Ok(Some(entry.outcome));
    }
    let message = format!("edit id {:?} was used for another edit", edit.edit_id);
    Err(ApiError::new(ErrorCode::BadRequest, message))
}

/// Refuses an edit that cannot be accepted, before it is appended.
fn check_before_append(state: &EntryState, edit: &Edit) -> Result<(), ApiError> {
    if !state.node.is_ready() {
        let message = "the configuration of this entry is not confirmed; nothing was changed";
        return Err(ApiError::retryable(
            ErrorCode::NotReady,
            message,
            RETRY_AFTER_MS,
        ));
    }
    let document = state.node.document();
    // Revisions only increase, so an append could not be accepted any more.
    if document.revision(&edit.section) > edit.base_revision {
        return Err(conflict_error(state, edit, None));
    }
    check_edit(&document, edit).map_err(|faults| invalid_edit_error(&faults))
}

/// Appends the edit until its outcome is known; an append that was not answered is repeated.
///
/// A repeated record is harmless, because the first one with an edit id decides.
async fn append_until_decided(state: &EntryState, edit: &Edit) -> Result<EditOutcome, ApiError> {
    let node = &state.node;
    let deadline_ms = node.now_ms() + MAX_OUTCOME_WAIT_MS;
    let record = LogRecord::Edit(edit.clone()).encode();
    let mut may_be_appended = false;
    loop {
        node.metrics()
            .add(CounterKind::PlatformCalls, 1, "call", "log_append");
        let wait_until_ms = match state.log.append(record.clone()).await {
            Ok(_) => deadline_ms,
            Err(error) if is_known_not_appended(&error) && !may_be_appended => {
                let message = format!("{error}; nothing was changed");
                let code = ErrorCode::LogUnavailable;
                return Err(ApiError::retryable(code, message, RETRY_AFTER_MS));
            }
            Err(_) => deadline_ms.min(node.now_ms() + LOST_REPLY_WAIT_MS),
        };
        may_be_appended = true;
        if let Some(outcome) = wait_for_outcome(state, &edit.edit_id, wait_until_ms).await {
            return Ok(outcome);
        }
        if node.now_ms() >= deadline_ms {
            let message =
                "the outcome of the edit is not known yet; send it again with the same edit id";
            let code = ErrorCode::OutcomeUnknown;
            return Err(ApiError::retryable(code, message, RETRY_AFTER_MS));
        }
        node.metrics().record_retry("edit_reply_lost");
    }
}

/// Reads the log until the outcome of the edit is known or `until_ms` has passed.
async fn wait_for_outcome(state: &EntryState, edit_id: &str, until_ms: u64) -> Option<EditOutcome> {
    loop {
        let known = state.node.follower().fold().edit_outcome(edit_id).copied();
        if known.is_some() || state.node.now_ms() >= until_ms {
            return known;
        }
        if !read_log(state, 0).await {
            sleep(POLL_INTERVAL).await;
        }
        sleep(POLL_INTERVAL).await;
    }
}

/// Whether the error proves that the record is not in the log.
fn is_known_not_appended(error: &LinkError) -> bool {
    match error {
        LinkError::NotSent(_) => true,
        LinkError::Status { status, .. } => *status == SERVICE_UNAVAILABLE_STATUS,
        _ => false,
    }
}

/// Error for an edit whose base revision is not the current one, with the current section.
fn conflict_error(state: &EntryState, edit: &Edit, offset: Option<u64>) -> ApiError {
    let document = state.node.document();
    let winner = document.section(&edit.section).cloned();
    let cause = match &winner {
        Some(section) => format!("the edit of team {:?} was accepted first", section.team),
        None => "the section was deleted".to_owned(),
    };
    let message = format!("section {:?} has changed: {cause}", edit.section);
    let details = ConflictDetails {
        edit_id: edit.edit_id.clone(),
        offset,
        revision: document.revision(&edit.section),
        winner,
    };
    ApiError::detailed(ErrorCode::Conflict, message, json!(details))
}

/// Error that lists the faults of an edit.
fn invalid_edit_error(faults: &[SectionFault]) -> ApiError {
    let texts: Vec<String> = faults.iter().map(ToString::to_string).collect();
    let message = texts.join("; ");
    ApiError::detailed(ErrorCode::InvalidEdit, message, json!({ "faults": faults }))
}

/// Logs who edited which section, and the outcome.
fn log_decision(edit: &Edit, outcome: EditOutcome) {
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
