use std::sync::Mutex;
use std::sync::MutexGuard;

use crate::calls::DispatchLedger;
use crate::calls::RetryBudget;

/// Largest number of issued permits that are remembered.
const MAX_REMEMBERED_PERMITS: usize = 131_072;

/// Retries of idempotent calls per thousand calls of a branch.
const RETRY_RATIO_PERMILLE: u32 = 100;

/// Largest number of retries that a branch may make at once.
const RETRY_BURST: u32 = 10;

/// State that an entry keeps between service calls.
#[derive(Debug)]
pub struct ServiceCallState {
    ledger: Mutex<DispatchLedger>,
    retry_budget: Mutex<RetryBudget>,
}

impl ServiceCallState {
    /// State without permits or calls.
    pub fn new() -> Self {
        Self {
            ledger: Mutex::new(DispatchLedger::new(MAX_REMEMBERED_PERMITS)),
            retry_budget: Mutex::new(RetryBudget::new(RETRY_RATIO_PERMILLE, RETRY_BURST)),
        }
    }

    /// Sends and dispatches of the permits that this entry issued.
    pub(super) fn ledger(&self) -> MutexGuard<'_, DispatchLedger> {
        self.ledger.lock().expect("no holder of the ledger panics")
    }

    /// Retry budgets of the branches.
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
