use std::fmt::Debug;
use std::sync::Arc;

use actix_web::HttpResponse;
use actix_web::web::Bytes;
use futures_util::Stream;
use futures_util::StreamExt;
use futures_util::stream;
use tokio::sync::mpsc;

use super::engine_health::EngineHealth;
use super::generate_queue::GenerateQueue;
use super::generate_run::GenerateRun;
use crate::calls::GenerateCall;
use crate::calls::GenerateFrame;
use crate::calls::RefusalReason;
use crate::clients::EngineClient;
use crate::links::DrainEnd;
use crate::weights::Digest;

/// Number of frames that are buffered for a slow reader.
const BUFFERED_FRAMES: usize = 256;

/// Runs generate requests on the engine of this host, in the order of the fair queue.
#[derive(Debug)]
pub struct GenerateServer {
    queue: Arc<GenerateQueue>,
    engine: EngineClient,
    health: Arc<EngineHealth>,
    drain_end: Arc<DrainEnd>,
}

impl GenerateServer {
    /// Server for requests to `engine`, queued in `queue`, which are refused at `drain_end`.
    pub fn new(queue: Arc<GenerateQueue>, engine: EngineClient, drain_end: Arc<DrainEnd>) -> Self {
        Self {
            queue,
            engine,
            health: Arc::default(),
            drain_end,
        }
    }

    /// The queue in front of the engine.
    pub fn queue(&self) -> &Arc<GenerateQueue> {
        &self.queue
    }

    /// Queues a call and streams its frames; `content_digest` is the verified digest of
    /// the weights it must run on, and `in_use` is dropped when the run ends.
    pub fn run(
        &self,
        call: GenerateCall,
        content_digest: Digest,
        in_use: impl Debug + 'static,
    ) -> HttpResponse {
        let (frames, mut received) = mpsc::channel(BUFFERED_FRAMES);
        let run = GenerateRun {
            queue: Arc::clone(&self.queue),
            engine: self.engine.clone(),
            health: Arc::clone(&self.health),
            call,
            content_digest,
            frames,
        };
        let drain_end = Arc::clone(&self.drain_end);
        actix_rt::spawn(async move {
            run.run(&drain_end).await;
            drop(in_use);
        });
        respond(stream::poll_fn(move |context| received.poll_recv(context)))
    }

    /// Refuses a call without queuing it.
    pub fn refuse(&self, reason: RefusalReason) -> HttpResponse {
        let frame = GenerateFrame::Refused {
            reason,
            retry_after_ms: reason.retry_after_ms(),
            load: self.queue.load(),
        };
        respond(stream::iter([frame]))
    }
}

/// Response that streams the encoded frames.
fn respond(frames: impl Stream<Item = GenerateFrame> + 'static) -> HttpResponse {
    let bodies = frames.map(|frame| Ok::<_, actix_web::Error>(Bytes::from(frame.to_bytes())));
    HttpResponse::Ok()
        .content_type("application/octet-stream")
        .streaming(bodies)
}
