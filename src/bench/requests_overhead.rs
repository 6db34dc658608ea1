use std::io;
use std::net::SocketAddr;
use std::time::Instant;

use actix_web::http::Method;
use futures_util::StreamExt;
use futures_util::stream;
use hdrhistogram::Histogram;
use serde::Serialize;
use serde_json::json;

use super::requests_driver::BenchRequest;
use super::requests_driver::Driver;
use super::requests_driver::Tallies;
use super::requests_fleet::RequestsFleet;
use super::requests_policy::RequestsPolicy;
use super::requests_scenario::BRANCHES;
use super::requests_scenario::TOKENS;
use super::requests_tally::Outcome;
use super::requests_threads::cpu_ns;
use crate::links::HttpClient;

/// Number of requests of each measurement.
const REQUESTS: usize = 600;

/// Number of requests between two load reports.
const BATCH_REQUESTS: usize = 100;

/// Upper bound of the histograms; longer times are recorded as this one.
const MAX_RECORDED_US: u64 = 60_000_000;

/// Number of requests in flight.
const CONCURRENCY: usize = 4;

/// Duration of the engines' steps in percent of normal; short steps make the
/// overhead of the path a larger part of the total.
const FAST_PACE_PERCENT: u64 = 10;

/// Timeout of the request that sets the pace of an engine.
const FAULT_TIMEOUT_MS: u64 = 1000;

/// Latency and CPU time that entry and endpoint add to a direct call of the engine.
#[derive(Debug, Serialize)]
pub struct OverheadResult {
    /// Number of requests of each of the two measurements.
    requests: usize,
    /// Number of requests in flight.
    concurrency: usize,
    /// Number of failed or refused requests of both measurements.
    failed: usize,
    /// Median time to the first token of a direct call.
    direct_first_token_p50_ms: f64,
    /// 99th percentile of the time to the first token of a direct call.
    direct_first_token_p99_ms: f64,
    /// Median time to the first token through entry and endpoint.
    path_first_token_p50_ms: f64,
    /// 99th percentile of the time to the first token through entry and endpoint.
    path_first_token_p99_ms: f64,
    /// Difference of the medians.
    added_p50_ms: f64,
    /// Difference of the 99th percentiles.
    added_p99_ms: f64,
    /// CPU time of the entries per request.
    entry_cpu_us_per_request: f64,
    /// CPU time of the endpoints per request.
    endpoint_cpu_us_per_request: f64,
    /// Requests per second that one core of CPU time of the entries sustains.
    requests_per_s_per_entry_core: f64,
}

/// Measures direct calls of the engines, then calls through entries and endpoints.
pub(super) async fn measure_overhead() -> io::Result<OverheadResult> {
    let fleet = RequestsFleet::start(RequestsPolicy::Product, 0).await?;
    for endpoint in &fleet.endpoints {
        let url = format!("http://{}/fault", endpoint.engine_address);
        let fault = json!({"pace_percent": FAST_PACE_PERCENT});
        let http = HttpClient::to_platform();
        let set = http.send_json::<()>(Method::POST, &url, &fault, FAULT_TIMEOUT_MS);
        set.await.map_err(io::Error::other)?;
    }
    let driver = Driver::new(
        RequestsPolicy::Product,
        fleet.entries.clone(),
        Tallies::default(),
    );
    let engines: Vec<SocketAddr> = fleet
        .endpoints
        .iter()
        .map(|endpoint| endpoint.engine_address)
        .collect();
    let direct = measure_calls(&fleet, &driver, Some(&engines)).await;
    let entry_ns = cpu_ns(&fleet.entry_threads());
    let endpoint_ns = cpu_ns(&fleet.endpoint_threads());
    let path = measure_calls(&fleet, &driver, None).await;
    let per_request = |ns: u64| ns as f64 / 1000.0 / REQUESTS as f64;
    let entry_us = per_request(cpu_ns(&fleet.entry_threads()) - entry_ns);
    let endpoint_us = per_request(cpu_ns(&fleet.endpoint_threads()) - endpoint_ns);
    fleet.stop().await;
    let ms = |times: &CallTimes, quantile| {
        times.first_token_us.value_at_quantile(quantile) as f64 / 1000.0
    };
    Ok(OverheadResult {
        requests: REQUESTS,
        concurrency: CONCURRENCY,
        failed: direct.failed + path.failed,
        direct_first_token_p50_ms: ms(&direct, 0.50),
        direct_first_token_p99_ms: ms(&direct, 0.99),
        path_first_token_p50_ms: ms(&path, 0.50),
        path_first_token_p99_ms: ms(&path, 0.99),
        added_p50_ms: ms(&path, 0.50) - ms(&direct, 0.50),
        added_p99_ms: ms(&path, 0.99) - ms(&direct, 0.99),
        entry_cpu_us_per_request: entry_us,
        endpoint_cpu_us_per_request: endpoint_us,
        requests_per_s_per_entry_core: 1e6 / entry_us,
    })
}

/// Times to the first token and number of failed calls of one measurement.
struct CallTimes {
    first_token_us: Histogram<u64>,
    failed: usize,
}

/// Sends all requests, to `engines` when given and to the entries otherwise.
async fn measure_calls(
    fleet: &RequestsFleet,
    driver: &Driver,
    engines: Option<&[SocketAddr]>,
) -> CallTimes {
    let mut times = CallTimes {
        first_token_us: Histogram::new_with_max(MAX_RECORDED_US, 3).expect("the bounds are valid"),
        failed: 0,
    };
    for first in (0..REQUESTS).step_by(BATCH_REQUESTS) {
        // Entries drop endpoints that do not report.
        fleet.merge_reports(&fleet.loads());
        let calls =
            (first..first + BATCH_REQUESTS).map(|number| time_request(driver, engines, number));
        let answers = stream::iter(calls).buffer_unordered(CONCURRENCY);
        let answers: Vec<(Outcome, Option<u64>)> = answers.collect().await;
        for (outcome, first_token_us) in answers {
            times.failed += usize::from(outcome != Outcome::Done);
            if let Some(first_token_us) = first_token_us {
                times.first_token_us.saturating_record(first_token_us);
            }
        }
    }
    times
}

/// Sends one request to an engine, or to an entry when `engines` is `None`; returns
/// the outcome and the time to the first token in microseconds.
async fn time_request(
    driver: &Driver,
    engines: Option<&[SocketAddr]>,
    number: usize,
) -> (Outcome, Option<u64>) {
    let start = Instant::now();
    let prompt = format!("question {number}");
    let request = BenchRequest {
        branch: BRANCHES[number % BRANCHES.len()],
        prompt: &prompt,
        tokens: TOKENS,
        number,
    };
    let result = match engines {
        Some(engines) => {
            let engine = engines[number % engines.len()];
            driver.send_to_engine(engine, &request).await
        }
        None => driver.send_to_entry(number, &request).await,
    };
    let first_token_us = result
        .first_token_at
        .map(|at| (at - start).as_micros() as u64);
    (result.outcome, first_token_us)
}
