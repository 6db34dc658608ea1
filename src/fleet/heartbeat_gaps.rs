//! Liveness of a process by its heartbeats.
//!
//! Load pattern: in a large fleet most heartbeats go to other regions, over narrow links
//! that also carry requests. So they are sent less often there, and the time after which a
//! silent process counts as failed follows from the gaps that were seen.

/// Receivers in other regions for each beat by which heartbeats to them are spaced out.
const REMOTE_RECEIVERS_PER_BEAT: usize = 32;

/// Largest number of beats of which one is sent to other regions.
const MAX_REMOTE_BEATS: u64 = 4;

/// Number of the latest gaps that are kept: more than the heartbeats that follow each other
/// at once after an update.
const KEPT_GAPS: usize = 4;

/// Number of beats of which one goes to `receivers` in other regions.
pub fn remote_beats(receivers: usize) -> u64 {
    let beats = receivers.div_ceil(REMOTE_RECEIVERS_PER_BEAT) as u64;
    beats.clamp(1, MAX_REMOTE_BEATS)
}

/// The times between the latest heartbeats of a process.
#[derive(Debug, Clone)]
pub struct HeartbeatGaps {
    last_received_ms: u64,
    gaps_ms: [u64; KEPT_GAPS],
    next_at: usize,
}

impl HeartbeatGaps {
    /// Gaps of a process whose first heartbeat was received at `now_ms`; until more are
    /// known, `longest_ms` is assumed.
    pub fn new(now_ms: u64, longest_ms: u64) -> Self {
        Self {
            last_received_ms: now_ms,
            gaps_ms: [longest_ms; KEPT_GAPS],
            next_at: 0,
        }
    }

    /// Records a heartbeat. A gap of more than `longest_ms` is an outage and counts as that.
    pub fn record(&mut self, now_ms: u64, longest_ms: u64) {
        let gap_ms = now_ms.saturating_sub(self.last_received_ms);
        self.gaps_ms[self.next_at] = gap_ms.min(longest_ms);
        self.next_at = (self.next_at + 1) % KEPT_GAPS;
        self.last_received_ms = now_ms;
    }

    /// Time since the last heartbeat, in ms.
    pub fn silent_ms(&self, now_ms: u64) -> u64 {
        now_ms.saturating_sub(self.last_received_ms)
    }

    /// Monotonic time of the last heartbeat, in ms.
    pub fn last_received_ms(&self) -> u64 {
        self.last_received_ms
    }

    /// Whether the process has been silent for less than `missed` of its longest recent
    /// gaps, or for less than `shortest_ms`.
    pub fn is_live(&self, now_ms: u64, missed: f64, shortest_ms: u64) -> bool {
        let gap_ms = self.gaps_ms.iter().copied().max().unwrap_or(0);
        let timeout_ms = ((gap_ms as f64 * missed) as u64).max(shortest_ms);
        self.silent_ms(now_ms) < timeout_ms
    }
}
