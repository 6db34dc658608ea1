use std::sync::Arc;
use std::time::Duration;

use super::generate_attempt::GenerateAttempt;
use super::generate_attempt::RetryReason;
use super::generate_event::GenerateEvent;
use super::generate_routing::RouteChoice;
use crate::calls::AttemptOutcome;
use crate::calls::CrashId;
use crate::calls::GenerateCall;
use crate::calls::GenerateFrame;
use crate::calls::RefusalReason;
use crate::calls::StreamFault;
use crate::calls::SuspectStatus;
use crate::entry::ApiError;
use crate::entry::EntryState;
use crate::entry::ErrorCode;
use crate::hosts::HostKey;
use crate::node::Reporter;
use crate::observe::CounterKind;
use crate::observe::Event;
use crate::observe::emit_event;
use crate::weights::Digest;

/// Largest number of attempts for one request; attempts that end because the endpoint is
/// leaving may exceed it.
const MAX_ATTEMPTS: usize = 6;

/// Number of refusals for load after which the request may still be sent to another endpoint.
const MAX_REFUSALS: u32 = 1;

/// Suggested wait before a retry when no replica answered, in milliseconds.
const NO_REPLICA_RETRY_MS: u64 = 1000;

/// Action that follows from a frame or its absence.
enum RelayStep {
    /// Wait for the next frame.
    Continue,
    /// Send an event to the caller.
    Emit(GenerateEvent),
    /// Start another attempt, if one is allowed.
    Retry(RetryReason),
    /// Send the last event of a complete answer.
    Finish(GenerateEvent),
    /// End the request with an error.
    Fail(ApiError),
}

/// Answers one request of a caller from one or more attempts at endpoints.
///
/// If an attempt fails midway, the next one resumes after the last token that was sent to
/// the caller.
pub(super) struct GenerateRelay {
    state: Arc<EntryState>,
    call: GenerateCall,
    /// Deadline on the clock of the node, in milliseconds.
    deadline_at_ms: u64,
    /// Attempt in progress.
    attempt: Option<GenerateAttempt>,
    /// Hosts that are not tried again.
    tried_hosts: Vec<HostKey>,
    attempt_count: usize,
    refusal_count: u32,
    /// Error of the last endpoint that refused for load.
    last_refusal: Option<ApiError>,
    /// Whether the next attempt opens a new connection.
    use_fresh_connection: bool,
    /// Manifest of the version that generated the tokens which the caller has.
    pinned_manifest: Option<Digest>,
    /// Index of the next token to send to the caller.
    next_index: u32,
    has_ended: bool,
}

impl GenerateRelay {
    /// Starts a request and counts it for the retry budget of its branch.
    pub(super) fn new(state: Arc<EntryState>, call: GenerateCall) -> Self {
        state.routing.retry_budget().count_request(&call.branch);
        Self {
            deadline_at_ms: state.node.now_ms() + call.deadline_ms,
            attempt: None,
            tried_hosts: Vec::new(),
            attempt_count: 0,
            refusal_count: 0,
            last_refusal: None,
            use_fresh_connection: false,
            // A caller that resumes is taken to have tokens of the configured version.
            pinned_manifest: (call.resume_from > 0).then_some(call.manifest),
            next_index: call.resume_from,
            has_ended: false,
            state,
            call,
        }
    }

    /// The next event or the final error; `None` after either end of the stream.
    pub(super) async fn next_event(&mut self) -> Option<Result<GenerateEvent, ApiError>> {
        if self.has_ended {
            return None;
        }
        loop {
            match self.next_step().await {
                RelayStep::Continue => {}
                RelayStep::Emit(event) => return Some(Ok(event)),
                RelayStep::Finish(event) => {
                    self.has_ended = true;
                    let metrics = self.state.node.metrics();
                    metrics.add(CounterKind::Requests, 1, "outcome", "done");
                    self.attempt = None;
                    return Some(Ok(event));
                }
                RelayStep::Fail(error) => return Some(Err(self.finish_with_error(error))),
                RelayStep::Retry(reason) => {
                    if let Err(error) = self.prepare_retry(reason) {
                        return Some(Err(self.finish_with_error(error)));
                    }
                }
            }
        }
    }

