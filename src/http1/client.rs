use std::net::SocketAddr;
use std::time::Duration;

use rand::Rng;
use tokio::time::Instant;

use crate::http1::BodyDecoder;
use crate::http1::Connection;
use crate::http1::Headers;
use crate::http1::Http1Error;

/// Largest head of a response, in bytes.
const MAX_HEAD_BYTES: usize = 32 * 1024;

/// Largest body of a response, in bytes.
const MAX_BODY_BYTES: usize = 16 * 1024 * 1024;

/// Time to open a connection, in ms; TCP resends a lost SYN packet only after 1 s.
const CONNECT_TIMEOUT_MS: u64 = 1_000;

/// A request with a small body and a small response.
#[derive(Debug, Clone, Copy)]
pub struct ClientRequest<'a> {
    /// Method, in capitals.
    pub method: &'a str,
    /// Path and query, as sent.
    pub target: &'a str,
    /// Value of Content-Type; the header is not sent when empty.
    pub content_type: &'a str,
    /// Further headers, as pairs of name and value.
    pub headers: &'a [(&'a str, &'a str)],
    /// Complete body; may be empty.
    pub body: &'a [u8],
    /// Time from opening the connection to the end of the response.
    pub timeout: Duration,
    /// Longest time without a further byte of the response; also bounded by `timeout`.
    pub stall_timeout: Duration,
}

impl<'a> ClientRequest<'a> {
    /// Creates a GET request without a body.
    pub fn get(target: &'a str, timeout: Duration) -> Self {
        Self {
            method: "GET",
            target,
            content_type: "",
            headers: &[],
            body: &[],
            timeout,
            stall_timeout: timeout,
        }
    }

    /// Allows a response that keeps arriving to take up to `timeout`, and fails once
    /// nothing has arrived for the timeout given to the constructor.
    pub fn until_stalled(self, timeout: Duration) -> Self {
        Self { timeout, ..self }
    }
}

/// A response with its complete body.
#[derive(Debug)]
pub struct ClientResponse {
    /// Status code.
    pub status: u16,
    /// Header lines, in the order of arrival.
    pub headers: Headers,
    /// Complete body, decoded.
    pub body: Vec<u8>,
}

/// HTTP/1.1 client of one address, which reuses its connection if the peer allows it.
///
/// A request that fails drops the connection. The client never retries it, as only
/// the caller knows whether it may run twice.
///
/// A faulty peer may repeat a response after the next request has been sent. Only an id that
/// responses repeat tells it from the response to that request: see
/// [`Http1Client::with_request_ids`].
#[derive(Debug)]
pub struct Http1Client {
    address: SocketAddr,
    idle_connection: Option<IdleConnection>,
    max_idle: Duration,
    /// Header with the id of a request, and the id of the last one.
    request_ids: Option<(&'static str, u64)>,
}

/// A connection that can be reused.
#[derive(Debug)]
struct IdleConnection {
    connection: Connection,
    since: Instant,
    /// Whether the responses on it have the ids of their requests.
    has_request_ids: bool,
}

impl Http1Client {
    /// Creates a client of `address` that reuses a connection idle for less than `max_idle`.
    pub fn new(address: SocketAddr, max_idle: Duration) -> Self {
        Self {
            address,
            idle_connection: None,
            max_idle,
            request_ids: None,
        }
    }

    /// Sends an id of its own in `header` with each request, and skips responses with another
    /// one, and those without an id after others on their connection had one.
    pub fn with_request_ids(self, header: &'static str) -> Self {
        Self {
            request_ids: Some((header, rand::rng().random())),
            ..self
        }
    }

    /// Address that requests are sent to.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// The idle connection, if it has not been idle for too long and is still unused.
    fn reusable_connection(&mut self) -> Option<IdleConnection> {
        let mut idle = self.idle_connection.take()?;
        let is_reusable = idle.since.elapsed() < self.max_idle && !idle.connection.has_surplus();
        is_reusable.then_some(idle)
    }

