use actix_web::http::Method;
use actix_web::http::header::CONTENT_TYPE;
use bytes::Bytes;
use serde::Deserialize;
use serde::Serialize;
use serde_json::Value;

use crate::calls::StoredAnswer;
use crate::links::HttpClient;
use crate::links::LinkError;

/// Header that carries the nonce of a call to a service that keeps keys.
pub const IDEMPOTENCY_KEY_HEADER: &str = "idempotency-key";

/// Header that carries the request id.
pub const REQUEST_ID_HEADER: &str = "x-request-id";

/// Answer of a plain service.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ServiceAnswer {
    /// Id of the request it answers.
    pub request_id: String,
    /// Running number of the execution.
    pub execution: u64,
    /// Body of the request.
    pub echo: Value,
}

#[derive(Debug, Deserialize)]
struct EchoedRequestId {
    request_id: String,
}

/// One call to a plain service.
#[derive(Debug, Clone)]
pub struct ServiceRequest {
    /// Path below the service's call root.
    pub path: String,
    /// Id the service has to echo.
    pub request_id: String,
    /// Idempotency key, for a call that may not be repeated.
    pub key: Option<String>,
    /// JSON body.
    pub body: Bytes,
    /// Time allowed for the whole answer.
    pub timeout_ms: u64,
}

/// Client of the plain service beside an endpoint.
#[derive(Debug, Clone)]
pub struct ServiceClient {
    url: String,
    http: HttpClient,
}

impl ServiceClient {
    /// Client of the service at the given base URL.
    pub fn new(base_url: &str) -> Self {
        Self {
            url: format!("{base_url}/v1/call"),
            http: HttpClient::to_platform(),
        }
    }

    /// Makes one call on a connection of its own and checks that the answer is
    /// whole and belongs to the request.
    ///
    /// # Errors
    ///
    /// [`LinkError::NotSent`] when no byte left; after any other error the call
    /// may have run.
    pub async fn call(&self, call: ServiceRequest) -> Result<StoredAnswer, LinkError> {
        let url = format!("{}/{}", self.url, call.path);
        let mut request = self
            .http
            .request_on_new_connection(Method::POST, &url)
            .insert_header((CONTENT_TYPE, "application/json"))
            .insert_header((REQUEST_ID_HEADER, call.request_id.as_str()));
        if let Some(key) = &call.key {
            request = request.insert_header((IDEMPOTENCY_KEY_HEADER, key.as_str()));
        }
        let answer = match HttpClient::send_and_read(request, call.body, call.timeout_ms).await {
            Ok(body) => StoredAnswer {
                status: 200,
                body: body.to_vec(),
            },
            Err(LinkError::Status { status, body, .. }) => StoredAnswer {
                status,
                body: body.into_bytes(),
            },
            Err(error) => return Err(error),
        };
        check_request_id(answer, &call.request_id)
    }
}

/// Passes on an answer that echoes `request_id`.
fn check_request_id(answer: StoredAnswer, request_id: &str) -> Result<StoredAnswer, LinkError> {
    let echoed = serde_json::from_slice::<EchoedRequestId>(&answer.body)
        .map_err(|error| LinkError::Malformed(error.to_string()))?;
    if echoed.request_id == request_id {
        return Ok(answer);
    }
    Err(LinkError::Malformed(format!(
        "the answer belongs to request {:?}",
        echoed.request_id
    )))
}
