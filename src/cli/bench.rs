use clap::Args;
use clap::Subcommand;

use super::CliError;
use super::bench_requests;
use super::bench_requests::RequestsBenchArgs;

/// Arguments of `bench`.
#[derive(Debug, Args)]
pub struct BenchArgs {
    /// What to measure.
    #[command(subcommand)]
    pub kind: BenchKind,
}

/// A measurement.
#[derive(Debug, Subcommand)]
pub enum BenchKind {
    /// Routing and fair shares under load and faults.
    Requests(RequestsBenchArgs),
}

pub(super) fn run(args: BenchArgs) -> Result<(), CliError> {
    match args.kind {
        BenchKind::Requests(args) => bench_requests::run(&args),
    }
}
