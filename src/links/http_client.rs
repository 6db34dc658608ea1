use std::cell::RefCell;
use std::sync::Arc;
use std::time::Duration;

use actix_rt::time::sleep;
use actix_web::body::MessageBody;
use actix_web::error::PayloadError;
use actix_web::http::Method;
use actix_web::http::StatusCode;
use actix_web::http::header::CONTENT_LENGTH;
use actix_web::http::header::CONTENT_TYPE;
use actix_web::http::header::RETRY_AFTER;
use awc::Client;
use awc::ClientRequest;
use awc::ClientResponse;
use awc::Connector;
use awc::error::ConnectError;
use awc::error::SendRequestError;
use bytes::Bytes;
use futures_util::Stream;
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::links::LinkError;
use crate::links::SimulatedPartition;
use crate::links::wait_for_data;

/// Header with the shared key, in requests between this system's processes.
pub const SHARED_KEY_HEADER: &str = "x-bergamotfork-key";

/// Largest body read from another process, in bytes.
const MAX_BODY_BYTES: usize = 64 << 20;

/// Most connections in the pool of one thread.
const MAX_CONNECTIONS: usize = 1024;

/// Time to open a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(1000);

thread_local! {
    /// Client whose connections the requests of one thread share.
    static POOL: RefCell<Client> = RefCell::new(new_client(MAX_CONNECTIONS));
}

/// Creates a client without a timeout for requests, as each call here sets its own.
fn new_client(max_connections: usize) -> Client {
    Client::builder()
        .connector(
            Connector::new()
                .limit(max_connections)
                .timeout(CONNECT_TIMEOUT),
        )
        .disable_timeout()
        .disable_redirects()
        .finish()
}

/// HTTP client towards other processes; each thread has its own pool of connections.
#[derive(Debug, Clone)]
pub struct HttpClient {
    shared_key: Option<String>,
    partition: Option<Arc<SimulatedPartition>>,
}

impl HttpClient {
    /// Creates a client that sends no shared key, for processes outside this system.
    pub fn to_platform() -> Self {
        Self {
            shared_key: None,
            partition: None,
        }
    }

    /// Creates a client that sends the shared key, for this system's processes.
    pub fn to_processes(shared_key: impl Into<String>) -> Self {
        Self {
            shared_key: Some(shared_key.into()),
            partition: None,
        }
    }

    /// The same client, whose requests time out while `partition` blocks their address.
    pub fn with_simulated_partition(mut self, partition: Arc<SimulatedPartition>) -> Self {
        self.partition = Some(partition);
        self
    }

    /// Waits for `timeout_ms` and fails if the simulated partition blocks `url`.
    async fn fail_if_partitioned(&self, url: &str, timeout_ms: u64) -> Result<(), LinkError> {
        if !self
            .partition
            .as_ref()
            .is_some_and(|partition| partition.blocks_url(url))
        {
            return Ok(());
        }
        sleep(Duration::from_millis(timeout_ms)).await;
        Err(LinkError::Timeout { timeout_ms })
    }

    /// Creates a request on a pooled connection.
    pub fn request(&self, method: Method, url: &str) -> ClientRequest {
        self.add_shared_key(POOL.with_borrow(|pool| pool.request(method, url)))
    }

    /// Creates a request on a connection of its own; the client never resends it.
    pub fn request_on_new_connection(&self, method: Method, url: &str) -> ClientRequest {
        self.add_shared_key(new_client(1).request(method, url))
            .force_close()
    }

    /// Adds the header with the shared key, if this client has one.
    fn add_shared_key(&self, request: ClientRequest) -> ClientRequest {
        match &self.shared_key {
            Some(key) => request.insert_header((SHARED_KEY_HEADER, key.as_str())),
            None => request,
        }
    }

