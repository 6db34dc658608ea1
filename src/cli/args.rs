use clap::Parser;
use clap::Subcommand;

use super::BenchArgs;
use super::SettingsArgs;
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
    /// Check settings files, or list the keys they may hold.
    Settings(SettingsArgs),
    /// Run a measurement.
    Bench(BenchArgs),
    /// Work with bearer tokens.
    Token(TokenArgs),
}
