use std::future::Future;
use std::pin::pin;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use actix_rt::time::sleep;
use actix_rt::time::timeout;
use futures_util::future::Either;
use futures_util::future::select;
use tokio::sync::mpsc;

use super::call_run::is_process_up;
use super::engine_health::EngineHealth;
use super::engine_health::SuspectGuard;
use super::generate_queue::GenerateQueue;
use super::generate_queue::GenerateRefusal;
use super::generate_queue::PendingDecision;
use super::generate_queue::QueueDecision;
use super::generate_queue::RunSlot;
use crate::calls::GenerateCall;
use crate::calls::GenerateFrame;
use crate::calls::RefusalReason;
use crate::calls::StreamFault;
use crate::clients::EngineClient;
use crate::clients::EngineError;
use crate::clients::EngineErrorCode;
use crate::clients::GenerateOrder;
use crate::clients::StreamEvent;
use crate::links::DrainEnd;
use crate::links::wait_for_data;
use crate::weights::Digest;

/// Interval of heartbeats while a request waits for a slot or the engine, in milliseconds.
const HEARTBEAT_INTERVAL_MS: u64 = 500;

/// Time without an event after which the entry is told that the engine is silent.
const ENGINE_SILENCE_LIMIT: Duration = Duration::from_millis(3000);

/// Time for which a full buffer waits for its reader.
const SLOW_READER_TIMEOUT: Duration = Duration::from_millis(3000);

/// Interval at which a crash suspect tries to take the slot for suspects.
const SUSPECT_RETRY_INTERVAL: Duration = Duration::from_millis(50);

/// Error: the entry has closed the stream or stopped reading it.
struct StreamClosed;

/// A generate request at an endpoint: waits for a slot, then forwards the engine's tokens.
pub(super) struct GenerateRun {
    pub(super) queue: Arc<GenerateQueue>,
    pub(super) engine: EngineClient,
    pub(super) health: Arc<EngineHealth>,
    pub(super) call: GenerateCall,
    /// Digest of the verified content of the weights, which the answer must name.
    pub(super) content_digest: Digest,
    /// Sends frames to the entry.
    pub(super) frames: mpsc::Sender<GenerateFrame>,
}

impl GenerateRun {
    /// Runs the request until its final frame is sent or the stream is closed; refuses it at
    /// the end of a drain.
    pub(super) async fn run(self, drain_end: &DrainEnd) {
        if let Either::Left(_) = select(pin!(self.answer()), pin!(drain_end.reached())).await {
            return;
        }
        self.cancel_engine_run();
        let reason = RefusalReason::Leaving;
        let retry_after_ms = 0;
        self.refuse(GenerateRefusal {
            reason,
            retry_after_ms,
        })
        .await;
    }

    /// Answers the request, or refuses it.
    async fn answer(&self) {
        let deadline_ms = self.queue.now_ms().saturating_add(self.call.deadline_ms);
        let Ok(_suspect_guard) = self.wait_for_suspect_slot(deadline_ms).await else {
            return;
        };
        let cost_tokens = self.call.cost_tokens();
        let pending = match self
            .queue
            .enqueue(&self.call.branch, cost_tokens, deadline_ms)
        {
            Ok(pending) => pending,
            Err(refusal) => return self.refuse(refusal).await,
        };
        let Ok(decision) = self.wait_for_decision(pending).await else {
            self.queue.dispatch();
            return;
        };
        match decision {
            QueueDecision::Run(slot) => self.run_in_slot(slot, deadline_ms).await,
            QueueDecision::Refused(refusal) => self.refuse(refusal).await,
        }
    }

