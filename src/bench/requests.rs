use std::io;
use std::time::Duration;
use std::time::Instant;

use actix_rt::time::sleep_until;
use actix_web::http::Method;
use serde::Serialize;
use serde_json::json;

use super::requests_driver::send_arrivals;
use super::requests_fleet::RequestsFleet;
use super::requests_fleet::engine_states;
use super::requests_overhead::OverheadResult;
use super::requests_overhead::measure_overhead;
use super::requests_policy::RequestsPolicy;
use super::requests_result::PolicyResult;
use super::requests_result::Snapshot;
use super::requests_scenario::ENDPOINTS;
use super::requests_scenario::MEASURED_MS;
use super::requests_scenario::RequestsScenario;
use super::requests_scenario::SLOTS;
use super::requests_scenario::WARM_UP_MS;
use super::requests_scenario::poisson_arrivals;
use crate::clients::EngineState;
use crate::hosts::Load;
use crate::links::HttpClient;

/// Interval at which the engines are sampled and faults are injected.
const SAMPLE_INTERVAL_MS: u64 = 100;

/// Interval of the load reports.
const REPORT_INTERVAL_MS: u64 = 1000;

/// Number of report intervals by which reported loads are out of date.
const LOAD_LAG_REPORTS: usize = 5;

/// Time between the crash and the restart of a flapping endpoint, and back.
const FLAP_INTERVAL_MS: u64 = 700;

/// Duration of each step of the slow engine in percent of normal.
const SLOW_PACE_PERCENT: u64 = 1000;

/// Index of the endpoint that the faults affect.
const FAULTY_ENDPOINT: usize = 3;

/// Timeout of a request to set the pace of an engine.
const ENGINE_TIMEOUT_MS: u64 = 1000;

/// Measurement of routing and fair shares under load and faults.
#[derive(Debug, Clone, Copy)]
pub struct RequestsBench {
    /// Load and fault of the run.
    pub scenario: RequestsScenario,
    /// Policies to measure.
    pub policy: RequestsPolicy,
    /// Seed of the arrivals.
    pub seed: u64,
}

/// Results of a [`RequestsBench`].
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
    /// Runs the scenario once for each policy to measure; the overhead is measured for
    /// the product only.
    ///
    /// # Errors
    ///
    /// The I/O error when the fleet cannot be started or a fault cannot be injected.
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

    /// Measures one policy; a branch burst is also run without the burst to compare.
    async fn run_policy(&self, policy: RequestsPolicy) -> io::Result<PolicyResult> {
        let load_percent = self.scenario.load_percent();
        let mut result = self.run_once(policy, load_percent).await?;
        if self.scenario == RequestsScenario::BranchBurst {
            let mut quiet_percent = load_percent;
            quiet_percent[0] = quiet_percent[1];
            result.quiet = Some(Box::new(self.run_once(policy, quiet_percent).await?));
        }
        Ok(result)
    }

    /// Starts a fleet, applies the load for warm-up and measured time, and collects the result.
    async fn run_once(
        &self,
        policy: RequestsPolicy,
        load_percent: [f64; 4],
    ) -> io::Result<PolicyResult> {
        let mut fleet = RequestsFleet::start(policy, self.scenario.cache_blocks()).await?;
        let arrivals = poisson_arrivals(load_percent, self.seed);
        let sending = send_arrivals(policy, fleet.entries.clone(), arrivals);
        let start = Instant::now();
        let sending = actix_rt::spawn(sending);
        let mut samples = RunSamples::default();
        let ticks = (WARM_UP_MS + MEASURED_MS) / SAMPLE_INTERVAL_MS;
        for tick in 0..ticks {
            let now_ms = tick * SAMPLE_INTERVAL_MS;
            sleep_until((start + Duration::from_millis(now_ms)).into()).await;
            samples.report_delayed_loads(&fleet, now_ms);
            if now_ms == WARM_UP_MS {
                samples.before = Some(Snapshot::take(&fleet).await);
            }
            self.inject_fault(&mut fleet, now_ms).await?;
            if now_ms > WARM_UP_MS {
                samples
                    .busy_samples
                    .push(busy_share(&engine_states(&fleet).await));
            }
        }
        let tallies = sending.await.expect("the driver does not panic");
        let after = Snapshot::take(&fleet).await;
        let before = samples.before.expect("the warm-up ended");
        let busy_share =
            samples.busy_samples.iter().sum::<f64>() / samples.busy_samples.len() as f64;
        let result = PolicyResult::new(&tallies, &before, &after, busy_share);
        fleet.stop().await;
        Ok(result)
    }

    /// Injects the faults that the scenario has at `now_ms` after the start of the load.
    async fn inject_fault(&self, fleet: &mut RequestsFleet, now_ms: u64) -> io::Result<()> {
        let since_ms = now_ms.checked_sub(WARM_UP_MS);
        match (self.scenario, since_ms) {
            (RequestsScenario::SlowEndpoint, Some(0)) => slow_engine(fleet).await?,
            (RequestsScenario::KillTenth, Some(1000)) => fleet.kill(FAULTY_ENDPOINT).await,
            (RequestsScenario::Flapping, Some(since_ms)) if since_ms % FLAP_INTERVAL_MS == 0 => {
                match fleet.endpoints[FAULTY_ENDPOINT].handle {
                    Some(_) => fleet.kill(FAULTY_ENDPOINT).await,
                    None => fleet.restart(FAULTY_ENDPOINT)?,
                }
            }
            _ => {}
        }
        Ok(())
    }
}

/// Samples taken while the load runs.
#[derive(Debug, Default)]
struct RunSamples {
    /// Loads of all endpoints at each report interval.
    loads: Vec<Vec<Load>>,
    /// Share of busy engine slots at each sample.
    busy_samples: Vec<f64>,
    /// Counters at the end of the warm-up.
    before: Option<Snapshot>,
}

impl RunSamples {
    /// Once per report interval, gives the entries loads that are some intervals old.
    fn report_delayed_loads(&mut self, fleet: &RequestsFleet, now_ms: u64) {
        if !now_ms.is_multiple_of(REPORT_INTERVAL_MS) {
            return;
        }
        self.loads.push(fleet.loads());
        let index = self.loads.len().saturating_sub(LOAD_LAG_REPORTS + 1);
        fleet.merge_reports(&self.loads[index]);
    }
}

/// Slows the engine of the faulty endpoint down.
async fn slow_engine(fleet: &RequestsFleet) -> io::Result<()> {
    let url = format!(
        "http://{}/fault",
        fleet.endpoints[FAULTY_ENDPOINT].engine_address
    );
    let fault = json!({"pace_percent": SLOW_PACE_PERCENT});
    HttpClient::to_platform()
        .send_json(Method::POST, &url, &fault, ENGINE_TIMEOUT_MS)
        .await
        .map_err(io::Error::other)
}

/// Share of all engine slots that are in use.
fn busy_share(states: &[EngineState]) -> f64 {
    let running: u32 = states.iter().map(|state| state.running).sum();
    f64::from(running) / (ENDPOINTS as f64 * f64::from(SLOTS))
}
