use std::process;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;

use actix_rt::time::Instant;
use actix_rt::time::sleep_until;
use actix_rt::time::timeout;
use tokio::sync::oneshot;

use super::batch::Slot;
use super::state::Engine;
use crate::clients::EngineErrorCode;
use crate::clients::GenerateOrder;
use crate::clients::LoadedWeights;
use crate::clients::StreamEvent;
use crate::weights::Digest;

/// Interval of heartbeat events while no token is due.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(500);

/// Part of the time to the first token that remains when the whole prompt is cached, in percent.
const UNCACHED_PERCENT: u64 = 10;

/// Marker in a prompt that aborts the process if `may_crash` is set.
const CRASH_MARKER: &str = "[[crash]]";

/// Deterministic text of token `index`, which tests recompute to check an answer.
///
/// `whole` is the digest of the complete weights.
pub fn token_text(whole: &Digest, prompt: &str, seed: u64, index: u32) -> String {
    let text = format!("{whole}{prompt}{seed}{index}");
    Digest::of_bytes(text.as_bytes()).to_string()[..8].to_owned()
}

/// The token stream of one request; dropping it frees its decode slot.
#[derive(Debug)]
pub(super) struct Generation {
    engine: Arc<Engine>,
    order: GenerateOrder,
    weights: LoadedWeights,
    granted: oneshot::Receiver<Slot>,
    slot: Option<Slot>,
    cancelled: Arc<AtomicBool>,
    deadline: Instant,
    next_token_at: Instant,
    next_index: u32,
    ended: bool,
}

impl Generation {
    pub(super) fn new(engine: Arc<Engine>, order: GenerateOrder, weights: LoadedWeights) -> Self {
        let now = Instant::now();
        Self {
            granted: engine.batch.request_slot(order.priority),
            slot: None,
            cancelled: engine.open_stream(&order.request_id),
            deadline: now + Duration::from_millis(order.deadline_ms),
            next_token_at: now,
            next_index: order.resume_from,
            ended: false,
            engine,
            order,
            weights,
        }
    }

    /// Waits for the next event of the stream; `None` after the final event.
    pub(super) async fn next(&mut self) -> Option<StreamEvent> {
        if self.ended {
            return None;
        }
        if self.cancelled.load(Ordering::Relaxed) {
            return Some(self.error_event(EngineErrorCode::Cancelled));
        }
        if Instant::now() >= self.deadline {
            return Some(self.error_event(EngineErrorCode::DeadlinePassed));
        }
        if self.slot.is_none() && !self.wait_for_slot().await {
            return Some(StreamEvent::Beat);
        }
        if self.next_index >= self.order.max_tokens {
            return Some(self.end_event());
        }
        let heartbeat_at = Instant::now() + HEARTBEAT_INTERVAL;
        sleep_until(self.next_token_at.min(heartbeat_at)).await;
        if self.next_token_at > heartbeat_at {
            return Some(StreamEvent::Beat);
        }
        Some(self.next_token())
    }

    /// Waits at most one heartbeat interval for a slot; returns whether it was granted.
    async fn wait_for_slot(&mut self) -> bool {
        let Ok(Ok(slot)) = timeout(HEARTBEAT_INTERVAL, &mut self.granted).await else {
            return false;
        };
        if self.engine.options.may_crash && self.order.prompt.contains(CRASH_MARKER) {
            process::abort();
        }
        self.slot = Some(slot);
        let hit_percent = self
            .engine
            .cache_prompt(self.weights.manifest, &self.order.prompt);
        let miss_percent = (100 - hit_percent).max(UNCACHED_PERCENT);
        let first_token_us = self.engine.options.first_token_ms * 10 * miss_percent;
        self.next_token_at = Instant::now() + self.scale_to_pace(first_token_us);
        true
    }

    /// Returns the token that is due and schedules the following one.
    fn next_token(&mut self) -> StreamEvent {
        let index = self.next_index;
        self.next_index += 1;
        self.next_token_at += self.token_interval();
        StreamEvent::Token {
            index,
            text: token_text(
                &self.weights.whole,
                &self.order.prompt,
                self.order.seed,
                index,
            ),
        }
    }

    /// Time of one decode step; it grows with the number of streams in the batch.
    fn token_interval(&self) -> Duration {
        let options = &self.engine.options;
        let other_streams = u64::from(self.engine.batch.running().saturating_sub(1));
        let slots = u64::from(self.engine.batch.slots());
        let slowdown_us =
            options.token_ms * 10 * options.batch_slowdown_percent * other_streams / slots;
        self.scale_to_pace(options.token_ms * 1000 + slowdown_us)
    }

    /// Scales a step by the injected pace, in percent of the normal time.
    fn scale_to_pace(&self, step_us: u64) -> Duration {
        let pace_percent = self.engine.pace_percent.load(Ordering::Relaxed);
        Duration::from_micros(step_us * pace_percent / 100)
    }

    /// Ends the stream and returns its final event.
    fn end_event(&mut self) -> StreamEvent {
        self.ended = true;
        self.slot = None;
        StreamEvent::End {
            request_id: self.order.request_id.clone(),
            tokens: self.next_index,
            manifest: self.weights.manifest,
            whole: self.weights.whole,
        }
    }

    /// Ends the stream with an error event.
    fn error_event(&mut self, code: EngineErrorCode) -> StreamEvent {
        self.ended = true;
        self.slot = None;
        StreamEvent::Error {
            code,
            message: format!("the stream stopped at token {}", self.next_index),
        }
    }
}

impl Drop for Generation {
    fn drop(&mut self) {
        self.engine.close_stream(&self.cancelled);
    }
}
