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
use crate::entry::call_link::Connection;
use crate::entry::call_link::Heard;
use crate::entry::call_link::exchange;
use crate::node::Reporter;

/// One send of a call that may not be repeated.
pub(super) struct CallOnce<'a> {
    pub(super) state: &'a EntryState,
    pub(super) call: ServiceCall,
    pub(super) permit: Permit,
    pub(super) send_no: u32,
    pub(super) deadline: Instant,
}

impl CallOnce<'_> {
    /// Dispatches the call and tells what became of it.
    pub(super) async fn outcome(self) -> CallOutcome {
        if let Some(reason) = self.refusal() {
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
        let heard = self.send("call", &self.call.request_id, &self.call).await;
        match heard {
            Heard::Told(CallReport::Ended(outcome)) => self.conclude(SendResult::Ended(outcome)),
            Heard::Told(CallReport::NotHere(reason)) => {
                self.conclude(SendResult::DispatchUnknown(reason))
            }
            Heard::StillRunning => self.conclude(SendResult::Lost(UnknownReason::StillRunning)),
            Heard::NotSent => {
                self.state.calls.ledger().undo_dispatch(self.permit.nonce);
                self.endpoint_failed();
                self.refuse(RefusalReason::Unreachable).await
            }
            Heard::Lost(cause) => {
                self.state.node.metrics().record_retry(cause);
                let reply = self.ask(RefusalReason::Withdrawn).await;
                if reply == SendResult::Lost(UnknownReason::EndpointGone) {
                    self.endpoint_died().await;
                }
                self.conclude(reply)
            }
        }
    }

    /// Why the call is not sent on at all.
    fn refusal(&self) -> Option<RefusalReason> {
        if Instant::now() >= self.deadline {
            return Some(RefusalReason::DeadlinePassed);
        }
        let node = &self.state.node;
        if !node.is_ready() {
            return Some(RefusalReason::NotReady);
        }
        let now_ms = node.now_ms();
        let request = fingerprint(&self.call.target(), self.call.body.as_bytes());
        let standing = node.suspects().request_status(request, now_ms);
        (standing == SuspectStatus::Refused).then_some(RefusalReason::CrashSuspect)
    }

    /// Tells "not run" where this entry can vouch for it, else has the endpoint say so.
    async fn refuse(&self, reason: RefusalReason) -> CallOutcome {
        let outcome = self.conclude(SendResult::NotSent(reason));
        if !matches!(outcome, CallOutcome::Unknown { .. }) {
            return outcome;
        }
        match self.ask(reason).await {
            SendResult::Lost(_) => outcome,
            reply => self.conclude(reply),
        }
    }

    /// Asks for the nonce over a new connection, and has it refused if the call has not arrived.
    async fn ask(&self, reason: RefusalReason) -> SendResult {
        let question = PermitStatusQuery {
            request_id: Nonce::random().to_string(),
            permit: self.permit.clone(),
            reason,
        };
        let heard = self.send("nonce", &question.request_id, &question).await;
        match heard {
            Heard::Told(CallReport::Ended(outcome)) => SendResult::Ended(outcome),
            Heard::Told(CallReport::NotHere(reason)) => SendResult::QueryUnknown(reason),
            Heard::StillRunning => SendResult::Lost(UnknownReason::StillRunning),
            Heard::NotSent => SendResult::Lost(UnknownReason::EndpointGone),
            Heard::Lost(_) => SendResult::Lost(UnknownReason::EndpointLost),
        }
    }

    async fn send(&self, route: &str, request_id: &str, question: &impl serde::Serialize) -> Heard {
        let url = format!("http://{}/x/{route}", self.permit.address);
        let http = self.state.node.http();
        exchange(
            http,
            Connection::Fresh,
            &url,
            request_id,
            question,
            self.deadline,
        )
        .await
    }

    fn conclude(&self, reply: SendResult) -> CallOutcome {
        if reply == SendResult::Ended(CallOutcome::not_run(RefusalReason::Leaving)) {
            self.endpoint_leaves();
        }
        let mut ledger = self.state.calls.ledger();
        ledger.finish_send(self.permit.nonce, self.send_no, reply)
    }

    fn endpoint_leaves(&self) {
        let mut roster = self.state.node.roster();
        if let Some(key) = roster.key(&self.permit.endpoint) {
            roster.leaving(key);
        }
    }

    fn endpoint_failed(&self) {
        let node = &self.state.node;
        let now_ms = node.now_ms();
        let mut roster = node.roster();
        if let Some(key) = roster.key(&self.permit.endpoint) {
            roster.failed(key, now_ms);
        }
    }

    /// Notes that the endpoint died with the call on it, and tells the other entries.
    async fn endpoint_died(&self) {
        self.endpoint_failed();
        let node = &self.state.node;
        let now_ms = node.now_ms();
        let request = fingerprint(&self.call.target(), self.call.body.as_bytes());
        let death = CrashId {
            endpoint: self.permit.endpoint.clone(),
            incarnation: self.permit.incarnation,
            crash_no: CrashId::PROCESS_CRASH,
        };
        node.suspects().add_crash(request, death, now_ms);
        Reporter::report_now(node).await;
    }
}
