use std::fmt;
use std::io::ErrorKind;

use actix_web::HttpRequest;
use actix_web::HttpResponse;
use actix_web::ResponseError;
use actix_web::error::JsonPayloadError;
use actix_web::error::PayloadError;
use actix_web::error::QueryPayloadError;
use actix_web::http::StatusCode;
use actix_web::http::header::RETRY_AFTER;
use actix_web::web::JsonConfig;
use actix_web::web::PayloadConfig;
use actix_web::web::QueryConfig;
use serde_json::Value;
use serde_json::json;

use super::ErrorCode;

/// Milliseconds in a second, the unit of `Retry-After`.
const MS_PER_S: u64 = 1000;

/// A final answer that is not a success.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ApiError {
    /// A code and what to say with it.
    Plain { code: ErrorCode, message: String },
    /// The caller may come back after a while.
    Retryable {
        code: ErrorCode,
        message: String,
        retry_after_ms: u64,
    },
    /// The answer carries more than text, such as the winner of a conflict.
    Detailed {
        code: ErrorCode,
        message: String,
        details: Value,
    },
}

impl ApiError {
    /// An error that coming back does not mend.
    pub fn new(code: ErrorCode, message: impl Into<String>) -> Self {
        Self::Plain {
            code,
            message: message.into(),
        }
    }

    /// An error that may be gone after `retry_after_ms`.
    pub fn retryable(code: ErrorCode, message: impl Into<String>, retry_after_ms: u64) -> Self {
        Self::Retryable {
            code,
            message: message.into(),
            retry_after_ms,
        }
    }

    /// An error with `details` in the answer.
    pub fn detailed(code: ErrorCode, message: impl Into<String>, details: Value) -> Self {
        Self::Detailed {
            code,
            message: message.into(),
            details,
        }
    }

    /// Stable code.
    pub fn code(&self) -> ErrorCode {
        match self {
            Self::Plain { code, .. }
            | Self::Retryable { code, .. }
            | Self::Detailed { code, .. } => *code,
        }
    }

    /// Text for people.
    pub fn message(&self) -> &str {
        match self {
            Self::Plain { message, .. }
            | Self::Retryable { message, .. }
            | Self::Detailed { message, .. } => message,
        }
    }

    /// Body of the answer.
    pub fn body(&self) -> Value {
        let mut body = json!({"code": self.code().name(), "message": self.message()});
        match self {
            Self::Plain { .. } => {}
            Self::Retryable { retry_after_ms, .. } => {
                body["retry_after_ms"] = json!(retry_after_ms)
            }
            Self::Detailed { details, .. } => body["details"] = details.clone(),
        }
        body
    }
}

impl fmt::Display for ApiError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.code().name(), self.message())
    }
}

impl ResponseError for ApiError {
    fn status_code(&self) -> StatusCode {
        self.code().status()
    }

    fn error_response(&self) -> HttpResponse {
        let mut response = HttpResponse::build(self.status_code());
        if let Self::Retryable { retry_after_ms, .. } = self {
            let seconds = retry_after_ms.div_ceil(MS_PER_S);
            response.insert_header((RETRY_AFTER, seconds.to_string()));
        }
        response.json(self.body())
    }
}

/// Limits JSON bodies to `max_body_bytes` and types their errors.
pub fn json_config(max_body_bytes: u64) -> JsonConfig {
    JsonConfig::default()
        .limit(max_body_bytes as usize)
        .error_handler(|error, _: &HttpRequest| json_error(&error).into())
}

/// Limits raw bodies to `max_body_bytes`.
pub fn payload_config(max_body_bytes: u64) -> PayloadConfig {
    PayloadConfig::new(max_body_bytes as usize)
}

/// Types the errors of query strings.
pub fn query_config() -> QueryConfig {
    QueryConfig::default().error_handler(|error: QueryPayloadError, _| {
        ApiError::new(ErrorCode::BadRequest, error.to_string()).into()
    })
}

/// Answer to a path that does not exist.
pub async fn unknown_path(request: HttpRequest) -> HttpResponse {
    let message = format!("there is nothing at {}", request.path());
    ApiError::new(ErrorCode::UnknownPath, message).error_response()
}

/// Answer to a method that a path does not take.
pub async fn wrong_method(request: HttpRequest) -> HttpResponse {
    let message = format!("{} does not take {}", request.path(), request.method());
    ApiError::new(ErrorCode::WrongMethod, message).error_response()
}

/// Typed form of a raw body's error.
pub fn payload_error(error: &PayloadError) -> ApiError {
    let code = match error {
        PayloadError::Overflow => ErrorCode::BodyTooLarge,
        PayloadError::Io(cause) if cause.kind() == ErrorKind::TimedOut => ErrorCode::RequestTimeout,
        _ => ErrorCode::BadRequest,
    };
    ApiError::new(code, error.to_string())
}

fn json_error(error: &JsonPayloadError) -> ApiError {
    match error {
        JsonPayloadError::OverflowKnownLength { .. } | JsonPayloadError::Overflow { .. } => {
            ApiError::new(ErrorCode::BodyTooLarge, error.to_string())
        }
        JsonPayloadError::Payload(payload) => payload_error(payload),
        _ => ApiError::new(ErrorCode::BadJson, error.to_string()),
    }
}
