use std::collections::VecDeque;

use super::CallOutcome;
use super::Nonce;
use super::RefusalReason;
use super::SendHistory;
use super::SendResult;
use super::determine_outcome;

/// Whether an entry may send a call on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DispatchDecision {
    /// Send it; the dispatch is counted.
    Allowed,
    /// This entry has told "not run" for the permit; nothing may leave for it any more.
    Closed(RefusalReason),
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct PermitRecord {
    nonce: Nonce,
    dispatches: u32,
    latest_send_no: u32,
    closed: Option<RefusalReason>,
}

/// What this entry did with the permits it issued.
///
/// A permit of another entry, of an earlier process at this address, or one
/// that has been forgotten has no record and never gets one: its count cannot
/// be vouched for.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct DispatchLedger {
    // Ascending by nonce.
    records: Vec<PermitRecord>,
    // Nonces in the order they were issued; the front is forgotten first.
    issue_order: VecDeque<Nonce>,
    max_records: usize,
}

impl DispatchLedger {
    /// Empty ledger that remembers `max_records` permits.
    pub fn new(max_records: usize) -> Self {
        Self {
            records: Vec::new(),
            issue_order: VecDeque::new(),
            max_records: max_records.max(1),
        }
    }

    /// Records a permit this entry issues.
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

    /// Counts a dispatch; to be called before the first byte leaves.
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

    /// Takes back a dispatch of which no byte left.
    pub fn undo_dispatch(&mut self, nonce: Nonce) {
        if let Some(record) = self.record_mut(nonce) {
            record.dispatches = record.dispatches.saturating_sub(1);
        }
    }

    /// What is known of a send, now.
    pub fn send_history(&self, nonce: Nonce, send_no: u32) -> SendHistory {
        let record = self.position(nonce).ok().map(|at| &self.records[at]);
        SendHistory {
            send_no,
            latest_send_no: record.map_or(send_no, |record| record.latest_send_no.max(send_no)),
            dispatches: record.map(|record| record.dispatches),
        }
    }

    /// The outcome to tell now; after "not run" the permit is closed at this entry.
    pub fn finish_send(&mut self, nonce: Nonce, send_no: u32, reply: SendResult) -> CallOutcome {
        let outcome = determine_outcome(reply, self.send_history(nonce, send_no));
        if let CallOutcome::NotRun { reason, .. } = &outcome {
            self.close_permit(nonce, *reason);
        }
        outcome
    }

    /// Permits remembered.
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Whether no permit is remembered.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

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

    fn position(&self, nonce: Nonce) -> Result<usize, usize> {
        self.records
            .binary_search_by_key(&nonce, |record| record.nonce)
    }
}
