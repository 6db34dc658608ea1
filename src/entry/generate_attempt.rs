use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use actix_rt::time::timeout;
use actix_web::http::Method;
use actix_web::http::StatusCode;
use bytes::Bytes;
use futures_util::StreamExt;
use futures_util::stream::LocalBoxStream;

use super::generate_routing::RouteChoice;
use crate::calls::AttemptOutcome;
use crate::calls::FrameBuffer;
use crate::calls::GenerateCall;
use crate::calls::GenerateFrame;
use crate::entry::EntryState;
use crate::hosts::HostKey;
use crate::hosts::Load;

/// Number of tokens between two samples of an endpoint's token interval.
const TOKENS_PER_INTERVAL_SAMPLE: u32 = 4;

/// Why an attempt ended without a complete answer and another may follow.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum RetryReason {
    /// The endpoint accepted no connection.
    NotSent,
    /// The connection broke before the end record.
    Broken,
    /// Nothing was received on the connection for the longest allowed silence.
    Silent,
    /// The first token is late, although the request is running.
    LateFirstToken,
    /// The answer was invalid or belonged to another request.
    WrongAnswer,
    /// The endpoint's queue was full, or the branch exceeded its share.
    Refused,
    /// The endpoint is leaving or not ready.
    Leaving,
    /// The endpoint's engine failed.
    EngineFailed,
    /// The endpoint's engine crashed while it ran the request.
    EngineCrashed,
    /// The engine does not serve the requested weights.
    NotLoaded,
}

impl RetryReason {
    /// Name in metrics and log lines; part of the interface.
    pub(super) fn name(self) -> &'static str {
        match self {
            Self::NotSent => "not_sent",
            Self::Broken => "broken",
            Self::Silent => "silent",
            Self::LateFirstToken => "late_first_token",
            Self::WrongAnswer => "wrong_answer",
            Self::Refused => "refused",
            Self::Leaving => "leaving",
            Self::EngineFailed => "engine_failed",
            Self::EngineCrashed => "engine_crashed",
            Self::NotLoaded => "not_loaded",
        }
    }

    /// How the attempt is counted for its endpoint.
    pub(super) fn attempt_outcome(self) -> AttemptOutcome {
        match self {
            Self::NotSent
            | Self::Broken
            | Self::Silent
            | Self::LateFirstToken
            | Self::WrongAnswer
            | Self::EngineFailed
            | Self::EngineCrashed => AttemptOutcome::Failed,
            Self::Refused | Self::Leaving | Self::NotLoaded => AttemptOutcome::Neutral,
        }
    }
}

/// One attempt to run a request at one endpoint.
///
/// Dropping it closes its connection and records its end with the router.
pub(super) struct GenerateAttempt {
    state: Arc<EntryState>,
    pub(super) host_key: HostKey,
    started_ms: u64,
    pub(super) outcome: AttemptOutcome,
    /// Chunks of the response body; an item `None` means that the connection broke.
    chunks: LocalBoxStream<'static, Option<Bytes>>,
    frames: FrameBuffer,
    /// Number of tokens received.
    tokens: u32,
    first_token_at: Option<Instant>,
    /// When the entry learned that the request had left the endpoint's queue.
    running_since: Option<Instant>,
    /// Time from `running_since` after which the first token is late, in milliseconds.
    first_token_limit_ms: Option<u64>,
}

impl GenerateAttempt {
    /// An attempt whose start the router has already recorded.
    pub(super) fn new(state: Arc<EntryState>, choice: &RouteChoice) -> Self {
        Self {
            state,
            host_key: choice.host_key,
            started_ms: choice.started_ms,
            outcome: AttemptOutcome::Neutral,
            chunks: futures_util::stream::empty().boxed_local(),
            frames: FrameBuffer::default(),
            tokens: 0,
            first_token_at: None,
            running_since: None,
            first_token_limit_ms: None,
        }
    }

