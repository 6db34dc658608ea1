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
    /// What to do.
    #[command(subcommand)]
    pub command: Command,
}

/// The subcommands.
#[derive(Debug, Subcommand)]
pub enum Command {
    /// Run an entry: addresses, permits, routing, administration.
    Entry(EntryArgs),
    /// Run an endpoint beside an engine or a plain service.
    Endpoint(EndpointArgs),
    /// Show, edit and follow the configuration through an entry.
    Config(ConfigArgs),
    /// Roll a model out to its next version, and watch it.
    Model(ModelArgs),
    /// Show the hosts, models and configuration as an entry sees them.
    Status(StatusArgs),
    /// Show the whole system at work, in this one process on loopback.
    Demo(DemoArgs),
    /// Run a stand-in for a service of the platform.
    Standin(StandinArgs),
    /// Measure the system on this machine.
    Bench(BenchArgs),
    /// Check settings files, or list the keys they may hold.
    Settings(SettingsArgs),
    /// Work with bearer tokens.
    Token(TokenArgs),
}
