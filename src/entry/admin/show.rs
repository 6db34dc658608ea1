use actix_web::HttpRequest;
use actix_web::HttpResponse;
use actix_web::web;
use serde::Deserialize;

use super::answers::DocumentAnswer;
use super::answers::HistoryAnswer;
use super::answers::SectionAnswer;
use super::answers::SectionHead;
use super::team::authenticate_team;
use crate::document::EditEntry;
use crate::document::inert_parts;
use crate::entry::ApiError;
use crate::entry::EntryState;

/// Number of edits in an answer when the request names no limit.
const DEFAULT_HISTORY_LIMIT: usize = 50;

/// Handles `GET /v1/config`: the complete document.
pub async fn get_document(
    state: web::Data<EntryState>,
    request: HttpRequest,
) -> Result<HttpResponse, ApiError> {
    authenticate_team(&state, &request)?;
    let node = &state.node;
    let admission = node.admission().name().to_owned();
    let follower = node.follower();
    let fold = follower.fold();
    let document = fold.shared_document();
    let sections = document.sections().iter().map(|section| SectionHead {
        name: section.name.clone(),
        team: section.team.clone(),
        revision: section.revision,
    });
    let inert = inert_parts(&document);
    Ok(HttpResponse::Ok().json(DocumentAnswer {
        offset: fold.head(),
        digest: fold.digest(),
        admission,
        confirmed_age_ms: follower.confirmed_age_ms(node.now_ms()),
        sections: sections.collect(),
        document: document.to_string(),
        inert: inert.iter().map(ToString::to_string).collect(),
    }))
}

/// Handles `GET /v1/config/sections/NAME`: one section and its revision.
pub async fn get_section(
    state: web::Data<EntryState>,
    request: HttpRequest,
    name: web::Path<String>,
) -> Result<HttpResponse, ApiError> {
    authenticate_team(&state, &request)?;
    let follower = state.node.follower();
    let document = follower.fold().document();
    Ok(HttpResponse::Ok().json(SectionAnswer {
        offset: follower.fold().head(),
        revision: document.revision(&name),
        section: document.section(&name).cloned(),
    }))
}

/// Query parameters of `GET /v1/config/history`.
#[derive(Debug, Deserialize)]
pub struct HistoryQuery {
    section: Option<String>,
    limit: Option<usize>,
}

/// Handles `GET /v1/config/history`: accepted and conflicting edits, the latest first.
pub async fn get_history(
    state: web::Data<EntryState>,
    request: HttpRequest,
    query: web::Query<HistoryQuery>,
) -> Result<HttpResponse, ApiError> {
    authenticate_team(&state, &request)?;
    let follower = state.node.follower();
    let is_wanted = |entry: &&EditEntry| {
        let section = query.section.as_ref();
        section.is_none_or(|section| *section == entry.section)
    };
    let edits = follower.fold().history().rev().filter(is_wanted);
    let limit = query.limit.unwrap_or(DEFAULT_HISTORY_LIMIT);
    Ok(HttpResponse::Ok().json(HistoryAnswer {
        edits: edits.take(limit).cloned().collect(),
    }))
}