    /// Header with the id of the next request, if requests have one.
    fn next_request_id(&mut self) -> Option<(&'static str, String)> {
        let (header, id) = self.request_ids.as_mut()?;
        *id = id.wrapping_add(1);
        Some((*header, format!("{id:016x}")))
    }

    /// Sends a request and reads the complete response.
    ///
    /// # Errors
    ///
    /// [`Http1Error`] when the connection or the response fails, whatever the status.
    pub async fn send(
        &mut self,
        request: &ClientRequest<'_>,
    ) -> Result<ClientResponse, Http1Error> {
        let deadline = Instant::now() + request.timeout;
        let next_deadline = || deadline.min(Instant::now() + request.stall_timeout);
        let request_id = self.next_request_id();
        let (mut connection, mut has_request_ids) = match self.reusable_connection() {
            Some(idle) => (idle.connection, idle.has_request_ids),
            None => {
                let connect_timeout = request
                    .stall_timeout
                    .min(Duration::from_millis(CONNECT_TIMEOUT_MS));
                let connection = Connection::connect(self.address, connect_timeout).await?;
                (connection, false)
            }
        };
        let bytes = encode_request(self.address, request, request_id.as_ref());
        connection
            .write_with_deadline(&bytes, next_deadline())
            .await?;
        let (response, reusable) = loop {
            let (response, reusable) =
                read_response(&mut connection, request.method, next_deadline).await?;
            let Some((header, sent_id)) = &request_id else {
                break (response, reusable);
            };
            // An empty id names no request either.
            let named_id = response.headers.first_text(header);
            match named_id.filter(|id| !id.is_empty()) {
                Some(id) if id == sent_id => {
                    has_request_ids = true;
                    break (response, reusable);
                }
                None if !has_request_ids => break (response, reusable),
                Some(_) | None => log::debug!("{} sent a surplus response", self.address),
            }
        };
        if reusable {
            self.idle_connection = Some(IdleConnection {
                connection,
                since: Instant::now(),
                has_request_ids,
            });
        }
        Ok(response)
    }
}

/// Encodes the head, with the header of the request's id, and the body of a request.
fn encode_request(
    address: SocketAddr,
    request: &ClientRequest<'_>,
    id: Option<&(&str, String)>,
) -> Vec<u8> {
    let mut bytes = format!(
        "{} {} HTTP/1.1\r\nHost: {address}\r\n",
        request.method, request.target
    );
    if !request.content_type.is_empty() {
        bytes.push_str(&format!("Content-Type: {}\r\n", request.content_type));
    }
    if let Some((name, id)) = id {
        bytes.push_str(&format!("{name}: {id}\r\n"));
    }
    for (name, value) in request.headers {
        bytes.push_str(&format!("{name}: {value}\r\n"));
    }
    if !request.body.is_empty() || request.method != "GET" {
        bytes.push_str(&format!("Content-Length: {}\r\n", request.body.len()));
    }
    bytes.push_str("\r\n");
    let mut bytes = bytes.into_bytes();
    bytes.extend_from_slice(request.body);
    bytes
}

/// Reads a response to `method`, and whether its connection can be reused; `deadline` is
/// evaluated before each read.
async fn read_response(
    connection: &mut Connection,
    method: &str,
    deadline: impl Fn() -> Instant,
) -> Result<(ClientResponse, bool), Http1Error> {
    let head = connection
        .read_response_head(MAX_HEAD_BYTES, &deadline)
        .await?;
    let decoder = BodyDecoder::new(head.framing(method)?);
    let ends_with_close = decoder == BodyDecoder::UntilClose;
    let body = connection
        .read_body(decoder, MAX_BODY_BYTES, deadline)
        .await?;
    let reusable = !ends_with_close
        && connection.read_buffer.is_empty()
        && !head.headers.has_token("connection", "close");
    let response = ClientResponse {
        status: head.status,
        headers: head.headers,
        body,
    };
    Ok((response, reusable))
}
