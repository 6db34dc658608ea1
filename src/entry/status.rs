use actix_web::HttpRequest;
use actix_web::HttpResponse;
use actix_web::web;

use crate::entry::ApiError;
use crate::entry::EntryState;
use crate::entry::ErrorCode;
use crate::entry::StatusView;
use crate::entry::auth;

/// Answers a team with what this entry knows of the whole system.
pub async fn status(
    state: web::Data<EntryState>,
    request: HttpRequest,
) -> Result<HttpResponse, ApiError> {
    let token = auth::token_digest(&request)?;
    let teams = &state.settings.teams;
    if !teams.iter().any(|team| team.token_digest == token) {
        let message = "the token is not that of a team";
        return Err(ApiError::new(ErrorCode::WrongToken, message));
    }
    let node = &state.node;
    let document = node.document();
    let config = node.config_mark();
    let view = StatusView::new(
        node.name(),
        node.is_ready(),
        config,
        &document,
        &node.roster(),
        node.now_ms(),
    );
    Ok(HttpResponse::Ok().json(view))
}
