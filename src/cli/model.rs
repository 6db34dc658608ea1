use std::time::Duration;
use std::time::Instant;

use actix_rt::time::sleep;
use clap::Args;
use clap::Subcommand;
use indicatif::ProgressBar;
use indicatif::ProgressStyle;

use super::CliError;
use super::OperatorArgs;
use super::admin_client::AdminClient;
use super::admin_client::to_cli_error;
use super::config::read_section;
use super::config::submit_edit;
use crate::calls::Nonce;
use crate::entry::ModelView;
use crate::entry::StatusView;
use crate::weights::Digest;

/// Interval at which the progress of a watched rollout is fetched.
const POLL_INTERVAL: Duration = Duration::from_millis(500);

/// Arguments of `model`.
#[derive(Debug, Args)]
pub struct ModelArgs {
    #[command(subcommand)]
    command: ModelCommand,
}

#[derive(Debug, Subcommand)]
enum ModelCommand {
    /// Print every model with its version, manifest and rollout progress.
    List {
        #[command(flatten)]
        operator: OperatorArgs,
    },
    /// Change a model to another version.
    Rollout(RolloutArgs),
}

#[derive(Debug, Args)]
struct RolloutArgs {
    #[command(flatten)]
    operator: OperatorArgs,
    /// Name of the model, such as "chat".
    model: String,
    /// Version to roll out.
    #[arg(long, value_name = "VERSION")]
    version: String,
    /// Digest of the version's manifest.
    #[arg(long, value_name = "DIGEST")]
    manifest: Digest,
    /// Show the progress, and wait until every replica serves the version.
    #[arg(long)]
    watch: bool,
    /// Maximum time to watch, in seconds.
    #[arg(long, default_value_t = 600, requires = "watch")]
    timeout_s: u64,
}

/// Runs `model`.
///
/// # Errors
///
/// [`CliError`] when the token is missing, the entry refuses the request, or a watched
/// rollout does not finish in time.
pub fn run(args: ModelArgs) -> Result<(), CliError> {
    let system = actix_rt::System::new();
    match args.command {
        ModelCommand::List { operator } => {
            system.block_on(list_models(&AdminClient::new(operator)?))
        }
        ModelCommand::Rollout(args) => {
            let client = AdminClient::new(args.operator.clone())?;
            system.block_on(start_rollout(&client, &args))
        }
    }
}

async fn fetch_models(client: &AdminClient) -> Result<Vec<ModelView>, CliError> {
    let view: StatusView = client.get("/v1/status", 0).await.map_err(to_cli_error)?;
    Ok(view.models)
}

async fn list_models(client: &AdminClient) -> Result<(), CliError> {
    for model in fetch_models(client).await? {
        let ModelView { name, version, .. } = &model;
        let manifest = model.manifest.short_hex();
        println!(
            "{name}\t{version}\t{manifest}\t{}",
            describe_progress(&model)
        );
    }
    Ok(())
}

async fn start_rollout(client: &AdminClient, args: &RolloutArgs) -> Result<(), CliError> {
    let name = format!("model {}", args.model);
    let answer = read_section(client, &name).await?;
    let Some(section) = answer.section else {
        let reason = format!("section [{name}] does not exist; create it with `config edit`");
        return Err(CliError::Failed(reason));
    };
    let body = with_version(&section.body, &args.version, args.manifest);
    let edit_id = Nonce::random().to_string();
    let accepted = submit_edit(client, &name, &edit_id, answer.revision, Some(&body)).await?;
    println!("accepted, revision {}", accepted.revision);
    if args.watch {
        watch_rollout(client, args).await?;
    }
    Ok(())
}

/// Replaces the version and manifest in a section's body and keeps all other keys.
fn with_version(body: &str, version: &str, manifest: Digest) -> String {
    let mut lines: Vec<String> = body
        .lines()
        .filter(|line| !matches!(key_of_line(line), "version" | "manifest"))
        .map(str::to_owned)
        .collect();
    lines.push(format!("version = {version}"));
    lines.push(format!("manifest = {manifest}"));
    lines.join("\n") + "\n"
}

/// Key of a `key = value` line.
fn key_of_line(line: &str) -> &str {
    line.split('=').next().unwrap_or_default().trim()
}

/// Shows the progress until every replica serves the version or the time is over.
async fn watch_rollout(client: &AdminClient, args: &RolloutArgs) -> Result<(), CliError> {
    let deadline = Instant::now() + Duration::from_secs(args.timeout_s);
    let style = ProgressStyle::with_template("{prefix} {bar:30} {pos}/{len} serving  {msg}")
        .expect("the template is valid");
    let bar = ProgressBar::new(0).with_style(style);
    bar.set_prefix(format!("{} {}", args.model, args.version));
    loop {
        let all = fetch_models(client).await?;
        let model = all.iter().find(|model| model.name == args.model);
        if let Some(model) = model.filter(|model| model.manifest == args.manifest) {
            bar.set_length(u64::from(model.wanted));
            bar.set_position(u64::from(model.serving));
            bar.set_message(describe_progress(model));
            if model.serving >= model.wanted {
                bar.finish();
                println!(
                    "{} {}: {}",
                    model.name,
                    model.version,
                    describe_progress(model)
                );
                return Ok(());
            }
        }
        if Instant::now() >= deadline {
            bar.abandon();
            let state = model.map_or_else(
                || "the version is not in force".to_owned(),
                describe_progress,
            );
            let reason = format!(
                "not every replica serves the version after {} s: {state}",
                args.timeout_s
            );
            return Err(CliError::Failed(reason));
        }
        sleep(POLL_INTERVAL).await;
    }
}

/// Describes the rollout of a model: replicas by state, and the cause of each hold.
fn describe_progress(model: &ModelView) -> String {
    let mut text = format!(
        "{} of {} serving, {} verified, {} fetching, {} on other versions",
        model.serving, model.wanted, model.verified, model.fetching, model.other_versions
    );
    for hold in &model.held {
        text.push_str(&format!("; held on {}: {}", hold.host, hold.cause));
    }
    text
}
