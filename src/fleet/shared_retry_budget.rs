/// Buckets of a window, by which old counts expire.
const BUCKETS: usize = 10;

/// Budget for resending requests, shared by all entries.
///
/// Within any window, all entries together may resend `resend_ratio` of the requests
/// plus `extra_resends`. Each entry may spend the ratio of its own requests and an
/// equal share of the extra resends.
#[derive(Debug)]
pub struct SharedRetryBudget {
    resend_ratio: f64,
    extra_resends: f64,
    bucket_ms: u64,
    // Number of the bucket, requests and resends.
    buckets: [(u64, u32, u32); BUCKETS],
    // Largest number of entries within the last window, and when it was observed.
    max_entry_count: u32,
    max_entry_count_ms: u64,
}

impl SharedRetryBudget {
    /// Budget with the given limits for each window of `window_ms`.
    pub fn new(resend_ratio: f64, extra_resends: f64, window_ms: u64) -> Self {
        Self {
            resend_ratio,
            extra_resends,
            bucket_ms: (window_ms / BUCKETS as u64).max(1),
            buckets: [(0, 0, 0); BUCKETS],
            max_entry_count: 1,
            max_entry_count_ms: 0,
        }
    }

    /// Changes the limits; requests and resends already counted stay.
    pub fn set_limits(&mut self, resend_ratio: f64, extra_resends: f64) {
        self.resend_ratio = resend_ratio;
        self.extra_resends = extra_resends;
    }

    /// Updates the number of entries that share the budget. The largest number within
    /// a window counts, since entries that failed may have spent their share.
    pub fn set_entry_count(&mut self, entry_count: u32, now_ms: u64) {
        let window_ms = self.bucket_ms * BUCKETS as u64;
        if entry_count >= self.max_entry_count || now_ms >= self.max_entry_count_ms + window_ms {
            self.max_entry_count = entry_count.max(1);
            self.max_entry_count_ms = now_ms;
        }
    }

    /// Counts the first send of a request.
    pub fn record_request(&mut self, now_ms: u64) {
        self.bucket(now_ms).1 += 1;
    }

    /// Whether one more resend is within the budget.
    pub fn can_resend(&self, now_ms: u64) -> bool {
        let newest = now_ms / self.bucket_ms + 1;
        let oldest = (newest + 1).saturating_sub(BUCKETS as u64);
        let current_buckets = self.buckets.iter().filter(|bucket| bucket.0 >= oldest);
        let (requests, resends) =
            current_buckets.fold((0, 0), |sum, bucket| (sum.0 + bucket.1, sum.1 + bucket.2));
        let allowed = self.resend_ratio * f64::from(requests)
            + self.extra_resends / f64::from(self.max_entry_count);
        f64::from(resends) + 1.0 <= allowed
    }

    /// Takes one resend out of the budget; returns false when the budget is spent.
    pub fn try_resend(&mut self, now_ms: u64) -> bool {
        if !self.can_resend(now_ms) {
            return false;
        }
        self.bucket(now_ms).2 += 1;
        true
    }

    /// Bucket of `now_ms`, emptied when it last counted an earlier window.
    fn bucket(&mut self, now_ms: u64) -> &mut (u64, u32, u32) {
        let number = now_ms / self.bucket_ms + 1;
        let bucket = &mut self.buckets[(number % BUCKETS as u64) as usize];
        if bucket.0 != number {
            *bucket = (number, 0, 0);
        }
        bucket
    }
}
