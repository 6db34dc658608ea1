use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use actix_web::http::Method;
use actix_web::http::StatusCode;
use bytes::Bytes;
use futures_util::FutureExt;
use futures_util::StreamExt;
use futures_util::future::LocalBoxFuture;
use futures_util::stream::LocalBoxStream;

use super::generate_routing::RouteChoice;
use crate::calls::AttemptOutcome;
use crate::calls::FrameBuffer;
use crate::calls::GenerateCall;
use crate::calls::GenerateFrame;
use crate::entry::EntryState;
use crate::hosts::HostKey;
use crate::hosts::Load;
use crate::links::wait_for_data;
use crate::weights::Digest;

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
    /// The endpoint reported that its engine is silent.
    EngineSilent,
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
            Self::EngineSilent => "engine_silent",
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
            | Self::EngineSilent
            | Self::LateFirstToken
            | Self::WrongAnswer
            | Self::EngineFailed
            | Self::EngineCrashed => AttemptOutcome::Failed,
            Self::Refused | Self::Leaving | Self::NotLoaded => AttemptOutcome::Neutral,
        }
    }
}

/// Chunks of a response body; an item `None` means that the connection broke.
type Chunks = LocalBoxStream<'static, Option<Bytes>>;

/// One attempt to run a request at one endpoint.
///
/// Dropping it closes its connection and records its end with the router.
pub(super) struct GenerateAttempt {
    state: Arc<EntryState>,
    pub(super) host_key: HostKey,
    /// Incarnation of the endpoint process.
    pub(super) incarnation: u64,
    /// Manifest of the version that generates the tokens.
    pub(super) manifest: Digest,
    /// Identifies the run, so that an engine that is told to cancel it leaves others alone.
    pub(super) request_id: String,
    /// Time at which it was sent, in ms.
    pub(super) started_ms: u64,
    pub(super) outcome: AttemptOutcome,
    /// Sends the call; `None` once the response head has been received.
    sending: Option<LocalBoxFuture<'static, Result<Chunks, RetryReason>>>,
    chunks: Chunks,
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
    pub(super) fn new(state: Arc<EntryState>, choice: &RouteChoice, request_id: String) -> Self {
        Self {
            state,
            host_key: choice.host_key,
            incarnation: choice.incarnation,
            manifest: choice.manifest,
            request_id,
            started_ms: choice.started_ms,
            outcome: AttemptOutcome::Neutral,
            sending: None,
            chunks: futures_util::stream::empty().boxed_local(),
            frames: FrameBuffer::default(),
            tokens: 0,
            first_token_at: None,
            running_since: None,
            first_token_limit_ms: None,
        }
    }

    /// Starts to send the call over a new or a pooled connection.
    pub(super) fn start_sending(
        &mut self,
        address: SocketAddr,
        call: &GenerateCall,
        use_fresh_connection: bool,
    ) {
        let url = format!("http://{address}/x/generate");
        let http = self.state.node.http();
        let request = match use_fresh_connection {
            true => http.request_on_new_connection(Method::POST, &url),
            false => http.request(Method::POST, &url),
        };
        let body = rmp_serde::to_vec_named(call).expect("calls have no failing fields");
        let sending = async move {
            let response = match request.send_body(body).await {
                Ok(response) => response,
                Err(awc::error::SendRequestError::Connect(_)) => return Err(RetryReason::NotSent),
                Err(_) => return Err(RetryReason::Broken),
            };
            if response.status() != StatusCode::OK {
                return Err(RetryReason::WrongAnswer);
            }
            Ok(response.map(Result::ok).boxed_local())
        };
        self.sending = Some(sending.boxed_local());
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
        wait_for_data(until_late.unwrap_or(wait).min(wait), self.next_frame())
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

    /// The first token may take any time from now on.
    pub(super) fn lift_first_token_limit(&mut self) {
        self.first_token_limit_ms = None;
    }

    /// Waits for the next complete frame; may be dropped and called again.
    async fn next_frame(&mut self) -> Result<GenerateFrame, RetryReason> {
        if let Some(sending) = &mut self.sending {
            let sent = sending.await;
            self.sending = None;
            self.chunks = sent?;
        }
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
