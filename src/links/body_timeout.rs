use std::io;
use std::pin::pin;
use std::sync::Arc;
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
use futures_util::future::Either;
use futures_util::future::select;

use crate::links::DrainEnd;
use crate::links::body_parts::BodyParts;
use crate::links::body_parts::payload_of;

/// Request body that fails when it is not complete at its deadline, or when the drain of a
/// stopping process ends.
struct TimedBody {
    payload: Payload,
    deadline: Instant,
    drain_end: Arc<DrainEnd>,
}

impl BodyParts for TimedBody {
    async fn next(&mut self) -> Option<Result<Bytes, PayloadError>> {
        let left = self.deadline.saturating_duration_since(Instant::now());
        let part = timeout(left, self.payload.next());
        match select(pin!(part), pin!(self.drain_end.reached())).await {
            Either::Left((part, _)) => part.unwrap_or_else(|_| Some(Err(late_body_error()))),
            Either::Right(_) => Some(Err(stopped_error())),
        }
    }
}

/// Error of a body that was not complete at its deadline.
fn late_body_error() -> PayloadError {
    PayloadError::Io(io::Error::new(
        io::ErrorKind::TimedOut,
        "the client took too long to send the body",
    ))
}

/// Error of a body that was not complete when the process had to end.
fn stopped_error() -> PayloadError {
    PayloadError::Io(io::Error::new(
        io::ErrorKind::ConnectionAborted,
        "the process stops before the body is complete",
    ))
}

/// Middleware that makes the body of a request fail when it is not complete within
/// `body_timeout` and before `drain_end`.
pub async fn limit_body_time(
    body_timeout: Duration,
    drain_end: Arc<DrainEnd>,
    mut request: ServiceRequest,
    next: Next<impl MessageBody>,
) -> Result<ServiceResponse<impl MessageBody>, Error> {
    let payload = request.take_payload();
    if matches!(payload, Payload::None) {
        return next.call(request).await;
    }
    let body = TimedBody {
        payload,
        deadline: Instant::now() + body_timeout,
        drain_end,
    };
    request.set_payload(payload_of(body));
    next.call(request).await
}
