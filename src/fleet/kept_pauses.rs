use crate::fleet::incarnation::Incarnation;

/// Most pauses kept; more than replicas that pause leave at a time.
const MAX_PAUSES: usize = 1_024;

/// Time for which a replica wants nothing from this process.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(super) struct ReplicaPause {
    /// Time at which it ends.
    pub(super) until_ms: u64,
    /// When the request was sent whose answer said so.
    pub(super) sent_ms: u64,
    /// Whether the first request after it has not been answered yet.
    pub(super) awaits_probe: bool,
}

/// Pauses of replicas that are no longer in the table, as a record may be removed and come back
/// before the pause of its replica has ended.
#[derive(Debug, Default)]
pub(super) struct KeptPauses {
    // In the order in which the replicas left the table.
    pauses: Vec<(Incarnation, ReplicaPause)>,
}

impl KeptPauses {
    /// Keeps the pause of an incarnation that leaves the table, unless it has ended. Those that
    /// have ended are dropped, and the one that left first if there are too many.
    pub(super) fn keep(&mut self, incarnation: Incarnation, pause: ReplicaPause, now_ms: u64) {
        self.pauses.retain(|kept| kept.1.until_ms > now_ms);
        if pause.until_ms <= now_ms {
            return;
        }
        if self.pauses.len() >= MAX_PAUSES {
            self.pauses.remove(0);
        }
        self.pauses.push((incarnation, pause));
    }

    /// Removes and returns the pause of an incarnation that is back in the table.
    pub(super) fn take(&mut self, incarnation: &Incarnation) -> Option<ReplicaPause> {
        let at = self.pauses.iter().position(|kept| kept.0 == *incarnation)?;
        Some(self.pauses.swap_remove(at).1)
    }
}
