use std::io;
use std::io::Read;

use clap::Args;
use clap::Subcommand;

use super::CliError;
use crate::weights::Digest;

/// Arguments of `token`.
#[derive(Debug, Args)]
pub struct TokenArgs {
    /// Subcommand to run.
    #[command(subcommand)]
    command: TokenCommand,
}

#[derive(Debug, Subcommand)]
enum TokenCommand {
    /// Read a token from standard input and print its digest for the setting `token_digest`.
    Digest,
}

/// Runs `token`.
///
/// # Errors
///
/// [`CliError`] when the token cannot be read or is empty.
pub fn run(args: TokenArgs) -> Result<(), CliError> {
    match args.command {
        TokenCommand::Digest => print_digest(),
    }
}

/// Prints the digest of the token on standard input.
///
/// The token is not an argument, because arguments are visible in process lists.
fn print_digest() -> Result<(), CliError> {
    let mut token = String::new();
    io::stdin()
        .read_to_string(&mut token)
        .map_err(|error| CliError::Failed(format!("the token cannot be read: {error}")))?;
    let token = token.trim();
    if token.is_empty() {
        let reason = "no token on standard input";
        return Err(CliError::Invalid(reason.to_owned()));
    }
    println!("{}", Digest::of_bytes(token.as_bytes()));
    Ok(())
}
