use actix_web::dev::Payload;
use actix_web::error::PayloadError;
use bytes::Bytes;
use futures_util::stream;

/// Request body that a middleware passes on part by part.
pub(super) trait BodyParts {
    /// Next part; `None` after the last one.
    async fn next(&mut self) -> Option<Result<Bytes, PayloadError>>;
}

/// Payload of these parts, which ends with the first failure.
pub(super) fn payload_of(parts: impl BodyParts + 'static) -> Payload {
    let parts = stream::unfold(Some(parts), |parts| async move {
        let mut parts = parts?;
        let part = parts.next().await?;
        let rest = part.is_ok().then_some(parts);
        Some((part, rest))
    });
    Payload::Stream {
        payload: Box::pin(parts),
    }
}
