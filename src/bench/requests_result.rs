use std::collections::BTreeMap;
use std::sync::atomic::Ordering;

use serde::Serialize;

use super::requests::engine_states;
use super::requests_fleet::RequestsFleet;
use super::requests_scenario::BRANCHES;
use super::requests_scenario::capacity_per_s;
use super::requests_tally::ReasonCounts;
use super::requests_tally::Tally;
use super::requests_tally::TallyResult;
use crate::clients::EngineState;

/// Name of the counter of retries in the metrics.
const RETRIES: &str = "bergamotfork_retries_total{";

/// Counters at one time.
#[derive(Debug)]
pub(super) struct Snapshot {
    received: usize,
    /// Retries by reason, sorted.
    retried: Vec<(String, u64)>,
    engines: Vec<EngineState>,
}

impl Snapshot {
    pub(super) async fn take(fleet: &RequestsFleet) -> Self {
        Self {
            received: fleet.received.load(Ordering::Relaxed),
            retried: fleet
                .metrics()
                .iter()
                .flat_map(|it| parse_retries(it))
                .collect(),
            engines: engine_states(fleet).await,
        }
    }
}

/// Retries by reason in a metrics text.
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

/// Figures of one policy.
#[derive(Debug, Serialize)]
pub struct PolicyResult {
    capacity_per_s: f64,
    #[serde(flatten)]
    all: TallyResult,
    sent: usize,
    retried: ReasonCounts,
    busy_share: f64,
    cache_hit_share: f64,
    max_load_over_mean: f64,
    branches: BTreeMap<&'static str, TallyResult>,
    /// The same fleet without the burst.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub(super) quiet: Option<Box<PolicyResult>>,
}

impl PolicyResult {
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
