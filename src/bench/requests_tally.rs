use std::time::Duration;

use hdrhistogram::Histogram;
use serde::Serialize;
use serde::Serializer;
use serde::ser::SerializeMap;

use super::requests_scenario::MEASURED_MS;

/// Upper bound of the histograms; longer times are recorded as this one.
const MAX_RECORDED_US: u64 = 60_000_000;

/// Outcome of a request as its caller observed it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) enum Outcome {
    /// The complete answer arrived before the deadline.
    Done,
    /// The request was refused with this code.
    Refused(String),
    /// No complete answer arrived in time; the code names the cause.
    Failed(String),
}

/// Counts by reason, sorted by reason.
#[derive(Debug, Clone, Default)]
pub(super) struct ReasonCounts(Vec<(String, u64)>);

impl ReasonCounts {
    /// Adds `count` to the count of `reason`.
    pub(super) fn add(&mut self, reason: &str, count: u64) {
        match self
            .0
            .binary_search_by(|(known, _)| known.as_str().cmp(reason))
        {
            Ok(index) => self.0[index].1 += count,
            Err(index) => self.0.insert(index, (reason.to_owned(), count)),
        }
    }
}

impl ReasonCounts {
    /// Subtracts `count` from the count of `reason`, down to 0.
    pub(super) fn subtract(&mut self, reason: &str, count: u64) {
        if let Ok(index) = self
            .0
            .binary_search_by(|(known, _)| known.as_str().cmp(reason))
        {
            self.0[index].1 = self.0[index].1.saturating_sub(count);
        }
    }
}

impl Serialize for ReasonCounts {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        let mut map = serializer.serialize_map(Some(self.0.len()))?;
        for (reason, count) in &self.0 {
            map.serialize_entry(reason, count)?;
        }
        map.end()
    }
}

/// Counts and times of requests as their callers observed them.
#[derive(Debug, Clone)]
pub(super) struct Tally {
    offered: u64,
    done: u64,
    refused: ReasonCounts,
    failed: ReasonCounts,
    first_token_us: Histogram<u64>,
    refusal_us: Histogram<u64>,
}

impl Tally {
    /// Creates an empty tally.
    pub(super) fn new() -> Self {
        let histogram =
            || Histogram::new_with_max(MAX_RECORDED_US, 3).expect("the bounds are valid");
        Self {
            offered: 0,
            done: 0,
            refused: ReasonCounts::default(),
            failed: ReasonCounts::default(),
            first_token_us: histogram(),
            refusal_us: histogram(),
        }
    }

    /// Adds a request; times are measured from when it was due, not from when it was
    /// sent.
    pub(super) fn add(&mut self, outcome: &Outcome, first_token: Option<Duration>, took: Duration) {
        self.offered += 1;
        match outcome {
            Outcome::Done => self.done += 1,
            Outcome::Refused(reason) => {
                self.refused.add(reason, 1);
                self.refusal_us.saturating_record(took.as_micros() as u64);
            }
            Outcome::Failed(reason) => self.failed.add(reason, 1),
        }
        if let Some(first_token) = first_token {
            let first_token_us = first_token.as_micros() as u64;
            self.first_token_us.saturating_record(first_token_us);
        }
    }

    /// Adds the counts and times of `other`.
    pub(super) fn merge(&mut self, other: &Self) {
        self.offered += other.offered;
        self.done += other.done;
        for (reason, count) in &other.refused.0 {
            self.refused.add(reason, *count);
        }
        for (reason, count) in &other.failed.0 {
            self.failed.add(reason, *count);
        }
        let same_bounds = "all histograms have the same bounds";
        self.first_token_us
            .add(&other.first_token_us)
            .expect(same_bounds);
        self.refusal_us.add(&other.refusal_us).expect(same_bounds);
    }

    /// Computes rates and percentiles.
    pub(super) fn result(&self) -> TallyResult {
        let first_token_ms = |quantile| ms(self.first_token_us.value_at_quantile(quantile));
        TallyResult {
            offered: self.offered,
            done: self.done,
            refused: self.refused.clone(),
            failed: self.failed.clone(),
            goodput_per_s: self.done as f64 * 1000.0 / MEASURED_MS as f64,
            first_token_p50_ms: first_token_ms(0.50),
            first_token_p95_ms: first_token_ms(0.95),
            first_token_p99_ms: first_token_ms(0.99),
            refusal_p99_ms: ms(self.refusal_us.value_at_quantile(0.99)),
        }
    }
}

/// Converts microseconds to milliseconds.
fn ms(us: u64) -> f64 {
    us as f64 / 1000.0
}

/// Counts, rates and percentiles of a [`Tally`].
#[derive(Debug, Clone, Serialize)]
pub struct TallyResult {
    /// Number of requests sent.
    pub offered: u64,
    /// Number of complete answers that arrived before the deadline.
    pub done: u64,
    /// Number of refused requests by code.
    pub(super) refused: ReasonCounts,
    /// Number of failed requests by cause.
    pub(super) failed: ReasonCounts,
    /// Complete answers per second.
    pub goodput_per_s: f64,
    /// Median time to the first token.
    pub first_token_p50_ms: f64,
    /// 95th percentile of the time to the first token.
    pub first_token_p95_ms: f64,
    /// 99th percentile of the time to the first token.
    pub first_token_p99_ms: f64,
    /// 99th percentile of the time to a refusal.
    pub refusal_p99_ms: f64,
}
