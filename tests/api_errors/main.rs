//! Tests the JSON errors of the entry without a running process.

use actix_web::ResponseError;
use actix_web::body::to_bytes;
use actix_web::http::StatusCode;
use serde_json::Value;
use serde_json::json;

use bergamotfork::entry::ApiError;
use bergamotfork::entry::ErrorCode;

async fn body(error: &ApiError) -> Value {
    let response = error.error_response();
    let bytes = to_bytes(response.into_body())
        .await
        .expect("the body is in memory");
    serde_json::from_slice(&bytes).expect("the body is JSON")
}

#[actix_rt::test]
async fn error_plain() {
    let error = ApiError::new(ErrorCode::UnknownModel, "no model m");
    let response = error.error_response();
    assert_eq!(response.status(), StatusCode::NOT_FOUND);
    assert!(response.headers().get("retry-after").is_none());
    assert_eq!(
        body(&error).await,
        json!({"code": "unknown_model", "message": "no model m"})
    );
}

#[actix_rt::test]
async fn error_retryable() {
    for (retry_after_ms, seconds) in [(0, "0"), (1, "1"), (1000, "1"), (1001, "2")] {
        let error = ApiError::retryable(ErrorCode::Overloaded, "full", retry_after_ms);
        let response = error.error_response();
        assert_eq!(response.status(), StatusCode::TOO_MANY_REQUESTS);
        let header = response.headers().get("retry-after");
        assert_eq!(header.expect("the header is set"), seconds);
        assert_eq!(body(&error).await["retry_after_ms"], retry_after_ms);
    }
}

#[actix_rt::test]
async fn error_detailed() {
    let details = json!({"revision": 3});
    let error = ApiError::detailed(ErrorCode::Conflict, "edited", details.clone());
    assert_eq!(body(&error).await["details"], details);
    assert_eq!(error.error_response().status(), StatusCode::CONFLICT);
}

#[test]
fn error_code_status_is_error() {
    for code in ErrorCode::ALL {
        let status = code.status();
        assert!(
            status.is_client_error() || status.is_server_error(),
            "{code:?}"
        );
        assert!(
            code.name()
                .bytes()
                .all(|b| b.is_ascii_lowercase() || b == b'_')
        );
    }
}