    /// Takes the slot for crash suspects if the request is one, with heartbeats while
    /// another suspect holds it.
    async fn wait_for_suspect_slot(
        &self,
        deadline_ms: u64,
    ) -> Result<Option<SuspectGuard<'_>>, StreamClosed> {
        if !self.call.is_suspect {
            return Ok(None);
        }
        loop {
            let acquired = self.health.acquire_suspect_slot(self.call.fingerprint());
            // Past the deadline the queue refuses the request.
            if acquired.is_some() || self.queue.now_ms() >= deadline_ms {
                return Ok(acquired);
            }
            self.unless_closed(sleep(SUSPECT_RETRY_INTERVAL)).await?;
            let load = self.queue.load();
            self.send(GenerateFrame::Beat { load }).await?;
        }
    }

    /// Waits for the decision of the queue, with heartbeats.
    async fn wait_for_decision(
        &self,
        mut pending: PendingDecision,
    ) -> Result<QueueDecision, StreamClosed> {
        loop {
            let left_ms = pending.expiry_ms.saturating_sub(self.queue.now_ms());
            let wait_ms = left_ms.saturating_add(1).min(HEARTBEAT_INTERVAL_MS);
            let wait = Duration::from_millis(wait_ms);
            match self
                .unless_closed(timeout(wait, &mut pending.receiver))
                .await?
            {
                Ok(Ok(decision)) => return Ok(decision),
                // Does not happen, as the queue sends a decision on every waiting request.
                Ok(Err(_)) => return Err(StreamClosed),
                Err(_) => self.queue.dispatch(),
            }
            let load = self.queue.load();
            self.send(GenerateFrame::Beat { load }).await?;
        }
    }

    /// Runs the request in its slot and sends the final frame once the slot is free.
    async fn run_in_slot(&self, mut slot: RunSlot, deadline_ms: u64) {
        // The deadline may have passed while the process was paused.
        let left_ms = deadline_ms.saturating_sub(self.queue.now_ms());
        if left_ms == 0 {
            return self.refuse(GenerateRefusal::deadline_passed()).await;
        }
        let result = self.stream_tokens(&mut slot, deadline_ms).await;
        let final_frame = match result {
            Ok(final_frame) => final_frame,
            Err(StreamClosed) => {
                // The engine may not notice the closed connection, so the request is cancelled.
                let _ = self.engine.cancel(&self.call.request_id).await;
                return;
            }
        };
        drop(slot);
        let _ = self.send(self.with_current_load(final_frame)).await;
    }

    /// Forwards the engine's tokens and returns the final frame.
    async fn stream_tokens(
        &self,
        slot: &mut RunSlot,
        deadline_ms: u64,
    ) -> Result<GenerateFrame, StreamClosed> {
        let load = self.queue.load();
        self.send(GenerateFrame::Started { load }).await?;
        let order = self.generate_order(deadline_ms.saturating_sub(self.queue.now_ms()));
        let started = self.engine.generate(&order);
        let mut events = match self.with_heartbeats(started, deadline_ms).await? {
            Some(Ok(events)) => events,
            None => return Ok(self.stop_at_deadline()),
            // The engine may have crashed before it sent the head of its response.
            Some(Err(EngineError::Unreachable(_))) => {
                return Ok(failed_frame(self.detect_crash().await));
            }
            Some(Err(error)) => return Ok(failed_frame(error_fault(&error))),
        };
        let mut next_index = self.call.resume_from;
        slot.add_used_tokens(self.call.prompt_tokens());
        loop {
            let next = self.with_heartbeats(events.next(), deadline_ms).await?;
            let Some(next) = next else {
                return Ok(self.stop_at_deadline());
            };
            match self.event_or_fault(next).await {
                Ok(StreamEvent::Token { index, text }) if index == next_index => {
                    next_index += 1;
                    self.health.record_up();
                    slot.add_used_tokens(1);
                    self.send(GenerateFrame::Token { index, text }).await?;
                }
                Ok(StreamEvent::Token { .. }) => return Ok(failed_frame(StreamFault::WrongAnswer)),
                Ok(StreamEvent::Beat) => {
                    let load = self.queue.load();
                    self.send(GenerateFrame::Beat { load }).await?;
                }
                Ok(StreamEvent::End {
                    request_id,
                    tokens,
                    manifest,
                    whole,
                }) => {
                    let is_expected = request_id == self.call.request_id
                        && manifest == self.call.manifest
                        && whole == self.content_digest
                        && tokens == next_index;
                    if !is_expected {
                        return Ok(failed_frame(StreamFault::WrongAnswer));
                    }
                    slot.record_completion();
                    return Ok(GenerateFrame::End {
                        request_id,
                        tokens,
                        manifest,
                        whole,
                        load: self.queue.load(),
                    });
                }
                Ok(StreamEvent::Error { code, .. }) => return Ok(failed_frame(code_fault(code))),
                Err(fault) => return Ok(failed_frame(fault)),
            }
        }
    }

    /// Result of `work` of the engine, with heartbeats while it lasts; `None` once the
    /// deadline has passed.
    ///
    /// A silent engine does not end the stream: only the entry knows whether another endpoint
    /// can run the request.
    async fn with_heartbeats<T>(
        &self,
        work: impl Future<Output = T>,
        deadline_ms: u64,
    ) -> Result<Option<T>, StreamClosed> {
        let mut work = pin!(work);
        let mut reported = Instant::now();
        loop {
            let left_ms = deadline_ms.saturating_sub(self.queue.now_ms());
            let wait = Duration::from_millis(left_ms.min(HEARTBEAT_INTERVAL_MS));
            match self
                .unless_closed(wait_for_data(wait, work.as_mut()))
                .await?
            {
                Some(done) => return Ok(Some(done)),
                None if left_ms == 0 => return Ok(None),
                None => {}
            }
            let load = self.queue.load();
            if reported.elapsed() < ENGINE_SILENCE_LIMIT {
                self.send(GenerateFrame::Beat { load }).await?;
            } else {
                reported = Instant::now();
                self.send(GenerateFrame::Stalled { load }).await?;
            }
        }
    }

    /// Cancels the stream of the engine and returns the final frame.
    fn stop_at_deadline(&self) -> GenerateFrame {
        self.cancel_engine_run();
        failed_frame(StreamFault::DeadlinePassed)
    }

    /// Cancels the stream of the engine, which may not notice a closed connection.
    fn cancel_engine_run(&self) {
        let engine = self.engine.clone();
        let request_id = self.call.request_id.clone();
        actix_rt::spawn(async move { engine.cancel(request_id).await });
    }

    /// The event that the engine sent, or why the stream failed.
    async fn event_or_fault(
        &self,
        next: Option<Result<StreamEvent, EngineError>>,
    ) -> Result<StreamEvent, StreamFault> {
        match next {
            Some(Ok(event)) => Ok(event),
            // The connection ended before the end event.
            Some(Err(_)) | None => Err(self.detect_crash().await),
        }
    }

    /// Fault of a broken connection to the engine: a crash if the engine is down.
    async fn detect_crash(&self) -> StreamFault {
        match is_process_up(self.engine.address()).await {
            true => StreamFault::EngineFailed,
            false => StreamFault::EngineCrashed {
                crash_no: self.health.record_crash(),
            },
        }
    }

    /// Order to the engine; `left_ms` is the time left for the answer.
    fn generate_order(&self, left_ms: u64) -> GenerateOrder {
        GenerateOrder {
            request_id: self.call.request_id.clone(),
            model: self.call.model.clone(),
            manifest: self.call.manifest,
            prompt: self.call.prompt.clone(),
            max_tokens: self.call.max_tokens,
            seed: self.call.seed,
            priority: self.call.priority,
            resume_from: self.call.resume_from,
            deadline_ms: left_ms,
        }
    }

    /// The final frame with the load after the slot was freed.
    fn with_current_load(&self, mut final_frame: GenerateFrame) -> GenerateFrame {
        if let GenerateFrame::End { load, .. } | GenerateFrame::Failed { load, .. } =
            &mut final_frame
        {
            *load = self.queue.load();
        }
        final_frame
    }

    /// Sends a refusal as the final frame.
    async fn refuse(&self, refusal: GenerateRefusal) {
        let frame = GenerateFrame::Refused {
            reason: refusal.reason,
            retry_after_ms: Some(refusal.retry_after_ms),
            load: self.queue.load(),
        };
        let _ = self.send(frame).await;
    }

    /// Sends a frame; the stream counts as closed when the buffer stays full for too long.
    async fn send(&self, frame: GenerateFrame) -> Result<(), StreamClosed> {
        match timeout(SLOW_READER_TIMEOUT, self.frames.send(frame)).await {
            Ok(Ok(())) => Ok(()),
            Ok(Err(_)) | Err(_) => Err(StreamClosed),
        }
    }

    /// Result of `work`, unless the entry closes the stream first.
    async fn unless_closed<T>(&self, work: impl Future<Output = T>) -> Result<T, StreamClosed> {
        match select(pin!(work), pin!(self.frames.closed())).await {
            Either::Left((done, _)) => Ok(done),
            Either::Right(_) => Err(StreamClosed),
        }
    }
}

