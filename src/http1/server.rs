use std::future::Future;
use std::rc::Rc;
use std::time::Duration;

use tokio::net::TcpListener;
use tokio::time::Instant;

use crate::http1::BodyDecoder;
use crate::http1::Connection;
use crate::http1::Http1Error;
use crate::http1::RequestHead;

/// Largest head of an internal request, in bytes.
const MAX_HEAD_BYTES: usize = 8 * 1024;

/// Largest body of an internal request, in bytes.
const MAX_BODY_BYTES: usize = 1024 * 1024;

/// Time that an internal connection may stay idle between two requests.
const IDLE_TIMEOUT: Duration = Duration::from_secs(20);

/// Time to read the head of an internal request, then its body, then to write the
/// response.
const MESSAGE_TIMEOUT: Duration = Duration::from_secs(5);

/// Request from another process of the system.
#[derive(Debug)]
pub struct InternalRequest {
    /// Request line and headers.
    pub head: RequestHead,
    /// Complete body, decoded.
    pub body: Vec<u8>,
}

/// Response to an internal request.
#[derive(Debug)]
pub struct InternalResponse {
    /// Status code.
    pub status: u16,
    /// Value of Content-Type.
    pub content_type: &'static str,
    /// Complete body.
    pub body: Vec<u8>,
}

impl InternalResponse {
    /// Creates a response with metrics in the Prometheus text format.
    pub fn metrics(text: String) -> Self {
        Self {
            status: 200,
            content_type: "text/plain; version=0.0.4",
            body: text.into_bytes(),
        }
    }

    /// Creates a response without a body.
    pub fn without_body(status: u16) -> Self {
        Self {
            status,
            content_type: "text/plain",
            body: Vec::new(),
        }
    }
}

/// Handles the requests of an internal listener.
pub trait InternalHandler: 'static {
    /// Handles one request.
    fn handle(&self, request: InternalRequest) -> impl Future<Output = InternalResponse>;
}

/// Reads the head of a request.
///
/// Waits at most `idle_timeout` for its first byte, then at most `head_timeout` for the
/// rest of the head.
///
/// # Errors
///
/// [`Http1Error::Closed`] when no byte of a request arrived; any other error concerns
/// a request that had begun.
pub async fn read_request_head(
    connection: &mut Connection,
    max_head_bytes: usize,
    idle_timeout: Duration,
    head_timeout: Duration,
) -> Result<RequestHead, Http1Error> {
    let mut deadline = Instant::now() + idle_timeout;
    let mut has_started = !connection.read_buffer.is_empty();
    if has_started {
        deadline = Instant::now() + head_timeout;
    }
    loop {
        if let Some(head) = RequestHead::parse_from(&mut connection.read_buffer, max_head_bytes)? {
            return Ok(head);
        }
        match connection.fill_buffer_with_deadline(deadline).await {
            Ok(0) if has_started => return Err(Http1Error::IncompleteMessage),
            Ok(0) => return Err(Http1Error::Closed),
            Ok(_) => {}
            Err(Http1Error::TimedOut) if !has_started => return Err(Http1Error::Closed),
            Err(error) => return Err(error),
        }
        if !has_started {
            has_started = true;
            deadline = Instant::now() + head_timeout;
        }
    }
}

/// Accepts connections and serves their internal requests, without end.
pub async fn serve_internal(listener: TcpListener, handler: impl InternalHandler) {
    let handler = Rc::new(handler);
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                let handler = handler.clone();
                actix_rt::spawn(async move {
                    if let Err(error) = serve_connection(Connection::new(stream), &*handler).await {
                        log::debug!("an internal connection ended: {error}");
                    }
                });
            }
            Err(error) => {
                log::warn!("cannot accept an internal connection: {error}");
                tokio::time::sleep(Duration::from_millis(100)).await;
            }
        }
    }
}

/// Serves the requests of one connection until it is closed or idle for too long.
async fn serve_connection(
    mut connection: Connection,
    handler: &impl InternalHandler,
) -> Result<(), Http1Error> {
    loop {
        let read = read_request_head(
            &mut connection,
            MAX_HEAD_BYTES,
            IDLE_TIMEOUT,
            MESSAGE_TIMEOUT,
        );
        let head = match read.await {
            Ok(head) => head,
            Err(Http1Error::Closed) => return Ok(()),
            Err(error) => return Err(error),
        };
        let deadline = Instant::now() + MESSAGE_TIMEOUT;
        let decoder = BodyDecoder::new(head.framing()?);
        let body = connection
            .read_body(decoder, MAX_BODY_BYTES, || deadline)
            .await?;
        let is_last = head.wants_close();
        let response = handler.handle(InternalRequest { head, body }).await;
        let mut bytes = format!(
            "HTTP/1.1 {} .\r\nContent-Type: {}\r\nContent-Length: {}\r\n\r\n",
            response.status,
            response.content_type,
            response.body.len()
        )
        .into_bytes();
        bytes.extend_from_slice(&response.body);
        connection
            .write_with_deadline(&bytes, Instant::now() + MESSAGE_TIMEOUT)
            .await?;
        if is_last {
            return Ok(());
        }
    }
}