    /// Identifier of the request.
    pub(super) fn request_id(&self) -> &str {
        &self.call.request_id
    }

    /// Ends the request, and counts and logs its error.
    fn finish_with_error(&mut self, error: ApiError) -> ApiError {
        self.has_ended = true;
        self.attempt = None;
        let code = error.code().name();
        self.state.node.metrics().record_refusal(code);
        let fields: [(&str, &dyn std::fmt::Display); 2] =
            [("request", &self.call.request_id), ("code", &code)];
        emit_event(Event::CallRefused, &fields);
        error
    }

    /// Starts an attempt if none is running, else waits for its next frame.
    async fn next_step(&mut self) -> RelayStep {
        let left_ms = self.left_ms();
        if left_ms == 0 {
            return RelayStep::Fail(deadline_error());
        }
        let wait_ms = left_ms.min(self.state.settings.silence_ms);
        let wait = Duration::from_millis(wait_ms);
        let Some(attempt) = &mut self.attempt else {
            return self.start_attempt(left_ms, wait).await;
        };
        match attempt.wait_for_frame(wait).await {
            Ok(frame) => self.handle_frame(frame),
            // A wait that the deadline cut short does not count against the endpoint.
            Err(RetryReason::Silent) if wait_ms == left_ms => RelayStep::Fail(deadline_error()),
            Err(reason) => RelayStep::Retry(reason),
        }
    }

    /// Sends the call to an endpoint that was not tried yet.
    async fn start_attempt(&mut self, left_ms: u64, wait: Duration) -> RelayStep {
        match self.suspect_status() {
            SuspectStatus::Clear => {}
            SuspectStatus::Suspect => self.call.is_suspect = true,
            SuspectStatus::Refused => {
                return RelayStep::Fail(refusal_error(RefusalReason::CrashSuspect, None));
            }
        }
        let mut choice = self.choose_endpoint();
        if choice.is_none() && self.use_fresh_connection {
            // All replicas were tried, perhaps over pooled connections that had broken
            // unnoticed, so each may be tried again over a new one.
            self.tried_hosts.clear();
            choice = self.choose_endpoint();
        }
        let Some(choice) = choice else {
            return RelayStep::Fail(self.no_replica_error());
        };
        self.tried_hosts.push(choice.host_key);
        self.attempt_count += 1;
        let mut attempt = GenerateAttempt::new(Arc::clone(&self.state), &choice);
        self.call.manifest = choice.manifest;
        self.call.resume_from = self.next_index;
        self.call.deadline_ms = left_ms;
        let sent = attempt
            .send(choice.address, &self.call, self.use_fresh_connection, wait)
            .await;
        self.attempt = Some(attempt);
        match sent {
            Ok(()) => RelayStep::Continue,
            Err(reason) => RelayStep::Retry(reason),
        }
    }

    fn choose_endpoint(&self) -> Option<RouteChoice> {
        let node = &self.state.node;
        let routing = &self.state.routing;
        routing.choose_endpoint(node, &self.call, self.pinned_manifest, &self.tried_hosts)
    }

    /// How the request is treated after the crashes during which it was running.
    fn suspect_status(&self) -> SuspectStatus {
        let now_ms = self.state.node.now_ms();
        let request = self.call.fingerprint();
        self.state.node.suspects().request_status(request, now_ms)
    }

