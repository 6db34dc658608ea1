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
/// Waits `idle` for its first byte and `head_time` for the rest of the head.
pub async fn read_request(
    connection: &mut Connection,
    max_head_bytes: usize,
    idle: Duration,
    head_time: Duration,
) -> Result<RequestHead, Http1Error> {
    let mut until = Instant::now() + idle;
    let mut begun = !connection.inbox.is_empty();
    if begun {
        until = Instant::now() + head_time;
    }
    loop {
        if let Some(head) = RequestHead::take(&mut connection.inbox, max_head_bytes)? {
            return Ok(head);
        }
        match connection.fill_until(until).await {
            Ok(0) if begun => return Err(Http1Error::IncompleteMessage),
            Ok(0) => return Err(Http1Error::Closed),
            Ok(_) => {}
            Err(Http1Error::TimedOut) if !begun => return Err(Http1Error::Closed),
            Err(error) => return Err(error),
        }
        if !begun {
            begun = true;
            until = Instant::now() + head_time;
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
                    if let Err(error) = serve_calls(Connection::new(stream), &*handler).await {
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

async fn serve_calls(
    mut connection: Connection,
    handler: &impl InternalHandler,
) -> Result<(), Http1Error> {
    loop {
        let read = read_request(
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
        let until = Instant::now() + MESSAGE_TIMEOUT;
        let decoder = BodyDecoder::new(head.framing()?);
        let body = connection
            .read_body(decoder, MAX_BODY_BYTES, || until)
            .await?;
        let close = head.wants_close();
        let reply = handler.handle(InternalRequest { head, body }).await;
        let mut bytes = format!(
            "HTTP/1.1 {} .\r\nContent-Type: {}\r\nContent-Length: {}\r\n\r\n",
            reply.status,
            reply.content_type,
            reply.body.len()
        )
        .into_bytes();
        bytes.extend_from_slice(&reply.body);
        connection
            .write_until(&bytes, Instant::now() + MESSAGE_TIMEOUT)
            .await?;
        if close {
            return Ok(());
        }
    }
}
