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

/// Time between two heartbeats of an answer that is not ready.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(500);

type PendingReply = Pin<Box<dyn Future<Output = ServiceReply>>>;

/// Answers with heartbeats until `answering` is done, then with its reply.
pub(super) fn heartbeat_response(
    reply: impl Future<Output = ServiceReply> + 'static,
) -> HttpResponse {
    let start: Option<PendingReply> = Some(Box::pin(reply));
    let chunks = stream::unfold(start, next_chunk);
    HttpResponse::Ok()
        .content_type("application/msgpack")
        .streaming(chunks)
}

async fn next_chunk(
    state: Option<PendingReply>,
) -> Option<(Result<Bytes, Error>, Option<PendingReply>)> {
    let mut pending = state?;
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