    /// Records that the request was running when an engine crashed, and reports it to the
    /// other processes.
    fn record_crash(&self, crash_no: u32) {
        let node = &self.state.node;
        let Some(host_key) = self.attempt.as_ref().map(|attempt| attempt.host_key) else {
            return;
        };
        let Some((endpoint, incarnation)) = node
            .roster()
            .host(host_key)
            .map(|host| (host.name.clone(), host.incarnation))
        else {
            return;
        };
        let crash = CrashId {
            endpoint,
            incarnation,
            crash_no,
        };
        let now_ms = node.now_ms();
        let request = self.call.fingerprint();
        node.suspects().add_crash(request, crash, now_ms);
        let node = Arc::clone(node);
        actix_rt::spawn(async move { Reporter::send_reports(&node).await });
    }

    /// Whether an endpoint that was not tried is expected to have a free slot.
    fn has_free_slot(&self) -> bool {
        let node = &self.state.node;
        let routing = &self.state.routing;
        routing.has_free_slot(node, &self.call, self.pinned_manifest, &self.tried_hosts)
    }

    /// Action that follows from a frame of the running attempt.
    fn handle_frame(&mut self, frame: GenerateFrame) -> RelayStep {
        let attempt = self.attempt.as_mut().expect("frames come from an attempt");
        match frame {
            GenerateFrame::Started { load } => {
                attempt.record_load(load);
                // Only the first attempt has a limit on the time to the first token, so that a
                // late token moves a request to another replica at most once.
                attempt.record_start(self.attempt_count > 1);
                RelayStep::Continue
            }
            GenerateFrame::Token { index, text } if index == self.next_index => {
                attempt.record_token();
                self.next_index += 1;
                self.pinned_manifest = Some(self.call.manifest);
                RelayStep::Emit(GenerateEvent::Token { index, text })
            }
            GenerateFrame::Token { .. } => RelayStep::Retry(RetryReason::WrongAnswer),
            GenerateFrame::Beat { load } => {
                attempt.record_load(load);
                RelayStep::Emit(GenerateEvent::Beat)
            }
            GenerateFrame::End {
                request_id,
                tokens,
                manifest,
                whole,
                load,
            } => {
                attempt.record_load(load);
                let is_expected = request_id == self.call.request_id
                    && manifest == self.call.manifest
                    && tokens == self.next_index;
                if !is_expected {
                    return RelayStep::Retry(RetryReason::WrongAnswer);
                }
                attempt.outcome = AttemptOutcome::Complete;
                let request = self.call.fingerprint();
                self.state.node.suspects().clear_request(request);
                RelayStep::Finish(GenerateEvent::End {
                    request_id,
                    tokens,
                    manifest,
                    whole,
                })
            }
            GenerateFrame::Refused {
                reason,
                retry_after_ms,
                load,
            } => {
                attempt.record_load(load);
                self.handle_refusal(reason, retry_after_ms)
            }
            GenerateFrame::Failed { fault, load } => {
                attempt.record_load(load);
                match fault {
                    StreamFault::DeadlinePassed => RelayStep::Fail(deadline_error()),
                    StreamFault::EngineCrashed { crash_no } => {
                        self.record_crash(crash_no);
                        RelayStep::Retry(RetryReason::EngineCrashed)
                    }
                    StreamFault::EngineFailed => RelayStep::Retry(RetryReason::EngineFailed),
                    StreamFault::NotLoaded => RelayStep::Retry(RetryReason::NotLoaded),
                    StreamFault::WrongAnswer => RelayStep::Retry(RetryReason::WrongAnswer),
                }
            }
        }
    }

    /// Action that follows from a refusal by the endpoint.
    fn handle_refusal(&mut self, reason: RefusalReason, retry_after_ms: Option<u64>) -> RelayStep {
        let error = refusal_error(reason, retry_after_ms);
        match reason {
            RefusalReason::Leaving => RelayStep::Retry(RetryReason::Leaving),
            RefusalReason::NotReady => RelayStep::Retry(RetryReason::NotLoaded),
            RefusalReason::Overloaded | RefusalReason::OverShare
                if self.refusal_count < MAX_REFUSALS && self.has_free_slot() =>
            {
                self.refusal_count += 1;
                self.last_refusal = Some(error);
                RelayStep::Retry(RetryReason::Refused)
            }
            _ => RelayStep::Fail(error),
        }
    }

