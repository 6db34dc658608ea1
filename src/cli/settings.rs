use std::path::PathBuf;

use clap::Args;
use clap::Subcommand;
use clap::ValueEnum;

use super::CliError;
use crate::conf;
use crate::hosts::HostRole;

/// Arguments of `settings`.
#[derive(Debug, Args)]
pub struct SettingsArgs {
    /// Subcommand to run.
    #[command(subcommand)]
    command: SettingsCommand,
}

#[derive(Debug, Subcommand)]
enum SettingsCommand {
    /// Validate settings files and print every fault.
    Check {
        /// Settings files of either role (INI).
        #[arg(required = true, value_name = "FILE")]
        files: Vec<PathBuf>,
    },
    /// Print the keys of a role with their defaults and allowed values.
    Keys {
        /// Role of the process.
        role: RoleArg,
    },
}

#[derive(Debug, Clone, Copy, ValueEnum)]
enum RoleArg {
    Entry,
    Endpoint,
}

/// Runs `settings`.
///
/// # Errors
///
/// [`CliError::Invalid`] with every fault of the files.
pub fn run(args: SettingsArgs) -> Result<(), CliError> {
    match args.command {
        SettingsCommand::Check { files } => check_files(&files),
        SettingsCommand::Keys { role } => {
            print_keys(role);
            Ok(())
        }
    }
}

/// Checks all files before failing, so that one run reports every fault.
fn check_files(files: &[PathBuf]) -> Result<(), CliError> {
    let mut faults = Vec::new();
    for file in files {
        match conf::check_file(file) {
            Ok(role) => println!(
                "{}: valid {} settings",
                file.display(),
                conf::role_name(role)
            ),
            Err(found) => faults.push(found.to_string()),
        }
    }
    if faults.is_empty() {
        return Ok(());
    }
    Err(CliError::Invalid(format!(
        "invalid settings\n{}",
        faults.join("\n")
    )))
}

/// Prints each key of a role with its default and allowed values.
fn print_keys(role: RoleArg) {
    let role = match role {
        RoleArg::Entry => HostRole::Entry,
        RoleArg::Endpoint => HostRole::Endpoint,
    };
    for key in conf::declared_keys(role) {
        let default = key.default.as_deref().unwrap_or("required");
        println!("[{}] {} ({default}): {}", key.section, key.key, key.allowed);
    }
}
