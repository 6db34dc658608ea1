use std::io;
use std::pin::Pin;
use std::task::Context;
use std::task::Poll;
use std::time::Instant;

use actix_web::body::BodySize;
use actix_web::body::MessageBody;
use bytes::Bytes;

/// Request body that is not sent once its deadline has passed.
///
/// The deadline is evaluated when the head has been sent and the body is about to be, so
/// that a pause of the process while it connects is noticed. A request that lacks its body
/// is incomplete, and the other process can't act on it.
#[derive(Debug)]
pub struct DeadlineBody {
    body: Bytes,
    deadline: Instant,
}

impl DeadlineBody {
    /// Body that is sent before `deadline` or not at all; `body` is not empty.
    pub fn new(body: Bytes, deadline: Instant) -> Self {
        Self { body, deadline }
    }
}

impl MessageBody for DeadlineBody {
    type Error = io::Error;

    fn size(&self) -> BodySize {
        // The bytes are taken only after the size has been read.
        BodySize::Sized(self.body.len() as u64)
    }

    fn poll_next(
        mut self: Pin<&mut Self>,
        _: &mut Context<'_>,
    ) -> Poll<Option<Result<Bytes, io::Error>>> {
        if self.body.is_empty() {
            // The bytes have been handed over and may have been sent.
            return Poll::Ready(None);
        }
        if Instant::now() >= self.deadline {
            let late = io::Error::new(io::ErrorKind::TimedOut, "its deadline has passed");
            return Poll::Ready(Some(Err(late)));
        }
        Poll::Ready(Some(Ok(std::mem::take(&mut self.body))))
    }
}
