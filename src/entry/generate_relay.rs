use std::pin::pin;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use futures_util::future::Either;
use futures_util::future::select;

use super::generate_attempt::GenerateAttempt;
use super::generate_attempt::RetryReason;
use super::generate_event::GenerateEvent;
use super::generate_routing::RouteChoice;
use crate::calls::AttemptOutcome;
use crate::calls::CrashId;
use crate::calls::GenerateCall;
use crate::calls::GenerateFrame;
use crate::calls::RefusalReason;
use crate::calls::RunCauses;
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
    /// Start another attempt beside the one that is silent or late, if one is allowed.
    Hedge(RetryReason),
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
/// the caller. One that is silent or late is kept until another one has sent a token, as
/// there may be no other endpoint.
pub(super) struct GenerateRelay {
    state: Arc<EntryState>,
    call: GenerateCall,
    /// What may be the cause if it crashes an engine.
    causes: RunCauses,
    /// Deadline on the clock of the node, in milliseconds.
    deadline_at_ms: u64,
    /// Attempt in progress.
    attempt: Option<GenerateAttempt>,
    /// Silent or late attempts that go on beside the one in progress.
    set_aside: Vec<GenerateAttempt>,
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
    /// Index of the first token that the caller asked for.
    first_index: u32,
    /// Index of the next token to send to the caller.
    next_index: u32,
    has_ended: bool,
    started: Instant,
}

impl GenerateRelay {
    /// Starts a request and counts it for the retry budget of its branch.
    pub(super) fn new(state: Arc<EntryState>, call: GenerateCall) -> Self {
        state.routing.retry_budget().count_request(&call.branch);
        Self {
            deadline_at_ms: state.node.now_ms() + call.deadline_ms,
            attempt: None,
            set_aside: Vec::new(),
            tried_hosts: Vec::new(),
            attempt_count: 0,
            refusal_count: 0,
            last_refusal: None,
            use_fresh_connection: false,
            // A caller that resumes is taken to have tokens of the configured version.
            pinned_manifest: (call.resume_from > 0).then_some(call.manifest),
            first_index: call.resume_from,
            next_index: call.resume_from,
            has_ended: false,
            started: Instant::now(),
            causes: call.causes(),
            state,
            call,
        }
    }

