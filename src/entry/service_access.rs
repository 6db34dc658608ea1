use crate::document::BranchSection;
use crate::document::Document;
use crate::document::ServiceSection;
use crate::entry::ApiError;
use crate::entry::ErrorCode;

/// The service with the given name, if the branch may use it.
///
/// # Errors
///
/// [`ErrorCode::UnknownService`] or [`ErrorCode::Forbidden`].
pub(super) fn authorize_service(
    document: &Document,
    branch: &BranchSection,
    name: &str,
) -> Result<ServiceSection, ApiError> {
    let service = document.service(name).ok_or_else(|| {
        let message = format!("service {name:?} does not exist");
        ApiError::new(ErrorCode::UnknownService, message)
    })?;
    if branch.services.contains(&service.name) {
        return Ok(service);
    }
    let message = format!(
        "branch {:?} may not use service {:?}",
        branch.name, service.name
    );
    Err(ApiError::new(ErrorCode::Forbidden, message))
}
