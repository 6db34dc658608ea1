use actix_rt::System;
use actix_web::http::Method;
use bytes::Bytes;
use clap::Args;

use super::CliError;
use super::OperatorArgs;
use crate::entry::HostView;
use crate::entry::ModelView;
use crate::entry::StatusView;
use crate::links::HttpClient;

/// Time an entry has to answer.
const ANSWER_WAIT_MS: u64 = 10_000;

/// Arguments of `status`.
#[derive(Debug, Args)]
pub struct StatusArgs {
    #[command(flatten)]
    operator: OperatorArgs,
    /// Print the whole answer as JSON.
    #[arg(long)]
    json: bool,
}

/// Runs `status`.
pub fn run(args: StatusArgs) -> Result<(), CliError> {
    let token = args.operator.token()?;
    let url = args.operator.url("/v1/status");
    let body = System::new().block_on(fetch(&url, &token))?;
    if args.json {
        println!("{}", String::from_utf8_lossy(&body));
        return Ok(());
    }
    let view: StatusView = serde_json::from_slice(&body)
        .map_err(|error| CliError::Failed(format!("{url}: {error}")))?;
    print(&view);
    Ok(())
}

async fn fetch(url: &str, token: &str) -> Result<Bytes, CliError> {
    let request = HttpClient::to_platform()
        .request(Method::GET, url)
        .bearer_auth(token);
    HttpClient::exchange(request, Bytes::new(), ANSWER_WAIT_MS)
        .await
        .map_err(|error| CliError::Failed(format!("{url}: {error}")))
}

fn print(view: &StatusView) {
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
