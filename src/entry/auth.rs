use actix_web::HttpRequest;
use actix_web::http::header::AUTHORIZATION;

use crate::document::BranchSection;
use crate::document::Document;
use crate::entry::ApiError;
use crate::entry::ErrorCode;
use crate::weights::Digest;

/// Digest of the bearer token that the request carries.
///
/// # Errors
///
/// [`ErrorCode::MissingToken`] when the request has no bearer token.
pub fn token_digest(request: &HttpRequest) -> Result<Digest, ApiError> {
    request
        .headers()
        .get(AUTHORIZATION)
        .and_then(|value| value.to_str().ok())
        .and_then(|value| value.strip_prefix("Bearer "))
        .map(|token| Digest::of_bytes(token.as_bytes()))
        .ok_or_else(|| {
            let message = "the header Authorization: Bearer TOKEN is missing";
            ApiError::new(ErrorCode::MissingToken, message)
        })
}

/// The branch with the given name, if the request carries its token.
///
/// # Errors
///
/// [`ErrorCode::MissingToken`], [`ErrorCode::UnknownBranch`] or [`ErrorCode::WrongToken`].
pub fn authenticate_branch(
    document: &Document,
    name: &str,
    request: &HttpRequest,
) -> Result<BranchSection, ApiError> {
    let token = token_digest(request)?;
    let branch = document.branch(name).ok_or_else(|| {
        let message = format!("branch {name:?} does not exist");
        ApiError::new(ErrorCode::UnknownBranch, message)
    })?;
    if branch.token_digest != token {
        let message = format!("the token does not belong to branch {name:?}");
        return Err(ApiError::new(ErrorCode::WrongToken, message));
    }
    Ok(branch)
}
