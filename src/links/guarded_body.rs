use std::pin::Pin;
use std::task::Context;
use std::task::Poll;

use actix_web::body::BodySize;
use actix_web::body::BoxBody;
use actix_web::body::MessageBody;
use bytes::Bytes;

/// Body of an answer that keeps a guard until it is dropped.
pub(super) struct GuardedBody<G> {
    body: BoxBody,
    _guard: G,
}

impl<G> GuardedBody<G> {
    /// Body that keeps `guard`.
    pub(super) fn new(body: impl MessageBody + 'static, guard: G) -> Self {
        Self {
            body: body.boxed(),
            _guard: guard,
        }
    }
}

impl<G: Unpin> MessageBody for GuardedBody<G> {
    type Error = <BoxBody as MessageBody>::Error;

    fn size(&self) -> BodySize {
        self.body.size()
    }

    fn poll_next(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Bytes, Self::Error>>> {
        Pin::new(&mut self.body).poll_next(context)
    }
}
