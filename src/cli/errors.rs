use std::fmt;
use std::process::ExitCode;

use crate::conf::SettingsFaults;

/// Error of a subcommand; the text is printed for the user.
#[derive(Debug)]
pub enum CliError {
    /// The command failed while it ran; exit code 1.
    Failed(String),
    /// The arguments or settings are invalid; exit code 2.
    Invalid(String),
}

impl CliError {
    /// Exit code of the process.
    pub fn exit_code(&self) -> ExitCode {
        match self {
            Self::Failed(_) => ExitCode::from(1),
            Self::Invalid(_) => ExitCode::from(2),
        }
    }
}

impl fmt::Display for CliError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Failed(reason) | Self::Invalid(reason) => f.write_str(reason),
        }
    }
}

impl From<SettingsFaults> for CliError {
    fn from(faults: SettingsFaults) -> Self {
        Self::Invalid(format!("invalid settings\n{faults}"))
    }
}
