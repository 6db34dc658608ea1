use std::future::Future;
use std::pin::Pin;
use std::time::Duration;

use actix_rt::time::timeout;
use actix_web::Error;
use actix_web::HttpResponse;
use bytes::Bytes;
use futures_util::stream;

use crate::calls::HEARTBEAT_BYTE;
use crate::calls::ServiceReply;

/// Interval of the heartbeats that are sent until the reply is ready.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(500);

/// Reply that is not ready yet.
type PendingReply = Pin<Box<dyn Future<Output = ServiceReply>>>;

/// Response that streams heartbeats until `reply` is ready, then the encoded reply.
pub(super) fn heartbeat_response(
    reply: impl Future<Output = ServiceReply> + 'static,
) -> HttpResponse {
    let start: Option<PendingReply> = Some(Box::pin(reply));
    let chunks = stream::unfold(start, next_chunk);
    HttpResponse::Ok()
        .content_type("application/msgpack")
        .streaming(chunks)
}

/// Next chunk of the response body; `None` after the reply.
async fn next_chunk(
    pending: Option<PendingReply>,
) -> Option<(Result<Bytes, Error>, Option<PendingReply>)> {
    let mut pending = pending?;
    match timeout(HEARTBEAT_INTERVAL, &mut pending).await {
        Err(_) => Some((Ok(Bytes::from_static(&[HEARTBEAT_BYTE])), Some(pending))),
        Ok(reply) => {
            let body = rmp_serde::to_vec_named(&reply)
                .map(Bytes::from)
                .map_err(actix_web::error::ErrorInternalServerError);
            Some((body, None))
        }
    }
}
