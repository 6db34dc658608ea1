use actix_web::HttpResponse;

use crate::links::LinkError;

/// Why a request between processes is refused before it is handled.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CallRejection {
    /// The shared key is missing or wrong.
    WrongKey,
    /// The body could not be decoded.
    Malformed(LinkError),
}

impl CallRejection {
    /// Response with the status of the refusal: 401 or 400.
    pub fn response(&self) -> HttpResponse {
        match self {
            Self::WrongKey => HttpResponse::Unauthorized().finish(),
            Self::Malformed(error) => HttpResponse::BadRequest().body(error.to_string()),
        }
    }
}
