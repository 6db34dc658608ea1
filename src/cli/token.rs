use std::io;
use std::io::Read;

use clap::Args;
use clap::Subcommand;

use super::CliError;
use crate::weights::Digest;

/// Arguments of `token`.
#[derive(Debug, Args)]
pub struct TokenArgs {
    /// What to do with a token.
    #[command(subcommand)]
    command: TokenCommand,
}

#[derive(Debug, Subcommand)]
enum TokenCommand {
    /// Print the digest of the token on standard input, for `token_digest`.
    Digest,
}

/// Runs `token`.
pub fn run(args: TokenArgs) -> Result<(), CliError> {
    match args.command {
        TokenCommand::Digest => print_digest(),
    }
}

/// The token comes by standard input, so that it shows in no process list.
fn print_digest() -> Result<(), CliError> {
    let mut token = String::new();
    io::stdin()
        .read_to_string(&mut token)
        .map_err(|error| CliError::Failed(format!("the token cannot be read: {error}")))?;
    let token = token.trim();
    if token.is_empty() {
        let reason = "standard input holds no token";
        return Err(CliError::Invalid(reason.to_owned()));
    }
    println!("{}", Digest::of_bytes(token.as_bytes()));
    Ok(())
}