    /// Sends `body` and waits up to `timeout_ms` for the head of the response.
    ///
    /// # Errors
    ///
    /// [`LinkError`] when no response came; the status is left to the caller.
    pub async fn send(
        request: ClientRequest,
        body: impl Into<Bytes>,
        timeout_ms: u64,
    ) -> Result<ClientResponse, LinkError> {
        let sending = request.send_body(body.into());
        match wait_for_data(Duration::from_millis(timeout_ms), sending).await {
            Some(response) => response
                .map_err(classify_send_error)
                .and_then(reject_interim_response),
            None => Err(LinkError::Timeout { timeout_ms }),
        }
    }

    /// Sends `body` and returns the complete body of the response within `timeout_ms`.
    ///
    /// # Errors
    ///
    /// [`LinkError`] when no response came or its status is not a success.
    pub async fn send_and_read(
        request: ClientRequest,
        body: impl MessageBody + 'static,
        timeout_ms: u64,
    ) -> Result<Bytes, LinkError> {
        let sending = async {
            let response = request.send_body(body).await.map_err(classify_send_error)?;
            let mut response = reject_interim_response(response)?;
            let status = response.status();
            let retry_after_ms = response
                .headers()
                .get(RETRY_AFTER)
                .and_then(|value| value.to_str().ok())
                .and_then(|seconds| seconds.parse::<f64>().ok())
                .map(|seconds| (seconds * 1000.0) as u64);
            let bytes = Self::read_body(&mut response).await?;
            if status.is_success() {
                return Ok(bytes);
            }
            Err(LinkError::Status {
                status: status.as_u16(),
                retry_after_ms,
                body: String::from_utf8_lossy(&bytes).into_owned(),
            })
        };
        wait_for_data(Duration::from_millis(timeout_ms), sending)
            .await
            .unwrap_or(Err(LinkError::Timeout { timeout_ms }))
    }

    /// Reads the complete body of a response.
    ///
    /// `awc` reports no error when the connection ends within a body, so its length is
    /// checked here. A body in chunks or without a length may be cut all the same: what
    /// decodes it has to find that out.
    ///
    /// # Errors
    ///
    /// [`LinkError::Broken`] when the body is too large or was cut.
    pub async fn read_body<S>(response: &mut ClientResponse<S>) -> Result<Bytes, LinkError>
    where
        S: Stream<Item = Result<Bytes, PayloadError>>,
    {
        let has_no_body = matches!(
            response.status(),
            StatusCode::NO_CONTENT | StatusCode::NOT_MODIFIED
        );
        let expected_length = response
            .headers()
            .get(CONTENT_LENGTH)
            .and_then(|value| value.to_str().ok())
            .and_then(|length| length.parse::<usize>().ok())
            .filter(|_| !has_no_body);
        let bytes = response
            .body()
            .limit(MAX_BODY_BYTES)
            .await
            .map_err(|error| LinkError::Broken(error.to_string()))?;
        match expected_length {
            Some(length) if length != bytes.len() => Err(LinkError::Broken(format!(
                "the body was cut after {} of {length} bytes",
                bytes.len()
            ))),
            _ => Ok(bytes),
        }
    }

    /// Posts `request` as MessagePack and decodes the response, also MessagePack.
    ///
    /// # Errors
    ///
    /// [`LinkError`] as for [`HttpClient::send_and_read`].
    pub async fn call_rmp<A: DeserializeOwned>(
        &self,
        url: &str,
        request: &impl Serialize,
        timeout_ms: u64,
    ) -> Result<A, LinkError> {
        let body = rmp_serde::to_vec_named(request).map_err(malformed)?;
        let response = self.post_rmp(url, body, timeout_ms).await?;
        rmp_serde::from_slice(&response).map_err(malformed)
    }

    /// Posts raw bytes and returns the body of the response.
    ///
    /// # Errors
    ///
    /// [`LinkError`] as for [`HttpClient::send_and_read`].
    pub async fn post_bytes(
        &self,
        url: &str,
        body: impl Into<Bytes>,
        timeout_ms: u64,
    ) -> Result<Bytes, LinkError> {
        self.fail_if_partitioned(url, timeout_ms).await?;
        Self::send_and_read(self.request(Method::POST, url), body.into(), timeout_ms).await
    }

