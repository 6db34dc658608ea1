use std::pin::pin;
use std::time::Instant;

use futures_util::future::Either;
use futures_util::future::select;

use crate::calls::CallOutcome;
use crate::calls::CallReport;
use crate::calls::CrashId;
use crate::calls::DispatchDecision;
use crate::calls::Nonce;
use crate::calls::Permit;
use crate::calls::PermitStatusQuery;
use crate::calls::RefusalReason;
use crate::calls::SendResult;
use crate::calls::ServiceCall;
use crate::calls::SuspectStatus;
use crate::calls::UnknownReason;
use crate::calls::fingerprint;
use crate::entry::EntryState;
use crate::entry::call_exchange::ConnectionKind;
use crate::entry::call_exchange::Exchange;
use crate::entry::call_exchange::ExchangeResult;
use crate::node::Reporter;

/// One send of a call that must not run twice, under its permit.
pub(super) struct NonIdempotentCall<'a> {
    pub(super) state: &'a EntryState,
    pub(super) call: ServiceCall,
    pub(super) permit: Permit,
    pub(super) send_no: u32,
    pub(super) deadline: Instant,
}

impl NonIdempotentCall<'_> {
    /// Sends the call to the endpoint of its permit and determines its outcome.
    pub(super) async fn run(self) -> CallOutcome {
        if let Some(reason) = self.refusal_reason() {
            return self.refuse(reason).await;
        }
        let dispatch = self
            .state
            .calls
            .ledger()
            .record_dispatch(self.permit.nonce, self.send_no);
        if let DispatchDecision::Closed(reason) = dispatch {
            return self.refuse(reason).await;
        }
        let mut exchange = self.start_exchange("call", &self.call.request_id, &self.call);
        match exchange.wait().await {
            ExchangeResult::Silent => self.settle_silent_call(exchange).await,
            result => self.settle_call(result).await,
        }
    }

    /// Outcome of the call after its exchange has ended.
    async fn settle_call(&self, result: ExchangeResult) -> CallOutcome {
        match result {
            ExchangeResult::Report(CallReport::Ended(outcome)) => {
                self.record_result(SendResult::Ended(outcome))
            }
            ExchangeResult::Report(CallReport::NotHere(reason)) => {
                self.record_result(SendResult::DispatchUnknown(reason))
            }
            ExchangeResult::StillRunning => {
                self.record_result(SendResult::Lost(UnknownReason::StillRunning))
            }
            ExchangeResult::NotSent => {
                self.state.calls.ledger().undo_dispatch(self.permit.nonce);
                self.mark_endpoint_failed();
                self.refuse(RefusalReason::Unreachable).await
            }
            ExchangeResult::Silent => self.settle_lost_call("silent").await,
            ExchangeResult::Lost(cause) => self.settle_lost_call(cause).await,
        }
    }

    /// Outcome of a call whose connection was lost.
    async fn settle_lost_call(&self, cause: &'static str) -> CallOutcome {
        self.state.node.metrics().record_retry(cause);
        let result = self.query_permit_status(RefusalReason::Withdrawn).await;
        self.settle_query(result).await
    }

    /// Outcome of a call whose connection is silent: that of the call or of a query over
    /// another connection, whichever comes first.
    async fn settle_silent_call(&self, mut exchange: Exchange) -> CallOutcome {
        self.state.node.metrics().record_retry("silent");
        let call = pin!(self.wait_through_silence(&mut exchange));
        let query = pin!(self.query_permit_status(RefusalReason::Withdrawn));
        match select(call, query).await {
            Either::Left((ExchangeResult::Lost(_), query)) => {
                let result = query.await;
                self.settle_query(result).await
            }
            Either::Left((result, _)) => self.settle_call(result).await,
            Either::Right((SendResult::Lost(UnknownReason::EndpointLost), call)) => {
                match call.await {
                    ExchangeResult::Lost(_) => {
                        self.record_result(SendResult::Lost(UnknownReason::EndpointLost))
                    }
                    result => self.settle_call(result).await,
                }
            }
            Either::Right((result, _)) => self.settle_query(result).await,
        }
    }

    /// Outcome of a call that the endpoint was asked for.
    async fn settle_query(&self, result: SendResult) -> CallOutcome {
        if result == SendResult::Lost(UnknownReason::EndpointGone) {
            self.record_endpoint_crash().await;
        }
        self.record_result(result)
    }

    /// Waits for the end of an exchange, as long as the endpoint process may still answer.
    async fn wait_through_silence(&self, exchange: &mut Exchange) -> ExchangeResult {
        loop {
            match exchange.wait().await {
                ExchangeResult::Silent if self.is_endpoint_replaced() => {
                    return ExchangeResult::Lost("replaced");
                }
                ExchangeResult::Silent => {}
                result => return result,
            }
        }
    }

    /// Whether the endpoint process of the permit is known to have been replaced.
    fn is_endpoint_replaced(&self) -> bool {
        let roster = self.state.node.roster();
        let host = roster
            .key(&self.permit.endpoint)
            .and_then(|key| roster.host(key));
        host.is_some_and(|host| host.incarnation > self.permit.incarnation)
    }

    /// Reason for which the call is not dispatched, if any.
    fn refusal_reason(&self) -> Option<RefusalReason> {
        if Instant::now() >= self.deadline {
            return Some(RefusalReason::DeadlinePassed);
        }
        let node = &self.state.node;
        if !node.is_ready() {
            return Some(RefusalReason::NotReady);
        }
        let target = self.call.target();
        let deadline_left = self.deadline.saturating_duration_since(Instant::now());
        if !self.state.can_end(&[&target], deadline_left, false) {
            return Some(RefusalReason::Leaving);
        }
        let now_ms = node.now_ms();
        let request = fingerprint(&target, self.call.body.as_bytes());
        let status = node.suspects().request_status(request, now_ms);
        (status == SuspectStatus::Refused).then_some(RefusalReason::CrashSuspect)
    }

    /// Refuses the call without dispatching it.
    ///
    /// Where this entry cannot rule out that another send has run, it queries the
    /// endpoint for the outcome.
    async fn refuse(&self, reason: RefusalReason) -> CallOutcome {
        let outcome = self.record_result(SendResult::NotSent(reason));
        if !matches!(outcome, CallOutcome::Unknown { .. }) {
            return outcome;
        }
        match self.query_permit_status(reason).await {
            SendResult::Lost(_) => outcome,
            result => self.record_result(result),
        }
    }

    /// Queries the endpoint for the status of the permit.
    ///
    /// If the call has not arrived there, the endpoint refuses the permit from then on.
    async fn query_permit_status(&self, reason: RefusalReason) -> SendResult {
        let query = PermitStatusQuery {
            request_id: Nonce::random().to_string(),
            permit: self.permit.clone(),
            reason,
        };
        let mut exchange = self.start_exchange("nonce", &query.request_id, &query);
        let mut result = self.wait_through_silence(&mut exchange).await;
        if matches!(result, ExchangeResult::Lost("broken")) {
            // A process that ends may still accept a connection, and then breaks it.
            let mut exchange = self.start_exchange("nonce", &query.request_id, &query);
            result = self.wait_through_silence(&mut exchange).await;
        }
        match result {
            ExchangeResult::Report(CallReport::Ended(outcome)) => SendResult::Ended(outcome),
            ExchangeResult::Report(CallReport::NotHere(reason)) => SendResult::QueryUnknown(reason),
            ExchangeResult::StillRunning => SendResult::Lost(UnknownReason::StillRunning),
            ExchangeResult::NotSent => SendResult::Lost(UnknownReason::EndpointGone),
            ExchangeResult::Lost(_) | ExchangeResult::Silent => {
                SendResult::Lost(UnknownReason::EndpointLost)
            }
        }
    }

    /// Starts to send a message to the endpoint of the permit over a new connection.
    fn start_exchange(
        &self,
        route: &str,
        request_id: &str,
        message: &impl serde::Serialize,
    ) -> Exchange {
        let url = format!("http://{}/x/{route}", self.permit.address);
        let http = self.state.node.http();
        let connection = ConnectionKind::Fresh;
        Exchange::start(http, connection, &url, request_id, message, self.deadline)
    }

    /// Records the result of the send in the ledger and returns the outcome to report.
    fn record_result(&self, result: SendResult) -> CallOutcome {
        if result == SendResult::Ended(CallOutcome::not_run(RefusalReason::Leaving)) {
            self.mark_endpoint_leaving();
        }
        let mut ledger = self.state.calls.ledger();
        ledger.finish_send(self.permit.nonce, self.send_no, result)
    }

    fn mark_endpoint_leaving(&self) {
        let mut roster = self.state.node.roster();
        if let Some(key) = roster.key(&self.permit.endpoint) {
            roster.record_leaving(key);
        }
    }

    fn mark_endpoint_failed(&self) {
        let node = &self.state.node;
        let now_ms = node.now_ms();
        let mut roster = node.roster();
        if let Some(key) = roster.key(&self.permit.endpoint) {
            roster.record_failure(key, now_ms);
        }
    }

    /// Records that the endpoint process crashed while it ran the call, and reports it to
    /// the other processes.
    async fn record_endpoint_crash(&self) {
        self.mark_endpoint_failed();
        let node = &self.state.node;
        let now_ms = node.now_ms();
        let request = fingerprint(&self.call.target(), self.call.body.as_bytes());
        let crash = CrashId {
            endpoint: self.permit.endpoint.clone(),
            incarnation: self.permit.incarnation,
            crash_no: CrashId::PROCESS_CRASH,
        };
        node.suspects().add_crash(request, crash, now_ms);
        Reporter::send_reports(node).await;
    }
}
