use clap::Args;
use clap::Subcommand;

use super::CliError;
use super::bench_requests;
use super::bench_requests::RequestsBenchArgs;
use crate::bench::ControlBench;
use crate::bench::WeightsBench;
use crate::bench::plot_weights;

/// Arguments of `bench`.
#[derive(Debug, Args)]
pub struct BenchArgs {
    /// Benchmark to run.
    #[command(subcommand)]
    pub kind: BenchKind,
}

/// The benchmarks.
#[derive(Debug, Subcommand)]
pub enum BenchKind {
    /// Measure how fast configuration changes take effect, and the cost of control traffic.
    Control(ControlBench),
    /// Measure the time until all hosts serve a new version, and the bytes read from the origin.
    Weights(WeightsBench),
    /// Measure routing and fair shares under load and faults.
    Requests(RequestsBenchArgs),
}

/// Runs a benchmark; all its roles run in this process.
///
/// # Errors
///
/// [`CliError::Failed`] when it cannot run or its result violates a requirement.
pub fn run(args: BenchArgs) -> Result<(), CliError> {
    match args.kind {
        BenchKind::Control(bench) => run_control(&bench),
        BenchKind::Weights(bench) => run_weights(&bench),
        BenchKind::Requests(args) => bench_requests::run(&args),
    }
}

fn run_control(bench: &ControlBench) -> Result<(), CliError> {
    let result = actix_rt::System::new()
        .block_on(bench.run())
        .map_err(|error| CliError::Failed(error.to_string()))?;
    if bench.json {
        println!("{}", serde_json::json!(result));
    } else {
        println!("{result}");
    }
    if result.is_successful() {
        return Ok(());
    }
    let reason = "a process did not receive the last change, or an offset decreased";
    Err(CliError::Failed(reason.to_owned()))
}

fn run_weights(bench: &WeightsBench) -> Result<(), CliError> {
    let result = actix_rt::System::new()
        .block_on(bench.run())
        .map_err(|error| CliError::Failed(error.to_string()))?;
    if bench.json {
        println!("{}", serde_json::json!(result));
    } else {
        println!("{result}");
    }
    if let Some(path) = &bench.plot {
        plot_weights(&result, path).map_err(|error| CliError::Failed(error.to_string()))?;
    }
    match result.missing_hosts {
        0 => Ok(()),
        missing => {
            let reason = format!("{missing} hosts do not serve the new version");
            Err(CliError::Failed(reason))
        }
    }
}
