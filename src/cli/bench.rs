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
    /// What to measure.
    #[command(subcommand)]
    pub kind: BenchKind,
}

/// The measurements.
#[derive(Debug, Subcommand)]
pub enum BenchKind {
    /// How fast changes of the configuration are in force, and what control costs.
    Control(ControlBench),
    /// Time until all hosts serve a new version, and bytes read from the origin.
    Weights(WeightsBench),
    /// Routing and fair shares under load and faults.
    Requests(RequestsBenchArgs),
}

/// Runs a measurement; all its roles share this process.
///
/// # Errors
///
/// [`CliError::Failed`] when it cannot run or its result is not good.
pub fn run(args: BenchArgs) -> Result<(), CliError> {
    match args.kind {
        BenchKind::Control(bench) => control(&bench),
        BenchKind::Weights(bench) => weights(&bench),
        BenchKind::Requests(args) => bench_requests::run(&args),
    }
}

fn control(bench: &ControlBench) -> Result<(), CliError> {
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
    let reason = "a process lacks the last change, or an offset went back";
    Err(CliError::Failed(reason.to_owned()))
}

fn weights(bench: &WeightsBench) -> Result<(), CliError> {
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
            let reason = format!("{missing} hosts do not serve the version");
            Err(CliError::Failed(reason))
        }
    }
}
