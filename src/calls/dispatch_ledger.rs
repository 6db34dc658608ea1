use std::collections::VecDeque;

use super::CallOutcome;
use super::Nonce;
use super::PermitHistory;
use super::RefusalReason;
use super::SendResult;
use super::determine_outcome;

/// Whether an entry may dispatch a call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DispatchDecision {
    /// It may; the dispatch has been counted.
    Allowed,
    /// It must not, because this entry has reported "not run" for the permit.
    Closed(RefusalReason),
}

/// Sends and dispatches of one permit.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct PermitRecord {
    nonce: Nonce,
    dispatches: u32,
    latest_send_no: u32,
    // Reason that was reported with "not run", which closed the permit.
    closed: Option<RefusalReason>,
}

/// Sends and dispatches of the permits that this entry process issued.
///
/// A permit that another entry or an earlier process of this entry issued, or
/// that was forgotten, has no record and never gets one: the number of its
/// dispatches is not known here.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct DispatchLedger {
    // Ascending by nonce.
    records: Vec<PermitRecord>,
    // Nonces in the order in which they were issued; the front is forgotten first.
    issue_order: VecDeque<Nonce>,
    max_records: usize,
}

impl DispatchLedger {
    /// Empty ledger for at most `max_records` permits.
    pub fn new(max_records: usize) -> Self {
        Self {
            records: Vec::new(),
            issue_order: VecDeque::new(),
            max_records: max_records.max(1),
        }
    }

    /// Adds a permit that this entry issues.
    pub fn record_permit(&mut self, nonce: Nonce) {
        let Err(at) = self.position(nonce) else {
            return;
        };
        let record = PermitRecord {
            nonce,
            dispatches: 0,
            latest_send_no: 0,
            closed: None,
        };
        self.records.insert(at, record);
        self.issue_order.push_back(nonce);
        if self.issue_order.len() > self.max_records {
            self.forget_oldest();
        }
    }

    /// Counts a dispatch if the permit allows one; called before the first byte is sent.
    pub fn record_dispatch(&mut self, nonce: Nonce, send_no: u32) -> DispatchDecision {
        let Some(record) = self.record_mut(nonce) else {
            return DispatchDecision::Allowed;
        };
        record.latest_send_no = record.latest_send_no.max(send_no);
        if let Some(reason) = record.closed {
            return DispatchDecision::Closed(reason);
        }
        record.dispatches += 1;
        DispatchDecision::Allowed
    }

    /// Subtracts a dispatch of which no byte was sent from the count.
    pub fn undo_dispatch(&mut self, nonce: Nonce) {
        if let Some(record) = self.record_mut(nonce) {
            record.dispatches = record.dispatches.saturating_sub(1);
        }
    }

    /// Sends and dispatches known now, for the send with the given number.
    pub fn permit_history(&self, nonce: Nonce, send_no: u32) -> PermitHistory {
        let record = self.position(nonce).ok().map(|at| &self.records[at]);
        PermitHistory {
            send_no,
            latest_send_no: record.map_or(send_no, |record| record.latest_send_no.max(send_no)),
            dispatches: record.map(|record| record.dispatches),
        }
    }

    /// Determines the outcome of a send; "not run" closes the permit to further dispatches.
    pub fn finish_send(&mut self, nonce: Nonce, send_no: u32, result: SendResult) -> CallOutcome {
        let outcome = determine_outcome(result, self.permit_history(nonce, send_no));
        if let CallOutcome::NotRun { reason, .. } = &outcome {
            self.close_permit(nonce, *reason);
        }
        outcome
    }

    /// Number of permits remembered.
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Whether no permit is remembered.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// Closes a permit to further dispatches; the first reason stays.
    fn close_permit(&mut self, nonce: Nonce, reason: RefusalReason) {
        if let Some(record) = self.record_mut(nonce) {
            record.closed.get_or_insert(reason);
        }
    }

    fn forget_oldest(&mut self) {
        let oldest = self.issue_order.pop_front();
        if let Some(Ok(at)) = oldest.map(|nonce| self.position(nonce)) {
            self.records.remove(at);
        }
    }

    fn record_mut(&mut self, nonce: Nonce) -> Option<&mut PermitRecord> {
        let at = self.position(nonce).ok()?;
        self.records.get_mut(at)
    }

    /// Index of a nonce, or the index at which it belongs.
    fn position(&self, nonce: Nonce) -> Result<usize, usize> {
        self.records
            .binary_search_by_key(&nonce, |record| record.nonce)
    }
}
