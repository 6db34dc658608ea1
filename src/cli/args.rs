use clap::Parser;
use clap::Subcommand;

use super::BenchArgs;
use super::ConfigArgs;
use super::DemoArgs;
use super::EndpointArgs;
use super::EntryArgs;
use super::ModelArgs;
use super::SettingsArgs;
use super::StandinArgs;
use super::StatusArgs;
use super::TokenArgs;

/// Distributes model weights in bursts and routes live requests.
#[derive(Debug, Parser)]
#[command(version, arg_required_else_help = true)]
#[command(after_help = "Exit codes: 0 success, 1 the command failed, 2 wrong usage or settings.")]
pub struct Args {
    /// Subcommand to run.
    #[command(subcommand)]
    pub command: Command,
}

/// The subcommands.
#[derive(Debug, Subcommand)]
pub enum Command {
    /// Run an entry, which serves addresses, permits, routing and administration.
    Entry(EntryArgs),
    /// Run an endpoint for an engine or a plain service on the same host.
    Endpoint(EndpointArgs),
    /// Show, edit and track the configuration through an entry.
    Config(ConfigArgs),
    /// List models, and roll out a new version of a model.
    Model(ModelArgs),
    /// Show the hosts, models and configuration that an entry knows.
    Status(StatusArgs),
    /// Run a demonstration of the whole system in one process on loopback.
    Demo(DemoArgs),
    /// Run a stand-in for a platform service, an engine or a plain service.
    Standin(StandinArgs),
    /// Run a benchmark of the system on this machine.
    Bench(BenchArgs),
    /// Check settings files, or list the available keys.
    Settings(SettingsArgs),
    /// Compute digests of bearer tokens.
    Token(TokenArgs),
}
