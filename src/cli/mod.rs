//! The command line: arguments, one file per subcommand, and exit codes.

mod admin_client;
mod args;
mod bench;
mod bench_requests;
mod config;
mod demo;
mod endpoint;
mod entry;
mod errors;
mod model;
mod operator_args;
mod process;
mod settings;
mod standin;
mod status;
mod stop_signal;
mod token;

use clap::Parser;

pub use args::Args;
pub use args::Command;
pub use bench::BenchArgs;
pub use config::ConfigArgs;
pub use demo::DemoArgs;
pub use endpoint::EndpointArgs;
pub use entry::EntryArgs;
pub use errors::CliError;
pub use model::ModelArgs;
pub use operator_args::OperatorArgs;
pub use process::run_process;
pub use settings::SettingsArgs;
pub use standin::StandinArgs;
pub use standin::StandinKind;
pub use status::StatusArgs;
pub use stop_signal::wait_for_stop_signal;
pub use token::TokenArgs;

/// Parses the arguments and runs the chosen subcommand.
///
/// # Errors
///
/// [`CliError`] when the subcommand fails or its arguments or settings are invalid.
pub fn run() -> Result<(), CliError> {
    match Args::parse().command {
        Command::Config(args) => config::run(args),
        Command::Bench(args) => bench::run(args),
        Command::Entry(args) => entry::run(args),
        Command::Endpoint(args) => endpoint::run(args),
        Command::Standin(args) => standin::run(args),
        Command::Model(args) => model::run(args),
        Command::Status(args) => status::run(args),
        Command::Demo(args) => demo::run(args),
        Command::Settings(args) => settings::run(args),
        Command::Token(args) => token::run(args),
    }
}
