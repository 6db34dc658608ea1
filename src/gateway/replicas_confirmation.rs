/// Age of the replicas' records that an entry reports before they were confirmed, in ms:
/// a day, so that it confirms nothing.
const UNCONFIRMED_AGE_MS: u64 = 24 * 3_600 * 1_000;

/// Time at which the store last confirmed the replicas' records.
#[derive(Debug, Default)]
pub struct ReplicasConfirmation {
    // Negative when that was before this process started.
    confirmed_ms: Option<i64>,
}

impl ReplicasConfirmation {
    /// Time since the confirmation, in ms; time since the start if there is none yet.
    pub fn age_ms(&self, now_ms: u64) -> u64 {
        age_ms(self.confirmed_ms.unwrap_or(0), now_ms)
    }

    /// The same time as other entries are told; without a confirmation, a time that
    /// confirms nothing.
    pub fn reported_age_ms(&self, now_ms: u64) -> u64 {
        self.confirmed_ms
            .map_or(UNCONFIRMED_AGE_MS, |at_ms| age_ms(at_ms, now_ms))
    }

    /// Records that the store confirmed the replicas' records `age_ms` ago.
    pub fn confirm(&mut self, age_ms: u64, now_ms: u64) {
        let age_ms = i64::try_from(age_ms).unwrap_or(i64::MAX);
        let confirmed_ms = (now_ms as i64).saturating_sub(age_ms);
        self.confirmed_ms = self.confirmed_ms.max(Some(confirmed_ms));
    }
}

/// Time since `at_ms`, in ms.
fn age_ms(at_ms: i64, now_ms: u64) -> u64 {
    u64::try_from((now_ms as i64).saturating_sub(at_ms)).unwrap_or(0)
}