impl GenerateRefusal {
    /// Refusal of a request whose deadline has passed.
    fn deadline_passed() -> Self {
        Self {
            reason: RefusalReason::DeadlinePassed,
            retry_after_ms: 0,
        }
    }
}

/// Final frame of a failed stream; its load is filled in by `with_current_load`.
fn failed_frame(fault: StreamFault) -> GenerateFrame {
    GenerateFrame::Failed {
        fault,
        load: crate::hosts::Load::default(),
    }
}

/// Stream fault to report for an engine error.
fn error_fault(error: &EngineError) -> StreamFault {
    match error {
        EngineError::Refused(code) => code_fault(*code),
        EngineError::NotSent(_)
        | EngineError::Unreachable(_)
        | EngineError::Status(_)
        | EngineError::Malformed(_) => StreamFault::EngineFailed,
    }
}

/// Stream fault to report for an error code of the engine.
fn code_fault(code: EngineErrorCode) -> StreamFault {
    match code {
        EngineErrorCode::NotLoaded | EngineErrorCode::BaseNotLoaded => StreamFault::NotLoaded,
        EngineErrorCode::DeadlinePassed => StreamFault::DeadlinePassed,
        EngineErrorCode::StaleOrder
        | EngineErrorCode::SourceFailed
        | EngineErrorCode::WrongContent
        | EngineErrorCode::Cancelled
        | EngineErrorCode::Other => StreamFault::EngineFailed,
    }
}
