use std::collections::BTreeMap;
use std::sync::atomic::Ordering;

use serde::Serialize;

use super::requests_fleet::RequestsFleet;
use super::requests_fleet::engine_states;
use super::requests_scenario::BRANCHES;
use super::requests_scenario::capacity_per_s;
use super::requests_tally::ReasonCounts;
use super::requests_tally::Tally;
use super::requests_tally::TallyResult;
use crate::clients::EngineState;

/// Start of a metrics line that holds a counter of retries.
const RETRIES: &str = "bergamotfork_retries_total{";

/// Counters of the fleet at one time.
#[derive(Debug)]
pub(super) struct Snapshot {
    /// Number of calls that reached endpoints.
    received: usize,
    /// Number of retries by reason, with an item for each entry and reason.
    retried: Vec<(String, u64)>,
    engines: Vec<EngineState>,
}

impl Snapshot {
    /// Reads the counters of `fleet`.
    pub(super) async fn take(fleet: &RequestsFleet) -> Self {
        Self {
            received: fleet.received.load(Ordering::Relaxed),
            retried: fleet
                .metrics()
                .iter()
                .flat_map(|metrics| parse_retries(metrics))
                .collect(),
            engines: engine_states(fleet).await,
        }
    }
}

/// Reads the number of retries by reason from metrics in text format.
fn parse_retries(text: &str) -> Vec<(String, u64)> {
    let lines = text.lines().filter_map(|line| line.strip_prefix(RETRIES));
    lines
        .filter_map(|line| {
            let (labels, count) = line.split_once('}')?;
            let (_, rest) = labels.split_once("reason=\"")?;
            let (reason, _) = rest.split_once('"')?;
            let count: f64 = count.trim().parse().ok()?;
            Some((reason.to_owned(), count as u64))
        })
        .collect()
}

/// Result of one policy.
#[derive(Debug, Serialize)]
pub struct PolicyResult {
    /// Requests that the fleet can finish per second.
    capacity_per_s: f64,
    #[serde(flatten)]
    /// Totals of all branches.
    all: TallyResult,
    /// Number of calls that reached endpoints.
    sent: usize,
    /// Number of retries by the entries.
    retried: ReasonCounts,
    /// Mean share of engine slots in use.
    busy_share: f64,
    /// Share of prompt blocks that the engines found in their caches.
    cache_hit_share: f64,
    /// Requests started by the busiest engine, relative to the mean.
    max_load_over_mean: f64,
    branches: BTreeMap<&'static str, TallyResult>,
    /// Result of the same fleet without the burst.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub(super) quiet: Option<Box<PolicyResult>>,
}

impl PolicyResult {
    /// Computes the result from the tallies and the counters at the end of the warm-up
    /// and at the end of the run.
    pub(super) fn new(
        tallies: &[Tally],
        before: &Snapshot,
        after: &Snapshot,
        busy_share: f64,
    ) -> Self {
        let mut all = Tally::new();
        for tally in tallies {
            all.merge(tally);
        }
        let mut retried = ReasonCounts::default();
        for (reason, count) in &after.retried {
            retried.add(reason, *count);
        }
        for (reason, count) in &before.retried {
            retried.subtract(reason, *count);
        }
        let branches = BRANCHES.into_iter().zip(tallies);
        let counts = |count: fn(&EngineState) -> u64| counter_increases(before, after, count);
        let hits: u64 = counts(|state| state.hit_blocks).iter().sum();
        let blocks: u64 = counts(|state| state.prompt_blocks).iter().sum();
        let started = counts(|state| state.started);
        let mean = started.iter().sum::<u64>() as f64 / started.len() as f64;
        let most = started.iter().copied().max().unwrap_or(0);
        Self {
            capacity_per_s: capacity_per_s(),
            all: all.result(),
            sent: after.received - before.received,
            retried,
            busy_share,
            cache_hit_share: hits as f64 / blocks.max(1) as f64,
            max_load_over_mean: most as f64 / mean.max(1.0),
            branches: branches
                .map(|(name, tally)| (name, tally.result()))
                .collect(),
            quiet: None,
        }
    }
}

/// Increase of a counter of each engine between two snapshots.
fn counter_increases(
    before: &Snapshot,
    after: &Snapshot,
    count: fn(&EngineState) -> u64,
) -> Vec<u64> {
    let pairs = before.engines.iter().zip(&after.engines);
    pairs
        .map(|(before, after)| count(after).saturating_sub(count(before)))
        .collect()
}
