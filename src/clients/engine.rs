use std::fmt;
use std::net::SocketAddr;
use std::time::Duration;

use actix_web::http::Method;
use actix_web::http::StatusCode;
use awc::error::ConnectError;
use awc::error::SendRequestError;
use bytes::Bytes;
use futures_util::StreamExt;
use futures_util::stream::LocalBoxStream;
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::clients::CancelOrder;
use crate::clients::EngineErrorCode;
use crate::clients::EngineRefusal;
use crate::clients::EngineState;
use crate::clients::GenerateOrder;
use crate::clients::LineBuffer;
use crate::clients::LoadAnswer;
use crate::clients::LoadOrder;
use crate::clients::RoleOrder;
use crate::clients::StreamEvent;
use crate::clients::UnloadOrder;
use crate::links::HttpClient;

/// Timeout of an order to load weights.
const LOAD_TIMEOUT: Duration = Duration::from_secs(120);

/// Timeout of all other requests to an engine.
const ORDER_TIMEOUT: Duration = Duration::from_secs(3);

/// Why a request to an engine failed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum EngineError {
    /// No connection was made, so the request was not sent.
    NotSent(String),
    /// No complete response came after the request may have been sent.
    Unreachable(String),
    /// The engine refused the request with this code.
    Refused(EngineErrorCode),
    /// The engine responded with this error status, without a code.
    Status(u16),
    /// The response could not be decoded.
    Malformed(String),
}

impl EngineError {
    /// Whether the request was refused or never sent. Otherwise the engine may still carry
    /// it out.
    pub fn is_not_carried_out(&self) -> bool {
        matches!(self, Self::NotSent(_) | Self::Refused(_))
    }
}

impl fmt::Display for EngineError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::NotSent(reason) => write!(f, "the engine accepts no connection: {reason}"),
            Self::Unreachable(reason) => write!(f, "the engine did not respond: {reason}"),
            Self::Refused(code) => write!(f, "the engine refused the request: {}", code.name()),
            Self::Status(status) => write!(f, "the engine responded with status {status}"),
            Self::Malformed(reason) => {
                write!(f, "the engine's response cannot be decoded: {reason}")
            }
        }
    }
}

impl std::error::Error for EngineError {}

/// Client of one engine, used only by the endpoint process beside it.
///
/// Each call has a connection of its own: tokens and answers to orders don't name their
/// request, so that a late or repeated answer could be taken for that to the next call.
#[derive(Debug, Clone)]
pub struct EngineClient {
    http: HttpClient,
    base_url: String,
}

impl EngineClient {
    /// Creates a client of the engine at `address`.
    pub fn new(address: SocketAddr) -> Self {
        Self {
            http: HttpClient::to_platform(),
            base_url: format!("http://{address}"),
        }
    }

    /// Address of the engine, as IP:port.
    pub fn address(&self) -> &str {
        self.base_url
            .strip_prefix("http://")
            .expect("the base URL starts with http://")
    }

    /// Orders the engine to load weights and waits until it has.
    ///
    /// # Errors
    ///
    /// Returns [`EngineError`] when the engine refuses or does not respond.
    pub async fn load(&self, order: &LoadOrder) -> Result<LoadAnswer, EngineError> {
        self.post("/v1/load", order, LOAD_TIMEOUT).await
    }

    /// Orders the engine to unload weights.
    ///
    /// # Errors
    ///
    /// Returns [`EngineError`] when the engine refuses or does not respond.
    pub async fn unload(&self, order: &UnloadOrder) -> Result<(), EngineError> {
        self.post("/v1/unload", order, ORDER_TIMEOUT).await
    }

    /// Orders the engine to change its role.
    ///
    /// # Errors
    ///
    /// Returns [`EngineError`] when the engine refuses or does not respond.
    pub async fn set_role(&self, order: &RoleOrder) -> Result<(), EngineError> {
        self.post("/v1/role", order, ORDER_TIMEOUT).await
    }

    /// Cancels the token stream of a request.
    ///
    /// # Errors
    ///
    /// Returns [`EngineError`] when the engine does not respond.
    pub async fn cancel(&self, request_id: impl Into<String>) -> Result<(), EngineError> {
        let order = CancelOrder {
            request_id: request_id.into(),
        };
        self.post("/v1/cancel", &order, ORDER_TIMEOUT).await
    }

