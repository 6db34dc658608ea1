use clap::Args;

use super::CliError;
use crate::bench::RequestsBench;
use crate::bench::RequestsPolicy;
use crate::bench::RequestsScenario;

/// Arguments of `bench requests`.
#[derive(Debug, Args)]
pub struct RequestsBenchArgs {
    /// Load and fault that the fleet is exposed to.
    #[arg(long)]
    pub scenario: RequestsScenario,
    /// Routing policies to measure.
    #[arg(long, default_value = "both")]
    pub policy: RequestsPolicy,
    /// Seed of the request arrivals.
    #[arg(long, default_value_t = 1)]
    pub seed: u64,
    /// Print the result as JSON on one line.
    #[arg(long)]
    pub json: bool,
}

/// Runs the benchmark and prints its result.
pub(super) fn run(args: &RequestsBenchArgs) -> Result<(), CliError> {
    let bench = RequestsBench {
        scenario: args.scenario,
        policy: args.policy,
        seed: args.seed,
    };
    let result = actix_rt::System::new()
        .block_on(bench.run())
        .map_err(|error| CliError::Failed(format!("the benchmark cannot start: {error}")))?;
    let text = match args.json {
        true => serde_json::to_string(&result),
        false => serde_json::to_string_pretty(&result),
    };
    let text = text.map_err(|error| CliError::Failed(error.to_string()))?;
    println!("{text}");
    Ok(())
}
