use std::sync::Mutex;
use std::sync::MutexGuard;

use crate::calls::DispatchLedger;
use crate::calls::RetryBudget;

/// Permits this entry remembers having issued.
const MAX_REMEMBERED_PERMITS: usize = 131_072;

/// Retries of idempotent calls for every thousand calls of a branch.
const RETRY_RATIO_PERMILLE: u32 = 100;

/// Retries of a branch that may come at once.
const RETRY_BURST: u32 = 10;

/// What an entry remembers of the calls of plain services.
#[derive(Debug)]
pub struct ServiceCallState {
    ledger: Mutex<DispatchLedger>,
    retry_budget: Mutex<RetryBudget>,
}

impl ServiceCallState {
    /// Nothing remembered yet.
    pub fn new() -> Self {
        Self {
            ledger: Mutex::new(DispatchLedger::new(MAX_REMEMBERED_PERMITS)),
            retry_budget: Mutex::new(RetryBudget::new(RETRY_RATIO_PERMILLE, RETRY_BURST)),
        }
    }

    /// Dispatches of the permits issued here.
    pub(super) fn ledger(&self) -> MutexGuard<'_, DispatchLedger> {
        self.ledger.lock().expect("no holder of the ledger panics")
    }

    /// Retries left to the branches.
    pub(super) fn retry_budget(&self) -> MutexGuard<'_, RetryBudget> {
        self.retry_budget
            .lock()
            .expect("no holder of the retry budget panics")
    }
}

impl Default for ServiceCallState {
    fn default() -> Self {
        Self::new()
    }
}