    /// Sends the call over a new or a pooled connection, and waits for the response head.
    pub(super) async fn send(
        &mut self,
        address: SocketAddr,
        call: &GenerateCall,
        use_fresh_connection: bool,
        wait: Duration,
    ) -> Result<(), RetryReason> {
        let url = format!("http://{address}/x/generate");
        let http = self.state.node.http();
        let request = match use_fresh_connection {
            true => http.request_on_new_connection(Method::POST, &url),
            false => http.request(Method::POST, &url),
        };
        let body = rmp_serde::to_vec_named(call).expect("calls have no failing fields");
        let response = match timeout(wait, request.send_body(body)).await {
            Ok(Ok(response)) => response,
            Ok(Err(awc::error::SendRequestError::Connect(_))) => return Err(RetryReason::NotSent),
            Ok(Err(_)) => return Err(RetryReason::Broken),
            Err(_) => return Err(RetryReason::Silent),
        };
        if response.status() != StatusCode::OK {
            return Err(RetryReason::WrongAnswer);
        }
        self.chunks = response.map(Result::ok).boxed_local();
        Ok(())
    }

    /// Waits for the next frame, for at most `wait` or until the first token is late.
    pub(super) async fn wait_for_frame(
        &mut self,
        wait: Duration,
    ) -> Result<GenerateFrame, RetryReason> {
        let until_late = self.time_until_late();
        let is_late_limit_nearer = until_late.is_some_and(|until_late| until_late < wait);
        let reason = match is_late_limit_nearer {
            true => RetryReason::LateFirstToken,
            false => RetryReason::Silent,
        };
        timeout(until_late.unwrap_or(wait).min(wait), self.next_frame())
            .await
            .unwrap_or(Err(reason))
    }

    /// Time until the first token is late; `None` if it is not awaited or has no limit.
    fn time_until_late(&self) -> Option<Duration> {
        if self.tokens > 0 {
            return None;
        }
        let limit = Duration::from_millis(self.first_token_limit_ms?);
        Some(limit.saturating_sub(self.running_since?.elapsed()))
    }

    /// Records that the request is running; `without_limit` if the first token may take
    /// any time.
    pub(super) fn record_start(&mut self, without_limit: bool) {
        self.running_since = Some(Instant::now());
        if !without_limit {
            self.first_token_limit_ms = self.state.routing.first_token_times().late_threshold_ms();
        }
    }

    /// Waits for the next complete frame.
    async fn next_frame(&mut self) -> Result<GenerateFrame, RetryReason> {
        loop {
            match self.frames.next_frame() {
                Ok(Some(frame)) => return Ok(frame),
                Ok(None) => {}
                Err(_) => return Err(RetryReason::WrongAnswer),
            }
            match self.chunks.next().await.flatten() {
                Some(chunk) => self.frames.push(&chunk),
                None => return Err(RetryReason::Broken),
            }
        }
    }

    /// Counts a token, and records the time to the first one and samples of the endpoint's
    /// token interval.
    pub(super) fn record_token(&mut self) {
        if self.tokens == 0
            && let Some(since) = self.running_since
        {
            let elapsed_ms = since.elapsed().as_millis() as u64;
            self.state.routing.first_token_times().record(elapsed_ms);
        }
        let first_at = *self.first_token_at.get_or_insert_with(Instant::now);
        if self.tokens > 0 && self.tokens.is_multiple_of(TOKENS_PER_INTERVAL_SAMPLE) {
            let interval_us = first_at.elapsed().as_micros() as u64 / u64::from(self.tokens);
            self.state
                .routing
                .router()
                .record_token_interval(self.host_key, interval_us);
        }
        self.tokens += 1;
    }

    /// Records the load that the endpoint reported with a frame.
    pub(super) fn record_load(&self, load: Load) {
        let now_ms = self.state.node.now_ms();
        self.state
            .routing
            .router()
            .record_load(self.host_key, load, now_ms);
    }
}

impl Drop for GenerateAttempt {
    fn drop(&mut self) {
        let now_ms = self.state.node.now_ms();
        let mut router = self.state.routing.router();
        router.record_end(self.host_key, self.started_ms, self.outcome, now_ms);
    }
}
