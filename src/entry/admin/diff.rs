use actix_web::HttpRequest;
use actix_web::HttpResponse;
use actix_web::web;
use serde::Deserialize;

use super::answers::DiffAnswer;
use super::team::authenticate_team;
use crate::document::Edit;
use crate::document::KeyChange;
use crate::document::check_edit;
use crate::entry::ApiError;
use crate::entry::EntryState;

/// Edit id of the edit that is only checked and never appended.
const DIFF_EDIT_ID: &str = "diff";

/// Body of `POST /v1/config/sections/NAME/diff`.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct DiffBody {
    body: String,
}

/// Handles `POST /v1/config/sections/NAME/diff`: compares a body with the section in
/// force and checks it, without an edit.
pub async fn diff_section(
    state: web::Data<EntryState>,
    request: HttpRequest,
    name: web::Path<String>,
    body: web::Json<DiffBody>,
) -> Result<HttpResponse, ApiError> {
    let team = authenticate_team(&state, &request)?;
    let document = state.node.document();
    let name = name.into_inner();
    let current = document.section(&name);
    let before = current.map_or("", |section| section.body.as_str());
    let changes = KeyChange::between(before, &body.body).unwrap_or_default();
    let edit = Edit {
        edit_id: DIFF_EDIT_ID.to_owned(),
        team: team.name.clone(),
        base_revision: document.revision(&name),
        section: name,
        body: Some(body.into_inner().body),
    };
    Ok(HttpResponse::Ok().json(DiffAnswer {
        revision: edit.base_revision,
        changes,
        faults: check_edit(&document, &edit).err().unwrap_or_default(),
    }))
}
