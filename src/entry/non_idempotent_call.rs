use std::time::Instant;

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
use crate::entry::call_exchange::ExchangeResult;
use crate::entry::call_exchange::exchange;
use crate::node::Reporter;

/// One send of a call that may not be repeated.
pub(super) struct NonIdempotentCall<'a> {
    pub(super) state: &'a EntryState,
    pub(super) call: ServiceCall,
    pub(super) permit: Permit,
    pub(super) send_no: u32,
    pub(super) deadline: Instant,
}

impl NonIdempotentCall<'_> {
    /// Dispatches the call and tells what became of it.
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
        let result = self
            .send_message("call", &self.call.request_id, &self.call)
            .await;
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
            ExchangeResult::Lost(cause) => {
                self.state.node.metrics().retried(cause);
                let result = self.query_permit_status(RefusalReason::Withdrawn).await;
                if result == SendResult::Lost(UnknownReason::EndpointGone) {
                    self.record_endpoint_crash().await;
                }
                self.record_result(result)
            }
        }
    }

    /// Why the call is not sent on at all.
    fn refusal_reason(&self) -> Option<RefusalReason> {
        if Instant::now() >= self.deadline {
            return Some(RefusalReason::DeadlinePassed);
        }
        let node = &self.state.node;
        if !node.is_ready() {
            return Some(RefusalReason::NotReady);
        }
        let now_ms = node.now_ms();
        let request = fingerprint(&self.call.target(), self.call.body.as_bytes());
        let status = node.suspects().request_status(request, now_ms);
        (status == SuspectStatus::Refused).then_some(RefusalReason::CrashSuspect)
    }

    /// Tells "not run" where this entry can vouch for it, else has the endpoint say so.
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

    /// Asks for the nonce over a new connection, and has it refused if the call has not arrived.
    async fn query_permit_status(&self, reason: RefusalReason) -> SendResult {
        let query = PermitStatusQuery {
            request_id: Nonce::random().to_string(),
            permit: self.permit.clone(),
            reason,
        };
        let result = self.send_message("nonce", &query.request_id, &query).await;
        match result {
            ExchangeResult::Report(CallReport::Ended(outcome)) => SendResult::Ended(outcome),
            ExchangeResult::Report(CallReport::NotHere(reason)) => SendResult::QueryUnknown(reason),
            ExchangeResult::StillRunning => SendResult::Lost(UnknownReason::StillRunning),
            ExchangeResult::NotSent => SendResult::Lost(UnknownReason::EndpointGone),
            ExchangeResult::Lost(_) => SendResult::Lost(UnknownReason::EndpointLost),
        }
    }

    async fn send_message(
        &self,
        route: &str,
        request_id: &str,
        message: &impl serde::Serialize,
    ) -> ExchangeResult {
        let url = format!("http://{}/x/{route}", self.permit.address);
        let http = self.state.node.http();
        exchange(
            http,
            ConnectionKind::Fresh,
            &url,
            request_id,
            message,
            self.deadline,
        )
        .await
    }

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
            roster.leaving(key);
        }
    }

    fn mark_endpoint_failed(&self) {
        let node = &self.state.node;
        let now_ms = node.now_ms();
        let mut roster = node.roster();
        if let Some(key) = roster.key(&self.permit.endpoint) {
            roster.failed(key, now_ms);
        }
    }

    /// Notes that the endpoint died with the call on it, and tells the other entries.
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
        Reporter::report_now(node).await;
    }
}
