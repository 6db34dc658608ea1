use std::io;
use std::time::Duration;

use actix_rt::time::Instant;
use actix_rt::time::timeout;
use actix_web::Error;
use actix_web::HttpMessage;
use actix_web::body::MessageBody;
use actix_web::dev::Payload;
use actix_web::dev::ServiceRequest;
use actix_web::dev::ServiceResponse;
use actix_web::error::PayloadError;
use actix_web::middleware::Next;
use bytes::Bytes;
use futures_util::StreamExt;
use futures_util::stream;

/// A request body that must be whole at its deadline.
struct TimedBody {
    payload: Payload,
    deadline: Instant,
    ended: bool,
}

impl TimedBody {
    async fn next(&mut self) -> Option<Result<Bytes, PayloadError>> {
        if self.ended {
            return None;
        }
        let left = self.deadline.saturating_duration_since(Instant::now());
        let part = timeout(left, self.payload.next()).await;
        let part = part.unwrap_or_else(|_| Some(Err(too_slow())));
        self.ended = !matches!(part, Some(Ok(_)));
        part
    }
}

fn too_slow() -> PayloadError {
    PayloadError::Io(io::Error::new(
        io::ErrorKind::TimedOut,
        "the client took too long to send the body",
    ))
}

/// Lets the body of a request fail when it is not whole within `wait`.
pub async fn limit_body_time(
    wait: Duration,
    mut request: ServiceRequest,
    next: Next<impl MessageBody>,
) -> Result<ServiceResponse<impl MessageBody>, Error> {
    let payload = request.take_payload();
    if matches!(payload, Payload::None) {
        return next.call(request).await;
    }
    let body = TimedBody {
        payload,
        deadline: Instant::now() + wait,
        ended: false,
    };
    let parts = stream::unfold(body, |mut body| async move {
        let part = body.next().await?;
        Some((part, body))
    });
    request.set_payload(Payload::Stream {
        payload: Box::pin(parts),
    });
    next.call(request).await
}
