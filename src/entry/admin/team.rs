use actix_web::HttpRequest;

use crate::conf::TeamSettings;
use crate::entry::ApiError;
use crate::entry::EntryState;
use crate::entry::ErrorCode;
use crate::entry::auth;

/// The team whose token the request carries.
///
/// # Errors
///
/// [`ErrorCode::MissingToken`], or [`ErrorCode::WrongToken`] when no team has the token.
pub fn authenticate_team<'a>(
    state: &'a EntryState,
    request: &HttpRequest,
) -> Result<&'a TeamSettings, ApiError> {
    let token = auth::token_digest(request)?;
    let mut teams = state.settings.teams.iter();
    teams
        .find(|team| team.token_digest == token)
        .ok_or_else(|| ApiError::new(ErrorCode::WrongToken, "the token does not belong to a team"))
}

/// The team whose token the request carries, if it may write the named section.
///
/// # Errors
///
/// Those of [`authenticate_team`], and [`ErrorCode::Forbidden`] when the team may not
/// write the section.
pub fn authorize_team<'a>(
    state: &'a EntryState,
    request: &HttpRequest,
    name: &str,
) -> Result<&'a TeamSettings, ApiError> {
    let team = authenticate_team(state, request)?;
    if team.may_write(name) {
        return Ok(team);
    }
    let message = format!(
        "team {:?} may write {:?}, not section {name:?}",
        team.name,
        team.sections.join(", ")
    );
    Err(ApiError::new(ErrorCode::Forbidden, message))
}
