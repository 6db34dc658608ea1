use std::io;
use std::time::Duration;
use std::time::Instant;

use actix_rt::time::sleep_until;
use actix_web::http::Method;
use futures_util::future::join_all;
use serde::Serialize;
use serde_json::json;

use super::requests_driver::drive;
use super::requests_fleet::Fleet;
use super::requests_fleet::RequestsPolicy;
use super::requests_overhead::OverheadResult;
use super::requests_overhead::measure_overhead;
use super::requests_result::PolicyResult;
use super::requests_result::Snapshot;
use super::requests_scenario::ENDPOINTS;
use super::requests_scenario::MEASURED_MS;
use super::requests_scenario::RequestsScenario;
use super::requests_scenario::SLOTS;
use super::requests_scenario::WARM_UP_MS;
use super::requests_scenario::arrivals;
use crate::clients::EngineState;
use crate::hosts::Load;
use crate::links::HttpClient;

/// Time between looks at the engines.
const TICK_MS: u64 = 100;

/// Time between load reports.
const REPORT_INTERVAL_MS: u64 = 1000;

/// Reports by which the load lags behind.
const REPORT_LAG: usize = 5;

/// Time between death and return of a flapping endpoint.
const FLAP_MS: u64 = 700;

/// Pace of a slow engine.
const SLOW_PERCENT: u64 = 1000;

/// Endpoint that the faults hit.
const FAULTY: usize = 3;

/// Longest time an engine has to tell its state.
const STATE_WAIT_MS: u64 = 1000;

/// A measurement of routing and fair shares.
#[derive(Debug, Clone, Copy)]
pub struct RequestsBench {
    /// What is done to the fleet.
    pub scenario: RequestsScenario,
    /// Which policies are measured.
    pub policy: RequestsPolicy,
    /// Seed of the arrivals.
    pub seed: u64,
}

/// Figures of one run.
#[derive(Debug, Serialize)]
pub struct RequestsResult {
    scenario: String,
    seed: u64,
    #[serde(skip_serializing_if = "Option::is_none")]
    product: Option<PolicyResult>,
    #[serde(skip_serializing_if = "Option::is_none")]
    baseline: Option<PolicyResult>,
    #[serde(skip_serializing_if = "Option::is_none")]
    overhead: Option<OverheadResult>,
}

impl RequestsBench {
    /// Runs the scenario.
    ///
    /// # Errors
    ///
    /// The I/O error when the fleet cannot be started.
    pub async fn run(&self) -> io::Result<RequestsResult> {
        let mut result = RequestsResult {
            scenario: self.scenario.name(),
            seed: self.seed,
            product: None,
            baseline: None,
            overhead: None,
        };
        if self.scenario == RequestsScenario::Overhead {
            result.overhead = Some(measure_overhead().await?);
            return Ok(result);
        }
        if self.policy != RequestsPolicy::Baseline {
            result.product = Some(self.run_policy(RequestsPolicy::Product).await?);
        }
        if self.policy != RequestsPolicy::Product {
            result.baseline = Some(self.run_policy(RequestsPolicy::Baseline).await?);
        }
        Ok(result)
    }

    async fn run_policy(&self, policy: RequestsPolicy) -> io::Result<PolicyResult> {
        let load_percent = self.scenario.load_percent();
        let mut result = self.run_once(policy, load_percent).await?;
        if self.scenario == RequestsScenario::BranchBurst {
            let mut quiet = load_percent;
            quiet[0] = quiet[1];
            result.quiet = Some(Box::new(self.run_once(policy, quiet).await?));
        }
        Ok(result)
    }

    async fn run_once(
        &self,
        policy: RequestsPolicy,
        load_percent: [f64; 4],
    ) -> io::Result<PolicyResult> {
        let mut fleet = Fleet::start(policy, self.scenario.cache_blocks()).await?;
        let arrivals = arrivals(load_percent, self.seed);
        let driving = drive(policy, fleet.entries.clone(), arrivals);
        let start = Instant::now();
        let driving = actix_rt::spawn(driving);
        let mut watch = Watch::default();
        let ticks = (WARM_UP_MS + MEASURED_MS) / TICK_MS;
        for tick in 0..ticks {
            let now_ms = tick * TICK_MS;
            sleep_until((start + Duration::from_millis(now_ms)).into()).await;
            watch.report(&fleet, now_ms);
            if now_ms == WARM_UP_MS {
                watch.before = Some(Snapshot::take(&fleet).await);
            }
            self.fault(&mut fleet, now_ms).await?;
            if now_ms > WARM_UP_MS {
                watch
                    .busy_samples
                    .push(busy_share(&engine_states(&fleet).await));
            }
        }
        let tallies = driving.await.expect("the driver does not panic");
        let after = Snapshot::take(&fleet).await;
        let before = watch.before.expect("the warm-up ended");
        let busy_share = watch.busy_samples.iter().sum::<f64>() / watch.busy_samples.len() as f64;
        let result = PolicyResult::new(&tallies, &before, &after, busy_share);
        fleet.stop().await;
        Ok(result)
    }

    async fn fault(&self, fleet: &mut Fleet, now_ms: u64) -> io::Result<()> {
        let since_ms = now_ms.checked_sub(WARM_UP_MS);
        match (self.scenario, since_ms) {
            (RequestsScenario::SlowEndpoint, Some(0)) => slow_down(fleet).await?,
            (RequestsScenario::KillTenth, Some(1000)) => fleet.kill(FAULTY).await,
            (RequestsScenario::Flapping, Some(since_ms)) if since_ms % FLAP_MS == 0 => {
                match fleet.members[FAULTY].handle {
                    Some(_) => fleet.kill(FAULTY).await,
                    None => fleet.restart(FAULTY)?,
                }
            }
            _ => {}
        }
        Ok(())
    }
}

/// What is watched while the load runs.
#[derive(Debug, Default)]
struct Watch {
    loads: Vec<Vec<Load>>,
    busy_samples: Vec<f64>,
    before: Option<Snapshot>,
}

impl Watch {
    /// Reports, each second, the load of some seconds ago.
    fn report(&mut self, fleet: &Fleet, now_ms: u64) {
        if !now_ms.is_multiple_of(REPORT_INTERVAL_MS) {
            return;
        }
        self.loads.push(fleet.loads());
        let at = self.loads.len().saturating_sub(REPORT_LAG + 1);
        fleet.report(&self.loads[at]);
    }
}

async fn slow_down(fleet: &Fleet) -> io::Result<()> {
    let url = format!("http://{}/fault", fleet.members[FAULTY].engine_address);
    let order = json!({"pace_percent": SLOW_PERCENT});
    HttpClient::to_platform()
        .send_json(Method::POST, &url, &order, STATE_WAIT_MS)
        .await
        .map_err(io::Error::other)
}

/// State of every engine.
pub(super) async fn engine_states(fleet: &Fleet) -> Vec<EngineState> {
    let states = fleet
        .members
        .iter()
        .map(|member| member.engine.fetch_state());
    let states = join_all(states).await;
    states.into_iter().filter_map(Result::ok).collect()
}

fn busy_share(states: &[EngineState]) -> f64 {
    let running: u32 = states.iter().map(|state| state.running).sum();
    f64::from(running) / (ENDPOINTS as f64 * f64::from(SLOTS))
}
