use actix_rt::System;
use clap::Args;
use serde_json::Value;

use super::CliError;
use super::OperatorArgs;
use super::admin_client::AdminClient;
use super::admin_client::to_cli_error;
use crate::entry::HostView;
use crate::entry::ModelView;
use crate::entry::StatusView;

/// Arguments of `status`.
#[derive(Debug, Args)]
pub struct StatusArgs {
    #[command(flatten)]
    operator: OperatorArgs,
    /// Print the complete answer as JSON.
    #[arg(long)]
    json: bool,
}

/// Runs `status`.
///
/// # Errors
///
/// [`CliError`] when the token is missing, the entry refuses the request, or its answer
/// is malformed.
pub fn run(args: StatusArgs) -> Result<(), CliError> {
    let client = AdminClient::new(args.operator)?;
    let answer: Value = System::new()
        .block_on(client.get("/v1/status", 0))
        .map_err(to_cli_error)?;
    if args.json {
        println!("{answer}");
        return Ok(());
    }
    let view: StatusView = serde_json::from_value(answer)
        .map_err(|error| CliError::Failed(format!("the status is malformed: {error}")))?;
    print_status(&view);
    Ok(())
}

fn print_status(view: &StatusView) {
    let ready = if view.ready { "ready" } else { "not ready" };
    println!(
        "{} ({ready}) at configuration offset {}",
        view.answered_by, view.config.offset
    );
    if !view.behind.is_empty() {
        println!("behind: {}", view.behind.join(", "));
    }
    println!("\nmodels");
    for model in &view.models {
        print_model(model);
    }
    println!("\nhosts");
    for host in &view.hosts {
        print_host(host);
    }
}

fn print_model(model: &ModelView) {
    println!(
        "  {} {}: {} of {} serving, {} verified, {} fetching, {} on other versions",
        model.name,
        model.version,
        model.serving,
        model.wanted,
        model.verified,
        model.fetching,
        model.other_versions
    );
    for hold in &model.held {
        println!("    held on {}: {}", hold.host, hold.cause);
    }
}

fn print_host(host: &HostView) {
    let offset = host
        .config_offset
        .map_or("-".to_owned(), |offset| offset.to_string());
    println!(
        "  {:<20} {:<8} {}/{} offset {offset}, {} running, {} waiting of {}",
        host.name,
        host.standing,
        host.region,
        host.domain,
        host.load.running,
        host.load.queued,
        host.load.slots
    );
}
