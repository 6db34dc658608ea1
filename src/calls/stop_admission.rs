//! Decides whether a process that stops passes on a request that arrives meanwhile.
//!
//! The load pattern: clients that hold an address or a connection go on sending for seconds
//! after the signal. What is passed on and can't end before the process does costs its client
//! the whole wait, and runs for nobody; where it may run only once, its client can't even ask
//! again. Another process would have taken it at once. So only what ends in time is passed on:
//! by its deadline, or where it may run again, by the time that such requests have taken lately.

/// Time by which a run may exceed those before: a share of the longest, and at least this, in ms.
const RESERVE_SHARE: u64 = 8;
const MIN_RESERVE_MS: u64 = 50;

/// What is known of a request that has arrived at a process that stops.
#[derive(Debug, Clone, Copy)]
pub struct StopAdmission {
    /// Time until the process ends what is under way, in ms.
    pub left_ms: u64,
    /// Time until the request gets its final answer in any case, in ms.
    pub deadline_left_ms: u64,
    /// Longest time that one of the latest such requests took, in ms; None if that is not
    /// known.
    pub longest_run_ms: Option<u64>,
    /// Whether the request may run more than once, so that its client can ask again.
    pub is_repeatable: bool,
}

impl StopAdmission {
    /// Whether the request ends before what is under way is ended: for certain where it may run
    /// only once.
    pub fn can_end(&self) -> bool {
        let is_expected_to_end = || {
            let longest_run_ms = self.longest_run_ms.filter(|_| self.is_repeatable);
            longest_run_ms.is_some_and(|longest_ms| {
                let reserve_ms = MIN_RESERVE_MS + longest_ms / RESERVE_SHARE;
                longest_ms.saturating_add(reserve_ms) <= self.left_ms
            })
        };
        self.left_ms > 0 && (self.deadline_left_ms <= self.left_ms || is_expected_to_end())
    }
}
