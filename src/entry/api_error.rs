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

/// Suggested wait before a retry when there is no memory for a body, in milliseconds.
const NO_MEMORY_RETRY_MS: u64 = 1_000;

/// Milliseconds per second, the unit of the header `Retry-After`.
const MS_PER_S: u64 = 1000;

/// An error that ends a request, as answered to the caller.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ApiError {
    /// Code and message only.
    Plain { code: ErrorCode, message: String },
    /// The caller may send the request again after `retry_after_ms`.
    Retryable {
        code: ErrorCode,
        message: String,
        retry_after_ms: u64,
    },
    /// The answer carries structured details, such as the winner of a conflict.
    Detailed {
        code: ErrorCode,
        message: String,
        details: Value,
    },
}

impl ApiError {
    /// An error that persists if the request is repeated.
    pub fn new(code: ErrorCode, message: impl Into<String>) -> Self {
        Self::Plain {
            code,
            message: message.into(),
        }
    }

    /// An error after which the request may be sent again in `retry_after_ms`.
    pub fn retryable(code: ErrorCode, message: impl Into<String>, retry_after_ms: u64) -> Self {
        Self::Retryable {
            code,
            message: message.into(),
            retry_after_ms,
        }
    }

    /// An error with structured details.
    pub fn detailed(code: ErrorCode, message: impl Into<String>, details: Value) -> Self {
        Self::Detailed {
            code,
            message: message.into(),
            details,
        }
    }

    /// Code of the error.
    pub fn code(&self) -> ErrorCode {
        match self {
            Self::Plain { code, .. }
            | Self::Retryable { code, .. }
            | Self::Detailed { code, .. } => *code,
        }
    }

    /// Message for people.
    pub fn message(&self) -> &str {
        match self {
            Self::Plain { message, .. }
            | Self::Retryable { message, .. }
            | Self::Detailed { message, .. } => message,
        }
    }

    /// JSON body of the answer.
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

/// Limits JSON bodies to `max_body_bytes` and maps their errors to codes.
pub fn json_config(max_body_bytes: u64) -> JsonConfig {
    JsonConfig::default()
        .limit(max_body_bytes as usize)
        .error_handler(|error, _: &HttpRequest| json_error(&error).into())
}

/// Limits raw bodies to `max_body_bytes`.
pub fn payload_config(max_body_bytes: u64) -> PayloadConfig {
    PayloadConfig::new(max_body_bytes as usize)
}

/// Maps the errors of query strings to codes.
pub fn query_config() -> QueryConfig {
    QueryConfig::default().error_handler(|error: QueryPayloadError, _| {
        ApiError::new(ErrorCode::BadRequest, error.to_string()).into()
    })
}

/// Answers a request for whose body there is no memory.
pub fn no_memory() -> HttpResponse {
    let message = "the entry holds too many bodies of other requests; not run";
    ApiError::retryable(ErrorCode::NoMemory, message, NO_MEMORY_RETRY_MS).error_response()
}

/// Answers a request to a path that does not exist.
pub async fn unknown_path(request: HttpRequest) -> HttpResponse {
    let message = format!("path {} does not exist", request.path());
    ApiError::new(ErrorCode::UnknownPath, message).error_response()
}

/// Answers a request with a method that the path does not accept.
pub async fn wrong_method(request: HttpRequest) -> HttpResponse {
    let message = format!(
        "path {} does not accept the method {}",
        request.path(),
        request.method()
    );
    ApiError::new(ErrorCode::WrongMethod, message).error_response()
}

/// Error for a raw body that could not be read.
pub fn payload_error(error: &PayloadError) -> ApiError {
    let code = match error {
        PayloadError::Io(cause) if cause.kind() == ErrorKind::ConnectionAborted => {
            return ApiError::retryable(ErrorCode::Leaving, error.to_string(), 0);
        }
        PayloadError::Overflow => ErrorCode::BodyTooLarge,
        PayloadError::Io(cause) if cause.kind() == ErrorKind::TimedOut => ErrorCode::RequestTimeout,
        _ => ErrorCode::BadRequest,
    };
    ApiError::new(code, error.to_string())
}

/// Error for a JSON body that could not be read or parsed.
fn json_error(error: &JsonPayloadError) -> ApiError {
    match error {
        JsonPayloadError::OverflowKnownLength { .. } | JsonPayloadError::Overflow { .. } => {
            ApiError::new(ErrorCode::BodyTooLarge, error.to_string())
        }
        JsonPayloadError::Payload(payload) => payload_error(payload),
        _ => ApiError::new(ErrorCode::BadJson, error.to_string()),
    }
}
