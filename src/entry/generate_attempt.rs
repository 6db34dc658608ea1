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

use super::generate_routing::Choice;
use crate::calls::AttemptOutcome;
use crate::calls::FrameBuffer;
use crate::calls::GenerateCall;
use crate::calls::GenerateFrame;
use crate::entry::EntryState;
use crate::hosts::HostKey;
use crate::hosts::Load;

/// Tokens after which the pace of an endpoint is judged.
const PACE_TOKENS: u32 = 4;

/// Why a request is sent again.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum RetryReason {
    /// The endpoint accepted no connection.
    NotSent,
    /// The connection broke before the end record.
    Broken,
    /// The connection fell silent.
    Silent,
    /// The first token is late, though the request runs.
    LateFirstToken,
    /// The answer was not that of the request.
    WrongAnswer,
    /// The endpoint's queue was full.
    Refused,
    /// The endpoint takes no new work.
    Leaving,
    /// The endpoint's engine failed.
    EngineFailed,
    /// The endpoint's engine died.
    EngineCrashed,
    /// The engine did not serve the weights after all.
    NotLoaded,
}

impl RetryReason {
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

    /// How the attempt counts for its endpoint.
    pub(super) fn ending(self) -> AttemptOutcome {
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

/// One try of a request at one endpoint; dropping it closes its connection.
pub(super) struct Attempt {
    state: Arc<EntryState>,
    pub(super) key: HostKey,
    started_ms: u64,
    pub(super) ending: AttemptOutcome,
    chunks: LocalBoxStream<'static, Option<Bytes>>,
    frames: FrameBuffer,
    tokens: u32,
    first_token_at: Option<Instant>,
    /// When the request left the endpoint's queue.
    running_since: Option<Instant>,
    /// Time the engine has for the first token.
    late_ms: Option<u64>,
}

impl Attempt {
    /// An attempt that the router has counted as started.
    pub(super) fn new(state: Arc<EntryState>, choice: &Choice) -> Self {
        Self {
            state,
            key: choice.key,
            started_ms: choice.started_ms,
            ending: AttemptOutcome::Neutral,
            chunks: futures_util::stream::empty().boxed_local(),
            frames: FrameBuffer::default(),
            tokens: 0,
            first_token_at: None,
            running_since: None,
            late_ms: None,
        }
    }

    /// Sends the call; `is_fresh` asks for a connection of its own.
    pub(super) async fn send(
        &mut self,
        address: SocketAddr,
        call: &GenerateCall,
        is_fresh: bool,
        wait: Duration,
    ) -> Result<(), RetryReason> {
        let url = format!("http://{address}/x/generate");
        let http = self.state.node.http();
        let request = match is_fresh {
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

    /// The next frame within `wait`, or earlier if the first token is late.
    pub(super) async fn next(&mut self, wait: Duration) -> Result<GenerateFrame, RetryReason> {
        let late = self.time_to_late();
        let is_shorter = late.is_some_and(|late| late < wait);
        let reason = match is_shorter {
            true => RetryReason::LateFirstToken,
            false => RetryReason::Silent,
        };
        timeout(late.unwrap_or(wait).min(wait), self.next_frame())
            .await
            .unwrap_or(Err(reason))
    }

    /// Time until the first token is late; `None` when it is not awaited.
    fn time_to_late(&self) -> Option<Duration> {
        if self.tokens > 0 {
            return None;
        }
        let late = Duration::from_millis(self.late_ms?);
        Some(late.saturating_sub(self.running_since?.elapsed()))
    }

    /// Notes that the request runs; `may_be_late` where no other replica could do better.
    pub(super) fn saw_start(&mut self, may_be_late: bool) {
        self.running_since = Some(Instant::now());
        if !may_be_late {
            self.late_ms = self.state.routing.first_tokens().late_threshold_ms();
        }
    }

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

    /// Counts a token for the endpoint's pace.
    pub(super) fn saw_token(&mut self) {
        if self.tokens == 0
            && let Some(since) = self.running_since
        {
            let taken_ms = since.elapsed().as_millis() as u64;
            self.state.routing.first_tokens().record(taken_ms);
        }
        let first_at = *self.first_token_at.get_or_insert_with(Instant::now);
        if self.tokens > 0 && self.tokens.is_multiple_of(PACE_TOKENS) {
            let interval_us = first_at.elapsed().as_micros() as u64 / u64::from(self.tokens);
            self.state
                .routing
                .router()
                .record_token_interval(self.key, interval_us);
        }
        self.tokens += 1;
    }

    /// Takes in the load that came with a frame.
    pub(super) fn saw_load(&self, load: Load) {
        let now_ms = self.state.node.now_ms();
        self.state
            .routing
            .router()
            .record_load(self.key, load, now_ms);
    }
}

impl Drop for Attempt {
    fn drop(&mut self) {
        let now_ms = self.state.node.now_ms();
        let mut router = self.state.routing.router();
        router.record_end(self.key, self.started_ms, self.ending, now_ms);
    }
}
