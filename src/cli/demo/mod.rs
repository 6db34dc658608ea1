//! The demonstration: every role and stand-in runs in one process on loopback.
//!
//! It distributes a model to a dozen hosts, sends generate requests and service calls,
//! kills one host while they run, and compares the answers that callers received with
//! the published weights and with the executions that the service recorded.

mod address_pool;
mod call_results;
mod callers;
mod fleet;
mod host_thread;
mod operator;
mod report;

use std::time::Duration;
use std::time::Instant;

use actix_rt::System;
use actix_rt::time::sleep;
use clap::Args;

use self::callers::Callers;
use self::fleet::Fleet;
use self::operator::Operator;
use self::report::Report;
use super::CliError;
use crate::conf::LogFormat;
use crate::observe::init_logging;

/// Time that calls are sent before a host is killed, and again after it, in milliseconds.
const CALL_PHASE_MS: u64 = 2000;

const MIB: u64 = 1024 * 1024;

/// Arguments of `demo`.
#[derive(Debug, Args)]
pub struct DemoArgs {
    /// Number of hosts that the model is distributed to.
    #[arg(long, value_name = "N", default_value_t = 12, value_parser = clap::value_parser!(u32).range(2..=64))]
    hosts: u32,
    /// Size of the model in MiB.
    #[arg(long, value_name = "MIB", default_value_t = 32, value_parser = clap::value_parser!(u64).range(1..=1024))]
    model_mib: u64,
}

/// Runs `demo`.
pub fn run(args: DemoArgs) -> Result<(), CliError> {
    init_logging(LogFormat::Text, log::LevelFilter::Error);
    let report = System::new().block_on(run_demo(&args))?;
    print!("{report}");
    report.run_checks()
}

async fn run_demo(args: &DemoArgs) -> Result<Report, CliError> {
    println!(
        "starting 3 stand-ins for the platform, 2 entries and {} hosts",
        args.hosts + 2
    );
    let mut fleet = Fleet::start(args.hosts).await?;
    let operator = Operator::new(&fleet);
    let size_bytes = args.model_mib * MIB;
    let weights_digest = operator.publish(size_bytes, args.hosts).await?;
    let started = Instant::now();
    operator.watch_burst(args.hosts).await?;
    let burst_ms = elapsed_ms(started);
    let origin_bytes = operator.fetch_origin_bytes().await?;

    println!("sending calls; one host is killed while they run");
    let callers = Callers::start(fleet.entry_urls(), weights_digest);
    sleep(Duration::from_millis(CALL_PHASE_MS)).await;
    let stopped = fleet.busiest_engine();
    fleet.kill_engine_host(&stopped).await;
    sleep(Duration::from_millis(CALL_PHASE_MS)).await;
    let results = callers.finish().await;
    let executions = fleet.executions().await?;
    let retries = fleet.count_retries();
    fleet.stop().await;
    Ok(Report {
        hosts: args.hosts,
        size_bytes,
        burst_ms,
        origin_bytes,
        stopped,
        results,
        retries,
        executions,
    })
}

fn elapsed_ms(since: Instant) -> u64 {
    u64::try_from(since.elapsed().as_millis()).unwrap_or(u64::MAX)
}
