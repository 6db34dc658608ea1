/// Number of requests whose deadlines are kept.
const KEPT: usize = 64;

/// Share of these requests, as a divisor, that may state longer deadlines than is usual: a few
/// clients state none, or a time without a meaning.
const STRAYS_DIVISOR: usize = 8;

/// Deadlines that clients stated with the latest requests of a route.
#[derive(Debug, Default)]
pub struct RecentDeadlines {
    // Oldest first until it is full, then from `next_at` on.
    stated_ms: Vec<u64>,
    next_at: usize,
}

impl RecentDeadlines {
    /// Records the deadline of a request, in ms.
    pub fn record(&mut self, deadline_ms: u64) {
        if self.stated_ms.len() < KEPT {
            self.stated_ms.push(deadline_ms);
        } else {
            self.stated_ms[self.next_at] = deadline_ms;
            self.next_at = (self.next_at + 1) % KEPT;
        }
    }

    /// Longest deadline apart from those of a few strays, in ms; 0 before the first request.
    pub fn longest_usual_ms(&self) -> u64 {
        let mut ascending_ms = self.stated_ms.clone();
        ascending_ms.sort_unstable();
        let strays = (ascending_ms.len() / STRAYS_DIVISOR).max(1);
        let at = ascending_ms.len().saturating_sub(1 + strays);
        ascending_ms.get(at).copied().unwrap_or(0)
    }
}