    /// Fetches the state of the engine.
    ///
    /// # Errors
    ///
    /// Returns [`EngineError`] when the engine does not respond.
    pub async fn fetch_state(&self) -> Result<EngineState, EngineError> {
        let url = format!("{}/v1/state", self.base_url);
        let mut response = self
            .http
            .request_on_new_connection(Method::GET, &url)
            .timeout(ORDER_TIMEOUT)
            .send()
            .await
            .map_err(|e| EngineError::Unreachable(e.to_string()))?;
        let body = HttpClient::read_body(&mut response)
            .await
            .map_err(|e| EngineError::Unreachable(e.to_string()))?;
        decode_response(response.status(), &body)
    }

    /// Starts a token stream and returns it once the engine has accepted the request, however
    /// long that takes.
    ///
    /// # Errors
    ///
    /// Returns [`EngineError`] when the engine refuses or does not respond.
    pub async fn generate(&self, order: &GenerateOrder) -> Result<EngineStream, EngineError> {
        let url = format!("{}/v1/generate", self.base_url);
        let mut response = self
            .http
            .request_on_new_connection(Method::POST, &url)
            .send_json(order)
            .await
            .map_err(|e| classify_send_error(&e))?;
        if response.status() != StatusCode::OK {
            let body = HttpClient::read_body(&mut response)
                .await
                .map_err(|e| EngineError::Unreachable(e.to_string()))?;
            return Err(refusal_error(response.status(), &body));
        }
        let chunks = response.map(|chunk| chunk.map_err(|e| e.to_string()));
        Ok(EngineStream {
            chunks: chunks.boxed_local(),
            lines: LineBuffer::default(),
        })
    }

    /// Posts `body` as JSON and decodes the response, also JSON.
    async fn post<T: DeserializeOwned>(
        &self,
        path: &str,
        body: &impl Serialize,
        timeout: Duration,
    ) -> Result<T, EngineError> {
        let url = format!("{}{path}", self.base_url);
        let mut response = self
            .http
            .request_on_new_connection(Method::POST, &url)
            .timeout(timeout)
            .send_json(body)
            .await
            .map_err(|e| classify_send_error(&e))?;
        let body = HttpClient::read_body(&mut response)
            .await
            .map_err(|e| EngineError::Unreachable(e.to_string()))?;
        decode_response(response.status(), &body)
    }
}

/// Separates requests that were certainly not sent from those that may have been.
///
/// `Disconnected` counts as possibly sent.
fn classify_send_error(error: &SendRequestError) -> EngineError {
    match error {
        SendRequestError::Connect(ConnectError::Disconnected) => {
            EngineError::Unreachable(error.to_string())
        }
        SendRequestError::Connect(_) => EngineError::NotSent(error.to_string()),
        _ => EngineError::Unreachable(error.to_string()),
    }
}

/// Error of a response with a status other than 200.
fn refusal_error(status: StatusCode, body: &[u8]) -> EngineError {
    match serde_json::from_slice::<EngineRefusal>(body) {
        Ok(refusal) => EngineError::Refused(refusal.code),
        Err(_) => EngineError::Status(status.as_u16()),
    }
}

/// Decodes the JSON of a response, which must have status 200.
fn decode_response<T: DeserializeOwned>(status: StatusCode, body: &[u8]) -> Result<T, EngineError> {
    if status != StatusCode::OK {
        return Err(refusal_error(status, body));
    }
    serde_json::from_slice(body).map_err(|e| EngineError::Malformed(e.to_string()))
}

/// Events of a token stream; dropping it closes the connection.
pub struct EngineStream {
    chunks: LocalBoxStream<'static, Result<Bytes, String>>,
    lines: LineBuffer,
}

impl EngineStream {
    /// Waits for the next event; `None` when the connection ended.
    ///
    /// # Errors
    ///
    /// [`EngineError`] when the connection fails or a line is not a valid event.
    pub async fn next(&mut self) -> Option<Result<StreamEvent, EngineError>> {
        loop {
            if let Some(line) = self.lines.next_line() {
                let event = serde_json::from_slice(line);
                return Some(event.map_err(|e| EngineError::Malformed(e.to_string())));
            }
            match self.chunks.next().await? {
                Ok(chunk) if self.lines.push(&chunk) => {}
                Ok(_) => return Some(Err(EngineError::Malformed("a line is too long".to_owned()))),
                Err(reason) => return Some(Err(EngineError::Unreachable(reason))),
            }
        }
    }
}

impl fmt::Debug for EngineStream {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("EngineStream").finish_non_exhaustive()
    }
}
