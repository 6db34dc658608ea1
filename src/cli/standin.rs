use clap::Args;
use clap::Subcommand;

use super::CliError;
use super::run_process;
use crate::conf::LogFormat;
use crate::observe::init_logging;
use crate::standin::engine;
use crate::standin::engine::EngineOptions;
use crate::standin::hosts;
use crate::standin::hosts::HostsOptions;
use crate::standin::log;
use crate::standin::log::LogOptions;
use crate::standin::origin;
use crate::standin::origin::OriginOptions;
use crate::standin::service;
use crate::standin::service::ServiceOptions;

/// Arguments of `standin`.
#[derive(Debug, Args)]
pub struct StandinArgs {
    /// Service that the stand-in replaces.
    #[command(subcommand)]
    pub kind: StandinKind,
}

/// The stand-ins, each with its options.
#[derive(Debug, Subcommand)]
pub enum StandinKind {
    /// Append-only log service of the platform.
    Log(LogOptions),
    /// The platform's list of live and leaving hosts.
    Hosts(HostsOptions),
    /// Rate-limited origin of model weights.
    Origin(OriginOptions),
    /// Model engine.
    Engine(EngineOptions),
    /// Plain service, which an endpoint serves instead of an engine.
    Service(ServiceOptions),
}

/// Runs a stand-in until a stop signal arrives.
///
/// # Errors
///
/// [`CliError::Failed`] when its address cannot be bound.
pub fn run(args: StandinArgs) -> Result<(), CliError> {
    init_logging(LogFormat::Text, ::log::LevelFilter::Warn);
    run_process(async move {
        let handle = match args.kind {
            StandinKind::Log(options) => log::start(options).await,
            StandinKind::Hosts(options) => hosts::start(options).await,
            StandinKind::Origin(options) => origin::start(options).await,
            StandinKind::Engine(options) => engine::start(options).await,
            StandinKind::Service(options) => service::start(options).await,
        };
        handle.map(|handle| move || async move { handle.kill().await })
    })
}
