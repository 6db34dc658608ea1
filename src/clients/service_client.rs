use std::time::Instant;

use actix_web::http::Method;
use actix_web::http::header::CONTENT_TYPE;
use bytes::Bytes;
use serde::Deserialize;
use serde::Serialize;
use serde_json::Value;

use crate::calls::StoredAnswer;
use crate::links::DeadlineBody;
use crate::links::HttpClient;
use crate::links::LinkError;
use crate::links::decode_json;

/// Header with the idempotency key: a service that keeps keys runs each only once.
pub const IDEMPOTENCY_KEY_HEADER: &str = "idempotency-key";

/// Header with the request id.
pub const REQUEST_ID_HEADER: &str = "x-request-id";

/// Response of a plain service, one that is not a model, in the form of the stand-in.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ServiceAnswer {
    /// Id of the request that the service answers.
    pub request_id: String,
    /// Number of the execution, counted by the service.
    pub execution: u64,
    /// Body of the request, returned unchanged.
    pub echo: Value,
}

/// The part of a response that shows which request it belongs to.
#[derive(Debug, Deserialize)]
struct EchoedRequestId {
    request_id: String,
}

/// Request to a plain service.
#[derive(Debug, Clone)]
pub struct ServiceRequest {
    /// Path below `/v1/call/` of the service.
    pub path: String,
    /// Request id, which the response has to contain.
    pub request_id: String,
    /// Idempotency key, for a call that must not run twice.
    pub key: Option<String>,
    /// JSON body.
    pub body: Bytes,
    /// Time from which the request is no longer sent.
    pub deadline: Instant,
    /// Time for the complete response, in milliseconds.
    pub timeout_ms: u64,
}

/// Client of the plain service beside an endpoint.
#[derive(Debug, Clone)]
pub struct ServiceClient {
    url: String,
    http: HttpClient,
}

impl ServiceClient {
    /// Creates a client of the service at `base_url`.
    pub fn new(base_url: &str) -> Self {
        Self {
            url: format!("{base_url}/v1/call"),
            http: HttpClient::to_platform(),
        }
    }

    /// Sends the call on a connection of its own and checks that the response is complete
    /// and belongs to the request.
    ///
    /// # Errors
    ///
    /// [`LinkError::NotSent`] when no complete request was sent, as after its deadline; after
    /// any other error the call may have run.
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
        let body = DeadlineBody::new(call.body, call.deadline);
        let answer = match HttpClient::send_and_read(request, body, call.timeout_ms).await {
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

/// Returns the answer if it contains `request_id`, and an error otherwise.
fn check_request_id(answer: StoredAnswer, request_id: &str) -> Result<StoredAnswer, LinkError> {
    let echoed: EchoedRequestId = decode_json(&answer.body)?;
    if echoed.request_id == request_id {
        return Ok(answer);
    }
    Err(LinkError::Malformed(format!(
        "the response belongs to request {:?}",
        echoed.request_id
    )))
}
