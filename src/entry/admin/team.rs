use actix_web::HttpRequest;

use crate::conf::TeamSettings;
use crate::entry::ApiError;
use crate::entry::EntryState;
use crate::entry::ErrorCode;
use crate::entry::auth;

/// The team whose token `request` carries.
///
/// # Errors
///
/// A typed error when there is no token or no team has it.
pub fn authenticate_team<'a>(
    state: &'a EntryState,
    request: &HttpRequest,
) -> Result<&'a TeamSettings, ApiError> {
    let token = auth::token_digest(request)?;
    let mut teams = state.settings.teams.iter();
    teams
        .find(|team| team.token_digest == token)
        .ok_or_else(|| ApiError::new(ErrorCode::WrongToken, "the token is not that of a team"))
}

/// The team of `request`, if it may write the section called `name`.
///
/// # Errors
///
/// [`ErrorCode::Forbidden`] when it may not.
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
