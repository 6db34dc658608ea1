//! Decides whether a process that stops passes on a request that arrives meanwhile.
//!
//! The load pattern: clients that hold an address or a connection go on sending for seconds
//! after the signal. What is passed on and can't end before the process does costs its client
//! the whole wait, and runs for nobody; where it may run only once, its client can't even ask
//! again. Another process would have taken it at once. So only what ends in time is passed on,
//! by its deadline or by the time that such requests have taken lately.

/// Silence of a sound replica, in ms, that a run may contain besides its usual time.
const REPLICA_SILENCE_MS: u64 = 1_000;

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
    /// Whether the request is expected to end before what is under way is ended.
    pub fn can_end(&self) -> bool {
        if self.deadline_left_ms <= self.left_ms {
            return true;
        }
        let reserve_ms = if self.is_repeatable {
            0
        } else {
            REPLICA_SILENCE_MS
        };
        self.longest_run_ms
            .is_some_and(|longest_ms| longest_ms.saturating_add(reserve_ms) <= self.left_ms)
    }
}