    /// Posts a body that is encoded as MessagePack and returns the body of the response.
    ///
    /// # Errors
    ///
    /// [`LinkError`] as for [`HttpClient::send_and_read`].
    pub async fn post_rmp(
        &self,
        url: &str,
        body: impl Into<Bytes>,
        timeout_ms: u64,
    ) -> Result<Bytes, LinkError> {
        self.fail_if_partitioned(url, timeout_ms).await?;
        let request = self
            .request(Method::POST, url)
            .insert_header((CONTENT_TYPE, "application/msgpack"));
        Self::send_and_read(request, body.into(), timeout_ms).await
    }

    /// Gets a JSON document and decodes it.
    ///
    /// # Errors
    ///
    /// [`LinkError`] as for [`HttpClient::send_and_read`].
    pub async fn get_json<A: DeserializeOwned>(
        &self,
        url: &str,
        timeout_ms: u64,
    ) -> Result<A, LinkError> {
        self.fail_if_partitioned(url, timeout_ms).await?;
        let response =
            Self::send_and_read(self.request(Method::GET, url), Bytes::new(), timeout_ms).await?;
        decode_json(&response)
    }

    /// Sends `request` as JSON and decodes the response, also JSON.
    ///
    /// # Errors
    ///
    /// [`LinkError`] as for [`HttpClient::send_and_read`].
    pub async fn send_json<A: DeserializeOwned>(
        &self,
        method: Method,
        url: &str,
        request: &impl Serialize,
        timeout_ms: u64,
    ) -> Result<A, LinkError> {
        self.fail_if_partitioned(url, timeout_ms).await?;
        let body = serde_json::to_vec(request).map_err(malformed)?;
        let request = self
            .request(method, url)
            .insert_header((CONTENT_TYPE, "application/json"));
        let response = Self::send_and_read(request, body, timeout_ms).await?;
        decode_json(&response)
    }
}

/// Decodes a JSON body.
///
/// # Errors
///
/// [`LinkError::Broken`] when the body ends before the JSON does, and
/// [`LinkError::Malformed`] when it is invalid otherwise.
pub fn decode_json<A: DeserializeOwned>(body: &[u8]) -> Result<A, LinkError> {
    serde_json::from_slice(body).map_err(|error| {
        if error.is_eof() {
            LinkError::Broken(error.to_string())
        } else {
            malformed(error)
        }
    })
}

/// Fails for an interim response (1xx): `awc` takes it for the final one and the connection for
/// one that can be reused, on which the final one would meet the next request. All connections
/// of this thread that are idle are dropped.
fn reject_interim_response<S>(response: ClientResponse<S>) -> Result<ClientResponse<S>, LinkError> {
    if !response.status().is_informational() {
        return Ok(response);
    }
    POOL.set(new_client(MAX_CONNECTIONS));
    Err(LinkError::Broken(format!(
        "an interim response, with status {}",
        response.status().as_u16()
    )))
}

/// Error of a message that could not be encoded or decoded.
fn malformed(error: impl std::fmt::Display) -> LinkError {
    LinkError::Malformed(error.to_string())
}

/// Separates requests that were certainly not sent from those that may have been.
///
/// `Disconnected` counts as possibly sent.
pub(super) fn classify_send_error(error: SendRequestError) -> LinkError {
    match error {
        SendRequestError::Connect(ConnectError::Disconnected) => {
            LinkError::Broken("disconnected".to_owned())
        }
        SendRequestError::Connect(cause) => LinkError::NotSent(cause.to_string()),
        SendRequestError::Url(cause) => LinkError::NotSent(cause.to_string()),
        // The only body that fails is one past its deadline, before its first byte.
        SendRequestError::Body(cause) => LinkError::NotSent(cause.to_string()),
        other => LinkError::Broken(other.to_string()),
    }
}
