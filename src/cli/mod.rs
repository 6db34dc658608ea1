//! The command line: arguments, one file per subcommand, and exit codes.

mod args;
mod errors;

use clap::Parser;

pub use args::Args;
pub use errors::CliError;

/// Parses the arguments and runs the chosen subcommand.
///
/// # Errors
///
/// Returns [`CliError`] when the subcommand fails or its settings are invalid.
pub fn run() -> Result<(), CliError> {
    let _args = Args::parse();
    Ok(())
}
