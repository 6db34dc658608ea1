//! The demonstration: every role and stand-in in one process on loopback.
//!
//! A model is brought to a dozen hosts, calls of both kinds are sent, one host
//! is stopped without notice in the middle of them, and what callers saw is
//! compared with what the engines and the service did.

mod callers;
mod fleet;
mod machine;
mod operator;
mod places;
mod report;
mod tally;

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

/// Time that calls are sent before and again after a host is stopped.
const CALLS_MS: u64 = 2000;

const MIB: u64 = 1024 * 1024;

/// Arguments of `demo`.
#[derive(Debug, Args)]
pub struct DemoArgs {
    /// Hosts that get the model.
    #[arg(long, value_name = "N", default_value_t = 12, value_parser = clap::value_parser!(u32).range(2..=64))]
    hosts: u32,
    /// Size of the model.
    #[arg(long, value_name = "MIB", default_value_t = 32, value_parser = clap::value_parser!(u64).range(1..=1024))]
    model_mib: u64,
}

/// Runs `demo`.
pub fn run(args: DemoArgs) -> Result<(), CliError> {
    init_logging(LogFormat::Text, log::LevelFilter::Error);
    let report = System::new().block_on(play(&args))?;
    print!("{report}");
    report.verdict()
}

async fn play(args: &DemoArgs) -> Result<Report, CliError> {
    println!(
        "starting 3 stand-ins of the platform, 2 entries and {} hosts",
        args.hosts + 2
    );
    let mut fleet = Fleet::start(args.hosts).await?;
    let operator = Operator::new(&fleet);
    let size_bytes = args.model_mib * MIB;
    let whole = operator.publish(size_bytes, args.hosts).await?;
    let started = Instant::now();
    operator.watch_burst(args.hosts).await?;
    let burst_ms = elapsed_ms(started);
    let origin_bytes = operator.origin_bytes().await?;

    println!("sending calls; one host stops without notice in the middle");
    let callers = Callers::start(fleet.entry_urls(), whole);
    sleep(Duration::from_millis(CALLS_MS)).await;
    let stopped = fleet.busiest();
    fleet.kill(&stopped).await;
    sleep(Duration::from_millis(CALLS_MS)).await;
    let tally = callers.finish().await;
    let executions = fleet.executions().await?;
    let retries = fleet.retries();
    fleet.stop().await;
    Ok(Report {
        hosts: args.hosts,
        size_bytes,
        burst_ms,
        origin_bytes,
        stopped,
        tally,
        retries,
        executions,
    })
}

fn elapsed_ms(since: Instant) -> u64 {
    u64::try_from(since.elapsed().as_millis()).unwrap_or(u64::MAX)
}