    /// Ends the attempt, and takes a retry from the budget or returns the final error.
    fn prepare_retry(&mut self, reason: RetryReason) -> Result<(), ApiError> {
        if let Some(mut attempt) = self.attempt.take() {
            attempt.outcome = reason.attempt_outcome();
            self.record_failure(attempt.host_key, reason);
        }
        self.use_fresh_connection = matches!(reason, RetryReason::Silent | RetryReason::Broken);
        // A planned stop of an endpoint must not use up the retry budget of a branch.
        let is_exempt = reason == RetryReason::Leaving;
        let is_allowed = is_exempt
            || self.attempt_count < MAX_ATTEMPTS
                && self
                    .state
                    .routing
                    .retry_budget()
                    .try_retry(&self.call.branch);
        if !is_allowed {
            return Err(self.final_error(reason));
        }
        let name = reason.name();
        self.state.node.metrics().record_retry(name);
        let fields: [(&str, &dyn std::fmt::Display); 2] =
            [("request", &self.call.request_id), ("reason", &name)];
        emit_event(Event::CallRetried, &fields);
        Ok(())
    }

    /// Records in the roster that the host of a failed attempt is unreachable or leaving.
    fn record_failure(&self, host_key: HostKey, reason: RetryReason) {
        let now_ms = self.state.node.now_ms();
        match reason {
            RetryReason::NotSent => self.state.node.roster().record_failure(host_key, now_ms),
            RetryReason::Leaving => self.state.node.roster().record_leaving(host_key),
            _ => {}
        }
    }

    /// Error for a request that may not be sent again after the given reason.
    fn final_error(&mut self, reason: RetryReason) -> ApiError {
        if let Some(refusal) = self.last_refusal.take() {
            return refusal;
        }
        if self.next_index > 0 {
            let message = format!(
                "the answer was interrupted before its end ({})",
                reason.name()
            );
            return ApiError::retryable(ErrorCode::StreamBroken, message, NO_REPLICA_RETRY_MS);
        }
        let message = format!(
            "the last attempt failed ({}) and no further one is allowed",
            reason.name()
        );
        ApiError::retryable(ErrorCode::RetryBudgetSpent, message, NO_REPLICA_RETRY_MS)
    }

    /// Error for a request that no endpoint can be chosen for.
    fn no_replica_error(&mut self) -> ApiError {
        if let Some(refusal) = self.last_refusal.take() {
            return refusal;
        }
        let message = format!("no live endpoint serves model {:?}", self.call.model);
        ApiError::retryable(ErrorCode::NoReplica, message, NO_REPLICA_RETRY_MS)
    }

    /// Time left until the deadline, in milliseconds.
    fn left_ms(&self) -> u64 {
        self.deadline_at_ms.saturating_sub(self.state.node.now_ms())
    }
}

/// Error for a request whose deadline passed before the end of the answer.
fn deadline_error() -> ApiError {
    let message = "the deadline passed before the answer was complete";
    ApiError::new(ErrorCode::DeadlinePassed, message)
}

/// Error for a request that was refused by an endpoint or by this entry.
fn refusal_error(reason: RefusalReason, retry_after_ms: Option<u64>) -> ApiError {
    let code = match reason {
        RefusalReason::Overloaded | RefusalReason::OverShare => ErrorCode::Overloaded,
        RefusalReason::Leaving => ErrorCode::Leaving,
        RefusalReason::NotReady => ErrorCode::NotReady,
        RefusalReason::DeadlinePassed => ErrorCode::DeadlinePassed,
        RefusalReason::CrashSuspect => ErrorCode::RequestBlocked,
        RefusalReason::NoEndpoint => ErrorCode::NoReplica,
        _ => ErrorCode::NotRun,
    };
    match retry_after_ms {
        Some(retry_after_ms) => ApiError::retryable(code, reason.meaning(), retry_after_ms),
        None => ApiError::new(code, reason.meaning()),
    }
}