    /// The next event or the final error; `None` after either end of the stream.
    pub(super) async fn next_event(&mut self) -> Option<Result<GenerateEvent, ApiError>> {
        if self.has_ended {
            return None;
        }
        let state = Arc::clone(&self.state);
        let mut drain_end = pin!(state.drain_end.reached());
        loop {
            let step = match select(pin!(self.next_step()), drain_end.as_mut()).await {
                Either::Left((step, _)) => Some(step),
                Either::Right(_) => None,
            };
            match step.unwrap_or_else(|| RelayStep::Fail(self.drain_error())) {
                RelayStep::Continue => {}
                RelayStep::Emit(event) => return Some(Ok(event)),
                RelayStep::Hedge(reason) => self.start_hedge(reason),
                RelayStep::Finish(event) => {
                    self.has_ended = true;
                    let kinds = self.kinds();
                    let kinds = [kinds[0].as_str(), kinds[1].as_str()];
                    self.state.record_run(&kinds, self.started.elapsed());
                    let metrics = self.state.node.metrics();
                    metrics.add(CounterKind::Requests, 1, "outcome", "done");
                    self.attempt = None;
                    self.set_aside.clear();
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

    /// Refuses the request, before anything of it was sent, if it can't end before this entry
    /// stops.
    pub(super) fn check_stop(&mut self) -> Result<(), ApiError> {
        let kinds = self.kinds();
        let kinds = [kinds[0].as_str(), kinds[1].as_str()];
        let deadline_left = Duration::from_millis(self.left_ms());
        match self.state.can_end(&kinds, deadline_left, true) {
            true => Ok(()),
            false => {
                let error = self.drain_error();
                Err(self.finish_with_error(error))
            }
        }
    }

    /// Kinds of requests that take about as long: those of the model for about as many tokens,
    /// and all those of the model.
    fn kinds(&self) -> [String; 2] {
        let tokens = self.call.max_tokens.saturating_sub(self.first_index);
        let size = tokens.checked_next_power_of_two().unwrap_or(u32::MAX);
        let model = &self.call.model;
        [format!("model {model} {size}"), format!("model {model}")]
    }

    /// Identifier of the request.
    pub(super) fn request_id(&self) -> &str {
        &self.call.request_id
    }

    /// Ends the request, and counts and logs its error.
    fn finish_with_error(&mut self, error: ApiError) -> ApiError {
        self.has_ended = true;
        self.attempt = None;
        self.set_aside.clear();
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
        let wait_ms = left_ms.min(self.state.settings.silence_ms);
        let wait = Duration::from_millis(wait_ms);
        let Some(attempt) = &mut self.attempt else {
            return match left_ms {
                0 => RelayStep::Fail(deadline_error()),
                _ => self.start_attempt(left_ms),
            };
        };
        // Past the deadline, frames that have arrived are still sent to the caller.
        match attempt.wait_for_frame(wait).await {
            Ok(frame) => self.handle_frame(frame),
            // A wait that the deadline cut short does not count against the endpoint.
            Err(RetryReason::Silent) if wait_ms == left_ms => RelayStep::Fail(deadline_error()),
            Err(RetryReason::Silent) if self.is_process_gone() => {
                RelayStep::Retry(RetryReason::Broken)
            }
            Err(reason @ (RetryReason::Silent | RetryReason::LateFirstToken)) => {
                RelayStep::Hedge(reason)
            }
            Err(reason) => RelayStep::Retry(reason),
        }
    }

    /// Sends the call to an endpoint that was not tried yet.
    fn start_attempt(&mut self, left_ms: u64) -> RelayStep {
        match self.state.node.run_status(&self.causes) {
            SuspectStatus::Clear => {}
            SuspectStatus::Suspect => self.call.is_suspect = true,
            SuspectStatus::Refused => {
                return RelayStep::Fail(refusal_error(RefusalReason::CrashSuspect, None));
            }
        }
        let mut choice = self.choose_endpoint();
        if choice.is_none() && self.use_fresh_connection && self.set_aside.is_empty() {
            // All replicas were tried, perhaps over pooled connections that had broken
            // unnoticed, so each may be tried again over a new one.
            self.tried_hosts.clear();
            choice = self.choose_endpoint();
        }
        let Some(choice) = choice else {
            return match self.resume_set_aside() {
                true => RelayStep::Continue,
                false => RelayStep::Fail(self.no_replica_error()),
            };
        };
        self.tried_hosts.push(choice.host_key);
        self.attempt_count += 1;
        self.call.manifest = choice.manifest;
        self.call.resume_from = self.next_index;
        self.call.deadline_ms = left_ms;
        let call = GenerateCall {
            request_id: match self.attempt_count {
                1 => self.call.request_id.clone(),
                number => format!("{}-{number}", self.call.request_id),
            },
            ..self.call.clone()
        };
        let state = Arc::clone(&self.state);
        let mut attempt = GenerateAttempt::new(state, &choice, call.request_id.clone());
        attempt.start_sending(choice.address, &call, self.use_fresh_connection);
        self.attempt = Some(attempt);
        RelayStep::Continue
    }

    /// Sets the silent or late attempt aside, so that another one starts, if an endpoint is
    /// left and a retry is allowed; else it goes on as the only one.
    fn start_hedge(&mut self, reason: RetryReason) {
        let is_other_left = self.has_untried_endpoint();
        let is_connection_lost = reason == RetryReason::Silent && self.is_process_heard();
        let Some(mut attempt) = self.attempt.take() else {
            return;
        };
        attempt.lift_first_token_limit();
        if !(is_other_left || is_connection_lost) || !self.take_retry(reason) {
            self.attempt = Some(attempt);
            return;
        }
        if !is_other_left {
            self.tried_hosts.retain(|tried| *tried != attempt.host_key);
        }
        self.use_fresh_connection = reason == RetryReason::Silent;
        let now_ms = self.state.node.now_ms();
        let mut router = self.state.routing.router();
        router.record_failure(attempt.host_key, now_ms);
        drop(router);
        self.set_aside.push(attempt);
    }

    /// Goes on with an attempt that was set aside; false if there is none.
    fn resume_set_aside(&mut self) -> bool {
        self.attempt = self.set_aside.pop();
        self.attempt.is_some()
    }

    /// Whether the endpoint process of the running attempt was replaced or removed.
    fn is_process_gone(&self) -> bool {
        let Some(attempt) = &self.attempt else {
            return false;
        };
        let roster = self.state.node.roster();
        let host = roster.host(attempt.host_key);
        host.is_none_or(|host| host.incarnation != attempt.incarnation)
    }

    /// Whether the endpoint of the running attempt has sent heartbeats while its connection
    /// was silent, so that a new connection may help.
    fn is_process_heard(&self) -> bool {
        let Some(attempt) = &self.attempt else {
            return false;
        };
        let now_ms = self.state.node.now_ms();
        let roster = self.state.node.roster();
        let silent_ms = roster
            .host(attempt.host_key)
            .and_then(|host| host.silent_ms(now_ms));
        silent_ms.is_some_and(|silent_ms| silent_ms <= self.state.settings.silence_ms / 2)
    }

    /// Whether an endpoint that was not tried serves the call.
    fn has_untried_endpoint(&self) -> bool {
        let node = &self.state.node;
        let routing = &self.state.routing;
        routing.has_untried_endpoint(node, &self.call, self.pinned_manifest, &self.tried_hosts)
    }

    fn choose_endpoint(&self) -> Option<RouteChoice> {
        let node = &self.state.node;
        let routing = &self.state.routing;
        routing.choose_endpoint(node, &self.call, self.pinned_manifest, &self.tried_hosts)
    }

    /// Records that the request was running when an engine crashed, and reports it to the
    /// other processes.
    fn record_crash(&self, crash_no: u32) {
        let node = &self.state.node;
        let attempt = self.attempt.as_ref();
        let Some((host_key, sent_ms)) =
            attempt.map(|attempt| (attempt.host_key, attempt.started_ms))
        else {
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
        node.record_crashed_run(&self.causes, &crash, sent_ms);
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
                self.pinned_manifest = Some(attempt.manifest);
                self.set_aside.clear();
                self.last_refusal = None;
                RelayStep::Emit(GenerateEvent::Token { index, text })
            }
            GenerateFrame::Token { .. } => RelayStep::Retry(RetryReason::WrongAnswer),
            GenerateFrame::Beat { load } => {
                attempt.record_load(load);
                RelayStep::Emit(GenerateEvent::Beat)
            }
            GenerateFrame::Stalled { load } => {
                attempt.record_load(load);
                RelayStep::Hedge(RetryReason::EngineSilent)
            }
            GenerateFrame::End {
                request_id,
                tokens,
                manifest,
                whole,
                load,
            } => {
                attempt.record_load(load);
                let is_expected = request_id == attempt.request_id
                    && manifest == attempt.manifest
                    && tokens == self.next_index;
                if !is_expected {
                    return RelayStep::Retry(RetryReason::WrongAnswer);
                }
                attempt.outcome = AttemptOutcome::Complete;
                self.state.node.record_completed_run(&self.causes);
                RelayStep::Finish(GenerateEvent::End {
                    request_id: self.call.request_id.clone(),
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
            // An attempt that was set aside goes on.
            _ if !self.set_aside.is_empty() => RelayStep::Retry(RetryReason::Refused),
            _ => RelayStep::Fail(error),
        }
    }

    /// Ends the attempt, and takes a retry from the budget, goes on with an attempt that was
    /// set aside, or returns the final error.
    fn prepare_retry(&mut self, reason: RetryReason) -> Result<(), ApiError> {
        if let Some(mut attempt) = self.attempt.take() {
            attempt.outcome = reason.attempt_outcome();
            self.record_failure(attempt.host_key, reason);
        }
        self.use_fresh_connection = matches!(reason, RetryReason::Silent | RetryReason::Broken);
        let is_other_left = self.has_untried_endpoint();
        if !self.set_aside.is_empty() && (!is_other_left || reason == RetryReason::Refused) {
            self.resume_set_aside();
            return Ok(());
        }
        // A retry that no endpoint is left for must not use up the budget.
        if !is_other_left && !self.use_fresh_connection {
            return Err(self.no_replica_error());
        }
        if self.take_retry(reason) || self.resume_set_aside() {
            return Ok(());
        }
        Err(self.final_error(reason))
    }

    /// Takes a retry from the budget of the branch; false if no further attempt is allowed.
    fn take_retry(&self, reason: RetryReason) -> bool {
        // A planned stop of an endpoint must not use up the retry budget of a branch.
        let is_exempt = reason == RetryReason::Leaving;
        let routing = &self.state.routing;
        let is_allowed = is_exempt
            || self.attempt_count < MAX_ATTEMPTS
                && routing.retry_budget().try_retry(&self.call.branch);
        if !is_allowed {
            return false;
        }
        let name = reason.name();
        self.state.node.metrics().record_retry(name);
        let fields: [(&str, &dyn std::fmt::Display); 2] =
            [("request", &self.call.request_id), ("reason", &name)];
        emit_event(Event::CallRetried, &fields);
        true
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
        if self.next_index > self.first_index {
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
        if self.next_index > self.first_index {
            return ApiError::retryable(ErrorCode::StreamBroken, message, NO_REPLICA_RETRY_MS);
        }
        ApiError::retryable(ErrorCode::NoReplica, message, NO_REPLICA_RETRY_MS)
    }

    /// Error for a request that lasts longer than the drain of this entry.
    fn drain_error(&self) -> ApiError {
        let message = "the entry stops before the answer is complete";
        let code = match self.next_index > self.first_index {
            true => ErrorCode::StreamBroken,
            false => ErrorCode::Leaving,
        };
        ApiError::retryable(code, message, 0)
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
