use actix_web::HttpRequest;
use actix_web::HttpResponse;
use actix_web::web;

use crate::entry::ApiError;
use crate::entry::EntryState;
use crate::entry::StatusView;
use crate::entry::admin;

/// Handles `GET /v1/status`: the state of all hosts and models as known to this entry.
pub async fn get_status(
    state: web::Data<EntryState>,
    request: HttpRequest,
) -> Result<HttpResponse, ApiError> {
    admin::authenticate_team(&state, &request)?;
    let node = &state.node;
    let document = node.document();
    let config = node.config_position();
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
