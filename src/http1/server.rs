use std::future::Future;
use std::rc::Rc;
use std::time::Duration;

use tokio::net::TcpListener;
use tokio::time::Instant;

use crate::http1::BodyDecoder;
use crate::http1::Connection;
use crate::http1::Http1Error;
use crate::http1::RequestHead;

/// Largest head of an internal call, in bytes.
const MAX_HEAD_BYTES: usize = 8 * 1024;

/// Largest body of an internal call, in bytes.
const MAX_BODY_BYTES: usize = 1024 * 1024;

/// Time that an internal connection may stay idle.
const IDLE_TIMEOUT: Duration = Duration::from_secs(20);

/// Time for one internal message.
const MESSAGE_TIMEOUT: Duration = Duration::from_secs(5);

/// One internal call: method, path, query and body.
#[derive(Debug)]
pub struct InternalRequest {
    /// Head.
    pub head: RequestHead,
    /// Whole body.
    pub body: Vec<u8>,
}

/// Answer to an internal call.
#[derive(Debug)]
pub struct InternalResponse {
    /// Status code.
    pub status: u16,
    /// Media type of the body.
    pub content_type: &'static str,
    /// Whole body.
    pub body: Vec<u8>,
}

impl InternalResponse {
    /// Answer with metrics in the Prometheus text format.
    pub fn metrics(text: String) -> Self {
        Self {
            status: 200,
            content_type: "text/plain; version=0.0.4",
            body: text.into_bytes(),
        }
    }

    /// Answer without a body.
    pub fn status(status: u16) -> Self {
        Self {
            status,
            content_type: "text/plain",
            body: Vec::new(),
        }
    }
}

/// Answers internal calls.
pub trait InternalHandler: 'static {
    /// Answers one call.
    fn handle(&self, request: InternalRequest) -> impl Future<Output = InternalResponse>;
}

/// Reads one request with its whole body.
///
/// Waits `idle_timeout` for its first byte and `head_timeout` for the rest of the head.
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

/// Serves internal calls until the listener fails.
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
        let closes = head.wants_close();
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
        if closes {
            return Ok(());
        }
    }
}
