use std::env;
use std::fs;
use std::path::PathBuf;

use clap::Args;

use super::CliError;

/// Environment variable that holds the token when no file is given.
const TOKEN_VARIABLE: &str = "BERGAMOTFORK_TOKEN";

/// Arguments that select the entry and the token of an administration command.
#[derive(Debug, Clone, Args)]
pub struct OperatorArgs {
    /// Base URL of an entry, such as http://127.0.0.1:7101; any entry will do.
    #[arg(long, value_name = "URL")]
    pub entry: String,
    /// File that holds the team's bearer token; by default the environment variable
    /// BERGAMOTFORK_TOKEN is used.
    #[arg(long, value_name = "FILE")]
    pub token_file: Option<PathBuf>,
}

impl OperatorArgs {
    /// URL of `path` at the entry.
    pub fn url(&self, path: &str) -> String {
        format!("{}{path}", self.entry.trim_end_matches('/'))
    }

    /// Reads the team's bearer token from the file or the environment.
    ///
    /// # Errors
    ///
    /// [`CliError::Invalid`] when there is none or the file cannot be read.
    pub fn token(&self) -> Result<String, CliError> {
        let token = match &self.token_file {
            Some(file) => fs::read_to_string(file).map_err(|error| {
                CliError::Invalid(format!("{}: cannot be read: {error}", file.display()))
            })?,
            None => env::var(TOKEN_VARIABLE).unwrap_or_default(),
        };
        let token = token.trim();
        if token.is_empty() {
            let reason = format!("no token: use --token-file or set {TOKEN_VARIABLE}");
            return Err(CliError::Invalid(reason));
        }
        Ok(token.to_owned())
    }
}
