use std::path::PathBuf;

use clap::Args;

use super::CliError;
use super::run_process;
use crate::conf::EndpointSettings;
use crate::endpoint;
use crate::observe::init_logging;

/// Arguments of `endpoint`.
#[derive(Debug, Args)]
pub struct EndpointArgs {
    /// Settings file of the process (INI).
    #[arg(long, value_name = "FILE")]
    pub settings: PathBuf,
}

impl EndpointArgs {
    /// Loads the settings and initialises logging as they state.
    ///
    /// # Errors
    ///
    /// [`CliError::Invalid`] with every fault of the file.
    pub fn load_settings(&self) -> Result<EndpointSettings, CliError> {
        let settings = EndpointSettings::load(&self.settings)?;
        init_logging(settings.process.log_format, settings.process.log_level);
        Ok(settings)
    }
}

/// Runs an endpoint until a stop signal arrives.
///
/// # Errors
///
/// [`CliError`] when the settings are invalid or the address cannot be bound.
pub fn run(args: EndpointArgs) -> Result<(), CliError> {
    let settings = args.load_settings()?;
    run_process(async move {
        let handle = endpoint::start_endpoint(settings).await?;
        Ok(move || async move { handle.stop().await })
    })
}
