/// Number of buckets of a window; the counts of a bucket expire together.
const BUCKETS: usize = 10;

/// Budget for retries of requests, shared by all entries.
///
/// Within any window, all entries together may retry `retry_ratio` of the requests
/// plus `extra_retries`. Each entry may spend the ratio of its own requests and an
/// equal share of the extra retries.
#[derive(Debug)]
pub struct SharedRetryBudget {
    retry_ratio: f64,
    extra_retries: f64,
    bucket_ms: u64,
    // Number of the bucket, requests and retries.
    buckets: [(u64, u32, u32); BUCKETS],
    // Largest number of entries within the last window, and when it was observed.
    max_entry_count: u32,
    max_entry_count_ms: u64,
}

impl SharedRetryBudget {
    /// Budget with the given limits for each window of `window_ms`.
    pub fn new(retry_ratio: f64, extra_retries: f64, window_ms: u64) -> Self {
        Self {
            retry_ratio,
            extra_retries,
            bucket_ms: (window_ms / BUCKETS as u64).max(1),
            buckets: [(0, 0, 0); BUCKETS],
            max_entry_count: 1,
            max_entry_count_ms: 0,
        }
    }

    /// Changes the limits; requests and retries already counted stay.
    pub fn set_limits(&mut self, retry_ratio: f64, extra_retries: f64) {
        self.retry_ratio = retry_ratio;
        self.extra_retries = extra_retries;
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

    /// Whether one more retry is within the budget.
    pub fn can_retry(&self, now_ms: u64) -> bool {
        let newest = now_ms / self.bucket_ms + 1;
        let oldest = (newest + 1).saturating_sub(BUCKETS as u64);
        let current_buckets = self.buckets.iter().filter(|bucket| bucket.0 >= oldest);
        let (requests, retries) =
            current_buckets.fold((0, 0), |sum, bucket| (sum.0 + bucket.1, sum.1 + bucket.2));
        let allowed = self.retry_ratio * f64::from(requests)
            + self.extra_retries / f64::from(self.max_entry_count);
        f64::from(retries) + 1.0 <= allowed
    }

    /// Takes one retry out of the budget; returns false when the budget is spent.
    pub fn try_retry(&mut self, now_ms: u64) -> bool {
        if !self.can_retry(now_ms) {
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
