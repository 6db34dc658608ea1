use clap::Args;

use super::CliError;
use crate::bench::RequestsBench;
use crate::bench::RequestsPolicy;
use crate::bench::RequestsScenario;

/// Arguments of `bench requests`.
#[derive(Debug, Args)]
pub struct RequestsBenchArgs {
    /// What is done to the fleet and by whom.
    #[arg(long)]
    pub scenario: RequestsScenario,
    /// Which policies to measure.
    #[arg(long, default_value = "both")]
    pub policy: RequestsPolicy,
    /// Seed of the arrivals.
    #[arg(long, default_value_t = 1)]
    pub seed: u64,
    /// Print one JSON object on one line.
    #[arg(long)]
    pub json: bool,
}

/// Runs the measurement and prints its figures.
pub(super) fn run(args: &RequestsBenchArgs) -> Result<(), CliError> {
    let bench = RequestsBench {
        scenario: args.scenario,
        policy: args.policy,
        seed: args.seed,
    };
    let result = actix_rt::System::new()
        .block_on(bench.run())
        .map_err(|error| CliError::Failed(format!("the bench cannot start: {error}")))?;
    let text = match args.json {
        true => serde_json::to_string(&result),
        false => serde_json::to_string_pretty(&result),
    };
    let text = text.map_err(|error| CliError::Failed(error.to_string()))?;
    println!("{text}");
    Ok(())
}
