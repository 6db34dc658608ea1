use actix_web::HttpResponse;

use crate::links::LinkError;

/// Why a call between processes is refused before it is looked at.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CallRejection {
    /// It does not carry the shared key.
    WrongKey,
    /// Its body does not decode.
    Malformed(LinkError),
}

impl CallRejection {
    /// The response that refuses the call.
    pub fn response(&self) -> HttpResponse {
        match self {
            Self::WrongKey => HttpResponse::Unauthorized().finish(),
            Self::Malformed(error) => HttpResponse::BadRequest().body(error.to_string()),
        }
    }
}
